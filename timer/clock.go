// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package timer

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the shortest measurable suspension, as the clocks are read one after the other.
	minSuspension = 5 * time.Millisecond
	// measureInterval is the maximum time between two measurements of the suspended time.
	measureInterval = time.Second
)

// clock is a monotonic clock that includes the time for which the machine was suspended.
//
// Reading CLOCK_BOOTTIME is a system call, too slow for every reading. The wall clock also advances
// during a suspension and is read together with the monotonic clock. It may be set at any time, so it
// is not used as a time, but a change against the monotonic clock triggers a measurement.
type clock struct {
	start time.Time // start is the time of creation, with its monotonic reading.
	// read returns the monotonic and the wall clock time since start.
	read func() (monotonic, wall time.Duration)
	// boot returns the time since start including suspended time.
	boot func() time.Duration

	suspended  atomic.Int64 // suspended is the total suspended time since start.
	wallOffset atomic.Int64 // wallOffset is the wall clock minus the monotonic clock at the last measurement.
	measuredAt atomic.Int64 // measuredAt is the monotonic time of the last measurement.

	mu      sync.Mutex
	pending map[*pendingCall]struct{}
}

// pendingCall is a call scheduled by after.
type pendingCall struct {
	due   time.Time
	timer *time.Timer
}

// systemClock is the clock of this process.
var systemClock = newSystemClock()

func newSystemClock() *clock {
	start, boot := time.Now(), bootTime()
	read := func() (monotonic, wall time.Duration) {
		t := time.Now()
		return t.Sub(start), time.Duration(t.UnixNano() - start.UnixNano())
	}
	return newClock(start, read, func() time.Duration { return bootTime() - boot })
}

func newClock(start time.Time, read func() (monotonic, wall time.Duration), boot func() time.Duration) *clock {
	return &clock{start: start, read: read, boot: boot, pending: make(map[*pendingCall]struct{})}
}

// bootTime reads CLOCK_BOOTTIME. Without it, the machine counts as never suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// now returns the current time including suspended time.
func (c *clock) now() time.Time {
	monotonic, wall := c.read()
	offset := wall - monotonic
	moved := offset - time.Duration(c.wallOffset.Load())
	if moved.Abs() >= minSuspension || monotonic-time.Duration(c.measuredAt.Load()) >= measureInterval {
		c.measure(offset)
	}
	return c.start.Add(monotonic + time.Duration(c.suspended.Load()))
}

// measure updates the suspended time, and reschedules the pending calls if it has grown.
func (c *clock) measure(offset time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot := c.boot()
	monotonic, _ := c.read() // after boot, so that a delay between the two does not look like a suspension
	c.wallOffset.Store(int64(offset))
	c.measuredAt.Store(int64(monotonic))
	suspended := boot - monotonic
	if suspended-time.Duration(c.suspended.Load()) < minSuspension {
		return
	}
	c.suspended.Store(int64(suspended))
	now := c.start.Add(monotonic + suspended)
	for p := range c.pending {
		p.timer.Reset(max(0, p.due.Sub(now))) // runtime timers do not advance during a suspension
	}
}

// after calls f once after d. The returned function cancels the call.
func (c *clock) after(d time.Duration, f func(now time.Time)) func() {
	p := &pendingCall{due: c.now().Add(d)}
	done := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		p.timer.Stop()
		delete(c.pending, p)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.timer = time.AfterFunc(d, func() {
		done()
		f(c.now())
	})
	c.pending[p] = struct{}{}
	return done
}
