// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package reserver

import (
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a request may fill the whole budget.
	SmallBytes = 64 << 10
	// largeShare is the part of the budget that larger requests may fill.
	largeShare = 0.75
	// MinStall is the time without progress after which a claim may lose what it holds to another one.
	MinStall = 250 * time.Millisecond
	// SweepInterval is the interval at which Sweep is to be called.
	SweepInterval = time.Second
	// maxSweep bounds what counts between two sweeps.
	maxSweep = 2 * SweepInterval
)

// Phase says what the connection of a claim does.
type Phase string

// Values of Phase.
const (
	PhaseOpened    Phase = "Opened"    // PhaseOpened means that nothing has arrived yet.
	PhaseHead      Phase = "Head"      // PhaseHead means that the head of a request has arrived in part.
	PhaseBody      Phase = "Body"      // PhaseBody means that the head is whole, and the body is being read.
	PhaseRunning   Phase = "Running"   // PhaseRunning means that the whole request has been read.
	PhaseIdle      Phase = "Idle"      // PhaseIdle means that the last request has been answered.
	PhaseLingering Phase = "Lingering" // PhaseLingering means that the connection is read until the caller closes it.
)

// Phases are all values of Phase.
var Phases = []Phase{PhaseOpened, PhaseHead, PhaseBody, PhaseRunning, PhaseIdle, PhaseLingering}

// Eviction says why a claim was evicted.
type Eviction string

// Values of Eviction.
const (
	EvictedConnections Eviction = "Connections" // EvictedConnections means that another connection needed the room.
	EvictedStalled     Eviction = "Stalled"     // EvictedStalled means that another request needed the bytes.
	EvictedOverdue     Eviction = "Overdue"     // EvictedOverdue means that a timeout has passed.
)

// Evictions are all values of Eviction.
var Evictions = []Eviction{EvictedConnections, EvictedStalled, EvictedOverdue}

// Refusal says what a caller was refused for want of room.
type Refusal string

// Values of Refusal.
const (
	RefusedConnection Refusal = "Connection"
	RefusedBytes      Refusal = "Bytes"
)

// Refusals are all values of Refusal.
var Refusals = []Refusal{RefusedConnection, RefusedBytes}

// Options configure a Budget.
type Options struct {
	Bytes       int64 // Bytes is what all claims may hold together; 0 for no limit.
	Connections int   // Connections is the number of open claims; 0 for no limit.
}

// Timeouts bound the time in a phase; 0 for no limit.
type Timeouts struct {
	Head time.Duration // Head is the time from the first byte of a head until it is whole.
	Idle time.Duration // Idle is the time without a request.
}

// Budget is what the callers of a listener may hold together. It is safe for concurrent use.
type Budget struct {
	opts Options

	mu      sync.Mutex
	claims  map[*Claim]struct{}
	held    int64 // held is what all claims hold, in bytes.
	swept   time.Time
	ran     time.Duration // ran is the time that has counted between sweeps.
	evicted map[Eviction]uint64
	refused map[Refusal]uint64
}

// New returns a Budget without claims.
func New(opts Options) *Budget {
	return &Budget{opts: opts, claims: make(map[*Claim]struct{}), evicted: make(map[Eviction]uint64), refused: make(map[Refusal]uint64)}
}

// Largest returns the largest number of bytes that one claim can hold; 0 for no limit.
func (b *Budget) Largest() int64 { return int64(largeShare * float64(b.opts.Bytes)) }

// Open returns the claim of a new connection, or nil if there is no room for it. The function evict is called if the claim loses
// what it holds to another one, or is overdue. It must not block, nor call the budget.
func (b *Budget) Open(now time.Time, evict func(e Eviction)) *Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.opts.Connections > 0 && len(b.claims) >= b.opts.Connections && !b.makeRoomLocked() {
		b.refused[RefusedConnection]++
		return nil
	}
	c := &Claim{budget: b, evict: evict, phase: PhaseOpened, progress: now, since: b.ran}
	b.claims[c] = struct{}{}
	return c
}

// makeRoomLocked evicts the connection that has waited longest, and reports whether there was one; b.mu must be held.
func (b *Budget) makeRoomLocked() bool {
	var victim *Claim
	for c := range b.claims {
		if rank(c.phase) > 0 && (victim == nil || c.goesBefore(victim)) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	b.evictLocked(victim, EvictedConnections)
	return true
}

// rank orders phases by which of them are closed first for want of connections; 0 for those that are not.
func rank(p Phase) int {
	switch p {
	case PhaseLingering:
		return 1
	case PhaseOpened, PhaseHead:
		return 2
	case PhaseIdle:
		return 3
	}
	return 0
}

// evictLocked takes back all that a claim holds; b.mu must be held. The connection of a claim that has stalled stays open until
// its caller has been refused.
func (b *Budget) evictLocked(c *Claim, e Eviction) {
	b.evicted[e]++
	b.held -= c.bytes
	c.bytes, c.lost = 0, true
	if e == EvictedStalled {
		c.phase = PhaseLingering
	} else {
		delete(b.claims, c)
	}
	c.evict(e)
}

// reserveLocked reserves bytes for a claim, and reports whether there was room; b.mu must be held.
func (b *Budget) reserveLocked(now time.Time, c *Claim, bytes int64) bool {
	limit := b.opts.Bytes
	if c.bytes+bytes > SmallBytes {
		limit = b.Largest()
	}
	for b.opts.Bytes > 0 && b.held+bytes > limit {
		victim := b.longestStalledLocked(now, c)
		if victim == nil {
			b.refused[RefusedBytes]++
			return false
		}
		b.evictLocked(victim, EvictedStalled)
	}
	b.held += bytes
	c.bytes += bytes
	return true
}

// longestStalledLocked returns the claim of an incomplete request that has made no progress for longest, or nil; b.mu must be held.
func (b *Budget) longestStalledLocked(now time.Time, except *Claim) *Claim {
	var victim *Claim
	for c := range b.claims {
		if c == except || c.bytes == 0 || c.phase != PhaseHead && c.phase != PhaseBody || now.Sub(c.progress) < MinStall {
			continue
		}
		if victim == nil || c.progress.Before(victim.progress) {
			victim = c
		}
	}
	return victim
}

// Sweep evicts the claims that have been in a phase for longer than the timeouts allow. It is to be called each SweepInterval.
func (b *Budget) Sweep(now time.Time, t Timeouts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.swept.IsZero() {
		b.ran += min(max(now.Sub(b.swept), 0), maxSweep)
	}
	b.swept = now
	for c := range b.claims {
		if limit := t.of(c.phase); limit > 0 && b.ran-c.since > limit+SweepInterval {
			b.evictLocked(c, EvictedOverdue)
		}
	}
}

// of returns the timeout of a phase.
func (t Timeouts) of(p Phase) time.Duration {
	switch p {
	case PhaseHead:
		return t.Head
	case PhaseOpened, PhaseIdle:
		return t.Idle
	}
	return 0
}

// Stats is what a budget has counted.
type Stats struct {
	Connections map[Phase]int
	Bytes       map[Phase]int64
	Evicted     map[Eviction]uint64
	Refused     map[Refusal]uint64
}

// Stats returns what is held now, and what was evicted and refused so far.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Connections: make(map[Phase]int), Bytes: make(map[Phase]int64), Evicted: make(map[Eviction]uint64), Refused: make(map[Refusal]uint64)}
	for c := range b.claims {
		s.Connections[c.phase]++
		s.Bytes[c.phase] += c.bytes
	}
	for e, n := range b.evicted {
		s.Evicted[e] = n
	}
	for r, n := range b.refused {
		s.Refused[r] = n
	}
	return s
}
