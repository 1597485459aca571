// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package timer is the process's source of time. Other packages use a Service
// instead of reading the clock or sleeping, so that tests can control the time.
//
// # Suspended machines
//
// While a machine is suspended, its monotonic clock and the runtime's timers stop, but
// the time of other machines advances. A lease or deadline measured on the monotonic
// clock would seem to last longer than it does. System includes the suspended time: Now
// advances by it, and calls scheduled by After that became due run as soon as the
// machine resumes. A suspension thus looks like a pause of the process only.
//
// Times of a Service must not be compared with those of time.Now: they differ by the
// suspended time.
//
// # Usage
//
//	s := timer.NewSystem()
//	stop := s.Every(time.Second, func(now time.Time) { ... })
//	defer stop()
//	ctx, cancel := timer.WithDeadline(ctx, s, s.Now().Add(timeout))
//
// In tests:
//
//	m := timer.NewManual(start)
//	m.Advance(3 * time.Second) // runs the calls that became due, in order
package timer

import "time"

// Service is a clock that also schedules calls.
type Service interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After calls f once after d. The returned function cancels the call.
	After(d time.Duration, f func(now time.Time)) (cancel func())
	// Every calls f at each interval d. The returned function stops the calls.
	Every(d time.Duration, f func(now time.Time)) (cancel func())
}
