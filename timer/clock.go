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
	// leastSuspension is the least time that counts as a suspension: two clocks are not read
	// at the same moment.
	leastSuspension = 5 * time.Millisecond
	// measureAgain is the time after which the suspended time is measured even if nothing
	// hints at it: one system call a second.
	measureAgain = time.Second
)

// clock is the steady clock of the process, together with the time for which the machine was
// suspended.
//
// Reading the clock that counts suspended time is a system call, which each of the dozen
// readings of a request would pay. The time of day counts suspended time as well and comes
// with each reading; it may be set by anybody and is never believed, but when it has moved
// against the steady clock it is time to measure.
type clock struct {
	base time.Time // base is the start, with the steady clock's reading.
	// read returns how far the steady clock and the time of day have gone on since then.
	read func() (steady, day time.Duration)
	// boot returns how far the clock has gone on that counts suspended time.
	boot func() time.Duration

	suspended atomic.Int64 // suspended is for how long the machine was suspended since the start.
	drift     atomic.Int64 // drift is by how much the time of day had moved against the steady clock when it was measured.
	measured  atomic.Int64 // measured is when that was, on the steady clock.

	mu      sync.Mutex
	pending map[*pending]struct{}
}

// pending is a call that After owes.
type pending struct {
	due   time.Time
	timer *time.Timer
}

// machine is the clock of this process.
var machine = newMachine()

func newMachine() *clock {
	base, boot := time.Now(), bootTime()
	read := func() (steady, day time.Duration) {
		t := time.Now()
		return t.Sub(base), time.Duration(t.UnixNano() - base.UnixNano())
	}
	return newClock(base, read, func() time.Duration { return bootTime() - boot })
}

func newClock(base time.Time, read func() (steady, day time.Duration), boot func() time.Duration) *clock {
	return &clock{base: base, read: read, boot: boot, pending: make(map[*pending]struct{})}
}

// bootTime reads the clock that counts suspended time. It cannot fail on Linux from 2.6.39 on;
// elsewhere a machine counts as never suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// now returns the time, which goes on while the machine is suspended.
func (c *clock) now() time.Time {
	steady, day := c.read()
	drift := day - steady
	moved := drift - time.Duration(c.drift.Load())
	if moved.Abs() >= leastSuspension || steady-time.Duration(c.measured.Load()) >= measureAgain {
		c.measure(steady, drift)
	}
	return c.base.Add(steady + time.Duration(c.suspended.Load()))
}

// measure finds out for how long the machine was suspended.
func (c *clock) measure(steady, drift time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drift.Store(int64(drift))
	c.measured.Store(int64(steady))
	suspended := c.boot() - steady
	if suspended-time.Duration(c.suspended.Load()) < leastSuspension {
		return
	}
	c.suspended.Store(int64(suspended))
	now := c.base.Add(steady + suspended)
	for p := range c.pending {
		p.timer.Reset(max(0, p.due.Sub(now))) // the runtime's timer stood still
	}
}

// after calls f once when d has passed. The returned function cancels.
func (c *clock) after(d time.Duration, f func(now time.Time)) func() {
	p := &pending{due: c.now().Add(d)}
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
