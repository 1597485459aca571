// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package readmitter

import (
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// Options configure a Ledger.
type Options struct {
	// Capacity bounds the number of entries; default 20,000, which is 3 s of refusals at the rate of
	// requests of the largest fleet and takes about 2 MB.
	Capacity int
}

const defaultCapacity = 20_000

// maxTime bounds the ages and remaining times that are accepted from other hosts. It is the longest timeout.
const maxTime = 60 * time.Second

// Ledger holds refused requests until their deadlines. It is not safe for concurrent use.
type Ledger struct {
	opts    Options
	entries map[quarantiner.Identity]entry
	// order has the identities in the order of their refusal, the oldest at from.
	order  []quarantiner.Identity
	from   int
	unsent []quarantiner.Identity // unsent are refusals of this host that Take has yet to return.
}

// entry is a refused request.
type entry struct {
	first    time.Time // first is when it was first attempted.
	deadline time.Time
}

// New returns an empty Ledger.
func New(opts Options) *Ledger {
	if opts.Capacity <= 0 {
		opts.Capacity = defaultCapacity
	}
	return &Ledger{opts: opts, entries: make(map[quarantiner.Identity]entry)}
}

// Len returns the number of entries.
func (l *Ledger) Len() int { return len(l.entries) }

// Refused records that this host has refused a request. first is the time of its first attempt, and
// deadline the time until which its caller may return.
func (l *Ledger) Refused(now time.Time, id quarantiner.Identity, first, deadline time.Time) {
	if !deadline.After(now) {
		return
	}
	l.set(now, id, entry{first, deadline})
	if len(l.unsent) < l.opts.Capacity {
		l.unsent = append(l.unsent, id)
	}
}

// set records a request. Of two first attempts the earlier one counts, unless it is over.
func (l *Ledger) set(now time.Time, id quarantiner.Identity, e entry) {
	old, known := l.entries[id]
	if known && old.deadline.After(now) && old.first.Before(e.first) {
		e.first = old.first
	}
	if !known {
		l.makeRoom(now)
		l.order = append(l.order, id)
	}
	if known && old.deadline.After(e.deadline) {
		e.deadline = old.deadline
	}
	l.entries[id] = e
}

// makeRoom removes the entries at the front that are over, and the oldest one if the Ledger is full.
func (l *Ledger) makeRoom(now time.Time) {
	for l.from < len(l.order) {
		id := l.order[l.from]
		if l.entries[id].deadline.After(now) && len(l.entries) < l.opts.Capacity {
			break
		}
		delete(l.entries, id)
		l.from++
	}
	if l.from > len(l.order)/2 {
		l.order = append(l.order[:0], l.order[l.from:]...)
		l.from = 0
	}
}

// Readmit returns the time of the first attempt of a request that was refused before. An entry past its
// deadline does not count.
func (l *Ledger) Readmit(now time.Time, id quarantiner.Identity) (first time.Time, ok bool) {
	e, ok := l.entries[id]
	if !ok || !e.deadline.After(now) {
		return time.Time{}, false
	}
	return e.first, true
}

// Take returns refusals of this host that have not been returned yet, as many as a message may have.
// Those left are returned by the next call.
func (l *Ledger) Take(now time.Time) []arbiter.Return {
	var returns []arbiter.Return
	n := 0
	for ; n < len(l.unsent) && len(returns) < arbiter.MaxReturns; n++ {
		id := l.unsent[n]
		e, ok := l.entries[id]
		if ok && e.deadline.After(now) {
			returns = append(returns, arbiter.Return{Identity: id, FirstAge: now.Sub(e.first), Remaining: e.deadline.Sub(now)})
		}
	}
	l.unsent = append(l.unsent[:0], l.unsent[n:]...)
	return returns
}

// Merge records refusals of other hosts, and returns how many were invalid and ignored.
func (l *Ledger) Merge(now time.Time, returns []arbiter.Return) (invalid int) {
	for _, r := range returns {
		if r.FirstAge < 0 || r.FirstAge > maxTime || r.Remaining <= 0 || r.Remaining > maxTime {
			invalid++
			continue
		}
		l.set(now, r.Identity, entry{now.Add(-r.FirstAge), now.Add(r.Remaining)})
	}
	return invalid
}
