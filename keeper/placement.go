// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package keeper

// Placement is a prompt that an upstream has computed.
type Placement struct {
	Chain     Chain
	Workspace string
}
