// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package timer is the process's source of time. Parts subscribe to it
// instead of reading the clock or sleeping, so that tests drive time by hand.
//
// # Suspended machines
//
// While a machine is suspended its steady clock stands still, and so do the runtime's
// timers; other machines go on. Whatever ends by that clock (a lease, the age of what
// another host said, a deadline) would be believed to hold longer than it does. System
// counts that time: Now goes on by it, and what After waits for comes as soon as the machine
// wakes if it fell due meanwhile. So a suspension looks to all parts like a process that
// stood still with its clock going on, which they know how to bear.
//
// Times of this service must not be compared with those of the standard library: they
// differ by the time for which the machine has been suspended.
//
// # Usage
//
//	s := timer.NewSystem()
//	stop := s.Every(time.Second, func(now time.Time) { ... })
//	defer stop()
//	ctx, cancel := timer.WithDeadline(ctx, s, s.Now().Add(patience))
//
// In tests:
//
//	m := timer.NewManual(start)
//	m.Advance(3 * time.Second) // runs what fell due, in order of time
package timer

import "time"

// Service tells the time and calls subscribers when it has come.
type Service interface {
	// Now returns the present time with its monotonic reading.
	Now() time.Time
	// After calls f once when d has passed. The returned function cancels.
	After(d time.Duration, f func(now time.Time)) (cancel func())
	// Every calls f each time d has passed. The returned function cancels.
	Every(d time.Duration, f func(now time.Time)) (cancel func())
}
