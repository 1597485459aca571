// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package scheduler implements admission and fair queueing of requests. Requests
// that can't be admitted are queued by class and workspace, and dequeued by
// start-time fair queueing (Goyal, Vin and Cheng, 1996) on two levels: capacity is
// shared by weight among classes, and within a class among workspaces, so that a
// workspace's burst delays only its own requests.
//
// # Usage
//
//	g := scheduler.NewGate(admit)
//	if r := g.Enter(ctx, item); r != scheduler.Granted { ... }
//	// ... count the request where admit sees it ...
//	g.Started()
//
// Queue implements the queueing discipline; it reads no clock and takes no lock.
package scheduler
