// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package receiver

import "time"

const (
	// TickInterval is the interval at which an Uptime is to be read.
	TickInterval = 50 * time.Millisecond
	// maxTick bounds what counts between two readings.
	maxTick = 4 * TickInterval
)

// Uptime is a clock that stands still while the process does. Signals that arrive meanwhile are delivered together, so that
// the time between their deliveries says nothing of whoever sent them. The zero value has not been read.
type Uptime struct {
	ran  time.Duration
	last time.Time // last is the time of the last reading; zero before the first.
}

// At returns the clock after a reading at now.
func (u Uptime) At(now time.Time) Uptime {
	if !u.last.IsZero() {
		u.ran += min(max(now.Sub(u.last), 0), maxTick)
	}
	u.last = now
	return u
}

// Now returns the time of the clock.
func (u Uptime) Now() time.Time { return time.Unix(0, 0).Add(u.ran) }
