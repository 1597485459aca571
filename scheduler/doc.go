// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package scheduler implements admission and fair queueing of requests. Requests
// that can't be admitted are queued by class and workspace, and dequeued by
// start-time fair queueing (Goyal, Vin and Cheng, 1996) on two levels: capacity is
// shared by weight among classes, and within a class among workspaces, so that a
// workspace's burst delays only its own requests. When more requests arrive than can be
// served in time, those that can still meet their objective start before the others, and
// those that cannot start before their deadline are refused at once (package forecaster).
//
// # Usage
//
//	g := scheduler.NewGate(admit)
//	if r := g.Enter(ctx, item); r != scheduler.Granted { ... }
//	// ... count the request where admit sees it ...
//	g.Started()
//
// Queue implements the queueing discipline, and Admission decides by it which requests
// start, wait and are refused. They read no clock and take no lock; Gate puts a lock and
// channels around them.
package scheduler
