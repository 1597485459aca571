// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package connector holds the clients of the platform: its append-only log and
// its host list, both over HTTP with JSON.
//
// # Usage
//
//	log := connector.NewLog("http://127.0.0.1:7000", 2*time.Second)
//	offset, err := log.Append(ctx, "Leases", body)
//	page, err := log.Read(ctx, "Leases", offset, 512, time.Second)
//
// An error from Append says nothing about whether the append took effect.
package connector
