// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package controller is the control plane of one host: a set of controllers
// over one state, driven by events.
//
// Node is pure. Handle takes an event and the time and returns actions; it
// does no I/O, reads no clock, starts no goroutine and draws no random number
// but from its seed. The same code runs in the binary, where package runner
// turns sockets into events, and in tests, which drive several nodes through
// schedules of faults without a socket or a clock.
//
// # Usage
//
//	n := controller.NewNode(controller.Options{...})
//	for _, a := range n.Handle(now, controller.Tick{}) {
//		switch a := a.(type) {
//		case controller.Append: ...
//		case controller.Send: ...
//		}
//	}
//
// # Controllers
//
//   - configuration.go: the document in force and publishing changes.
//   - leases.go: which duties this host wants and holds.
//   - claims.go: at most once, as owner of ranges and as claimant.
//   - membership.go: hosts and upstreams, heartbeats and gossip.
//   - limits.go: shares of the workspaces' limits.
//   - checkpoints.go: snapshots of the streams before their records expire.
//   - view.go: the snapshot for the goroutines that carry traffic.
package controller
