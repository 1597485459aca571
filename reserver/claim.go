// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package reserver

import "time"

// progressBytes is how much must arrive to count as progress, so that a caller that sends a byte at a time makes none.
const progressBytes = 4 << 10

// Claim is what one connection holds. It is safe for concurrent use.
type Claim struct {
	budget *Budget
	evict  func(e Eviction)

	// What follows is guarded by budget.mu.
	phase    Phase
	bytes    int64
	arrived  int           // arrived is what has arrived since the last progress, in bytes.
	progress time.Time     // progress is the time of the last progress.
	since    time.Duration // since is Budget.ran as the phase began.
	lost     bool          // lost reports that the claim was evicted.
}

// goesBefore reports whether a connection is closed before another one for want of connections.
func (c *Claim) goesBefore(other *Claim) bool {
	if a, b := rank(c.phase), rank(other.phase); a != b {
		return a < b
	}
	return c.progress.Before(other.progress)
}

// Begin notes that the head of a request begins to arrive, unless it has begun already.
func (c *Claim) Begin(now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.phase == PhaseOpened || c.phase == PhaseIdle {
		c.enterLocked(PhaseHead, now)
	}
}

// ReadBody notes that the head is whole and that the body is read from now on.
func (c *Claim) ReadBody(now time.Time) { c.enter(PhaseBody, now) }

// Run notes that the whole request has been read.
func (c *Claim) Run() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.lost {
		c.phase = PhaseRunning
	}
}

// Rest notes that the request has been answered, and gives back what it holds.
func (c *Claim) Rest(now time.Time) { c.release(PhaseIdle, now) }

// Linger notes that the connection is only read until its caller closes it, and gives back what it holds.
func (c *Claim) Linger(now time.Time) { c.release(PhaseLingering, now) }

// Close gives back all that the claim holds. It may be called more than once.
func (c *Claim) Close() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.held -= c.bytes
	c.bytes = 0
	delete(c.budget.claims, c)
}

// Grow reserves bytes. It reports false if there is no room, or if the claim was evicted: the caller is to be refused then.
func (c *Claim) Grow(now time.Time, bytes int64) bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.lost {
		return false
	}
	return c.budget.reserveLocked(now, c, bytes)
}

// Arrived notes that bytes of a request have arrived.
func (c *Claim) Arrived(now time.Time, bytes int) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.arrived += bytes; c.arrived >= progressBytes {
		c.arrived, c.progress = 0, now
	}
}

// Evicted reports whether the claim was evicted.
func (c *Claim) Evicted() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.lost
}

func (c *Claim) enter(p Phase, now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if !c.lost {
		c.enterLocked(p, now)
	}
}

// enterLocked enters a phase; c.budget.mu must be held.
func (c *Claim) enterLocked(p Phase, now time.Time) {
	c.phase, c.progress, c.since, c.arrived = p, now, c.budget.ran, 0
}

func (c *Claim) release(p Phase, now time.Time) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.held -= c.bytes
	c.bytes = 0
	c.enterLocked(p, now)
}
