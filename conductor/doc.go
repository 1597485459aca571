// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package conductor runs one host on the users' platform.
//
// Node is the control plane: a state machine without I/O that takes events and returns actions,
// driven by one goroutine. Host turns I/O into events, executes the actions, and serves callers
// with package exchanger on the state that Node publishes.
//
// All hosts run the same code. In a large fleet the hosts that package activator selects are
// active: callers are sent to them, and they exchange load reports. The others are on standby.
//
// One host reads the feeds of the platform's store and broadcasts what it read. Every host has a
// rank in the readers' order and reads a feed itself when it has received no page for a time that
// grows with its rank, so the next host takes over without an election. A host that the store
// refuses asks its peers for what it lacks.
//
// # Usage
//
//	host := conductor.New(conductor.Options{Settings: settings, Store: store, ...})
//	err := host.Start()
//	...
//	host.Drain(ctx)
package conductor
