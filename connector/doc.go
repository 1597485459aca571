// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package connector provides HTTP clients of the platform's append-only log and
// of its host list. Both exchange JSON.
//
// # Usage
//
//	log := connector.NewLog("http://127.0.0.1:7000", 2*time.Second)
//	offset, err := log.Append(ctx, "Leases", body)
//	page, err := log.Read(ctx, "Leases", offset, 512, time.Second)
//
// After an error from Append the record may or may not be in the log.
package connector
