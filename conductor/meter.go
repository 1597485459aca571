// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"syscall"
	"time"
)

// meter measures how many processor cores this process uses. The zero value is ready.
// It is not safe for concurrent use.
type meter struct {
	at    time.Time
	spent time.Duration
	last  float64
}

// meterPause is the least time between two measurements.
const meterPause = 300 * time.Millisecond

// cores returns the mean number of cores in use since the measurement before; 0 at first,
// and the last figure where the system does not tell.
func (m *meter) cores(now time.Time) float64 {
	passed := now.Sub(m.at)
	if passed < meterPause {
		return m.last
	}
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return m.last
	}
	spent := time.Duration(use.Utime.Nano() + use.Stime.Nano())
	if !m.at.IsZero() {
		m.last = float64(spent-m.spent) / float64(passed)
	}
	m.at, m.spent = now, spent
	return m.last
}
