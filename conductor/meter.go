// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"syscall"
	"time"
)

// meter measures the processor cores that this process uses. The zero value is ready to use. It is
// not safe for concurrent use.
type meter struct {
	lastTime  time.Time
	lastUsage time.Duration
	lastCores float64
}

// meterInterval is the least time between two measurements.
const meterInterval = 300 * time.Millisecond

// cores returns the mean number of cores in use since the last measurement, 0 at first. It returns
// the last result if the system call fails.
func (m *meter) cores(now time.Time) float64 {
	elapsed := now.Sub(m.lastTime)
	if elapsed < meterInterval {
		return m.lastCores
	}
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return m.lastCores
	}
	usage := time.Duration(use.Utime.Nano() + use.Stime.Nano())
	if !m.lastTime.IsZero() {
		m.lastCores = float64(usage-m.lastUsage) / float64(elapsed)
	}
	m.lastTime, m.lastUsage = now, usage
	return m.lastCores
}
