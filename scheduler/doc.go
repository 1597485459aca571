// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package scheduler decides who waits. Requests that find no room are queued
// by class and workspace and leave the queue by start-time fair queueing
// (Goyal, Vin and Cheng, 1996) on two levels: classes share by weight, and
// within a class workspaces share by weight, so that one workspace's burst
// delays only itself.
//
// # Usage
//
//	g := scheduler.NewGate(room)
//	if v := g.Enter(ctx, item); v != scheduler.Granted { ... }
//	meter.Start(tokens)
//	g.Started()
//
// Queue is the pure core: it reads no clock and takes no lock.
package scheduler
