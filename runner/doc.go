// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package runner runs the process of a host. It delivers events from sockets,
// timers and the platform to the control plane, executes the actions that this
// returns, and runs the servers for callers, peers and operators.
//
// One goroutine owns the state of the control plane; all others post events to it.
// Requests use the published snapshot and wait for that goroutine only for claims
// and for shares of limits.
//
// # Usage
//
//	h, err := runner.New(settings, logger)
//	if err := h.Start(); err != nil { ... }
//	h.Drain(ctx) // shuts down gracefully
//	h.Close()    // shuts down at once
package runner
