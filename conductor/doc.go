// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package conductor runs one host on the users' platform.
//
// Node is the control plane: pure, events in and actions out, driven by one
// goroutine. Host turns sockets into events, carries out actions, and serves
// callers with package exchanger on what Node publishes.
//
// All hosts are alike. In a large fleet those that package activator selects are active:
// callers are sent to them, and they tell each other what they have under way. The others
// stand by, ready to become active.
//
// The feeds of the platform's store are read by whoever has had no page for longest: a
// host reads a feed when no other has passed on a page for a while that grows with its
// place among the active hosts. So one host reads for all, and if it falls silent the next
// one does, without any agreement. A host that the store turns away asks the others for
// what it lacks.
//
// # Usage
//
//	host := conductor.New(conductor.Options{Settings: settings, Source: source, ...})
//	err := host.Start()
//	...
//	host.Drain(ctx)
package conductor
