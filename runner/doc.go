// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package runner is one host's process: it turns sockets, timers and the
// platform into events for the control plane and carries out its actions, and
// it starts and ends the servers for callers, peers and operators.
//
// One goroutine owns the control plane's state; all others post events to it.
// Traffic reads the published snapshot and never waits for that goroutine, but
// for claims.
//
// # Usage
//
//	h, err := runner.New(settings, logger)
//	if err := h.Start(); err != nil { ... }
//	h.Drain(ctx) // graceful
//	h.Close()    // at once
package runner
