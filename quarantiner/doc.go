// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package quarantiner names requests by what is asked for, so that one that ends the
// upstreams that run it is known again when its caller repeats it at another host.
//
// # Usage
//
//	id := quarantiner.Identify(quarantiner.Parts{Workspace: "w", Host: h, Target: t, Body: b})
//	fmt.Println(id)
package quarantiner
