// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package arbiter orders waiting requests over all hosts that compete for the same upstreams, without a
// coordinator: hosts tell each other what waits, and each works out which of them goes first. It addresses
// the load condition in which requests wait at several hosts at once.
//
// # Usage
//
//	a := arbiter.New(arbiter.Options{Host: "a", Incarnation: 1})
//	a.SetLocal(now, local)               // at each admission tick
//	for _, o := range a.Step(now, active) { send(o.To, o.Message) }
//	returns, problem := a.Receive(now, from, message)
//	a.Ahead(now, request, upstreamHash)  // how many hosts go first
package arbiter
