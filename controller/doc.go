// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package controller implements the control plane of one host: controllers that
// share one state and are driven by events.
//
// Handle of Node takes an event and the time and returns actions. A node does no
// I/O, reads no clock, starts no goroutine and draws no random number. Package
// runner connects it to sockets and timers; tests drive several nodes through
// schedules of faults in virtual time.
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
//   - leases.go: the leases that this host wants and holds.
//   - claims.go: at-most-once execution, as owner of ranges and as claimant.
//   - membership.go: hosts and upstreams, heartbeats and gossip.
//   - limits.go: shares of the workspaces' limits.
//   - orders.go: orders to upstreams and the rollout of weight versions.
//   - stores.go: the KV cache stores of upstreams.
//   - checkpoints.go: checkpoints of the streams before their records expire.
//   - view.go: the snapshot for the request path.
package controller
