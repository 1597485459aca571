// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package leaser

import (
	"sort"
	"time"

	"amaranthgate.example/amaranthgate/replayer"
)

// Options configures a Holder.
type Options struct {
	Duration time.Duration // Duration is the lifetime of a lease without renewal.
	Margin   time.Duration // Margin is the time by which a holder stops before the lease expires.
	Stagger  time.Duration // Stagger is the additional wait per rank before a contender acquires a lease.
}

// renewalsPerDuration allows for one lost renewal before a lease expires.
const renewalsPerDuration = 3

// Wanted is a lease for which this host is a candidate.
type Wanted struct {
	Name string
	Rank int // Rank is this host's rank among the candidates; 0 is the first to acquire.
}

// Holder manages the leases of one host. It is a state machine that does no I/O and reads no
// clock. It is not safe for concurrent use.
type Holder struct {
	writer string
	table  *Table
	opts   Options

	observed    map[string]observation
	validUntil  map[string]time.Time // validUntil is when this host must stop acting on a lease, by name.
	inFlight    []time.Time          // inFlight holds the creation times of entries that were not read back yet.
	acquiring   map[string]time.Time // acquiring holds the creation times of such Acquire entries, by name.
	lastRenewal time.Time
	released    bool
}

// observation is a state of a lease with the time from which this host has known it.
type observation struct {
	lease Lease
	since time.Time
}

// NewHolder returns a Holder without leases. The writer is the host's name as a writer of the log.
func NewHolder(writer string, table *Table, opts Options) *Holder {
	return &Holder{
		writer:     writer,
		table:      table,
		opts:       opts,
		observed:   make(map[string]observation),
		validUntil: make(map[string]time.Time),
		acquiring:  make(map[string]time.Time),
	}
}

// Valid returns the epoch of a lease and reports whether this host holds it and may act on it now.
func (h *Holder) Valid(now time.Time, name string) (uint64, bool) {
	l := h.table.Lookup(name)
	if l.Holder != h.writer || !now.Before(h.validUntil[name]) {
		return 0, false
	}
	return l.Epoch, true
}

// Epoch returns the epoch of a lease that this host holds according to the log, even if the lease
// has expired; 0 if another host or none holds it.
func (h *Holder) Epoch(name string) uint64 {
	if l := h.table.Lookup(name); l.Holder == h.writer {
		return l.Epoch
	}
	return 0
}

// Held returns the sorted names of the leases that this host holds according to the log.
func (h *Holder) Held() []string {
	var out []string
	for n, l := range h.table.leases {
		if l.Holder == h.writer {
			out = append(out, n)
		}
	}
	sort.Strings(out)
	return out
}

// Tick returns the entries to append now: the renewal of the held leases, and acquisitions of
// wanted leases that are free or expired.
func (h *Holder) Tick(now time.Time, wanted []Wanted) []replayer.Entry {
	if h.released {
		return nil
	}
	var out []replayer.Entry
	if refs := h.heldRefs(); len(refs) > 0 && now.Sub(h.lastRenewal) >= h.opts.Duration/renewalsPerDuration {
		h.lastRenewal = now
		out = h.appendEntry(now, out, replayer.NewEntry(KindRenew, Renew{Leases: refs}))
	}
	for _, w := range wanted {
		if h.mayAcquire(now, w) {
			l := h.table.Lookup(w.Name)
			h.acquiring[w.Name] = now
			out = h.appendEntry(now, out, replayer.NewEntry(KindAcquire,
				Acquire{Name: w.Name, Epoch: l.Epoch, Renewals: l.Renewals}))
		}
	}
	return out
}

// appendEntry appends e to out and records it as in flight.
func (h *Holder) appendEntry(now time.Time, out []replayer.Entry, e replayer.Entry) []replayer.Entry {
	h.inFlight = append(h.inFlight, now)
	return append(out, e)
}

func (h *Holder) heldRefs() []Ref {
	var refs []Ref
	for _, n := range h.Held() {
		refs = append(refs, Ref{Name: n, Epoch: h.table.Lookup(n).Epoch})
	}
	return refs
}

// mayAcquire reports whether a lease is free or has not changed for its duration, and candidates
// of lower rank had time to acquire it.
func (h *Holder) mayAcquire(now time.Time, w Wanted) bool {
	l := h.table.Lookup(w.Name)
	if l.Holder == h.writer {
		return false
	}
	if t, ok := h.acquiring[w.Name]; ok && now.Sub(t) < h.opts.Duration {
		return false
	}
	s, ok := h.observed[w.Name]
	if !ok || s.lease != l {
		h.observed[w.Name] = observation{lease: l, since: now}
		s = h.observed[w.Name]
	}
	wait := time.Duration(w.Rank) * h.opts.Stagger
	if l.Holder != "" {
		wait += h.opts.Duration
	}
	return now.Sub(s.since) >= wait
}

// Applied processes a record after the table has applied it.
func (h *Holder) Applied(now time.Time, rec replayer.Applied) {
	h.observe(now, rec)
	if rec.Writer != h.writer {
		return
	}
	for _, e := range rec.Entries {
		if e.Kind == KindAcquire || e.Kind == KindRenew {
			h.confirm(e)
		}
	}
}

// observe records the time at which the leases in a record changed.
func (h *Holder) observe(now time.Time, rec replayer.Applied) {
	for _, e := range rec.Entries {
		var body struct {
			Name   string
			Leases []Ref
		}
		if !e.Decode(&body) {
			continue
		}
		if body.Name != "" {
			body.Leases = append(body.Leases, Ref{Name: body.Name})
		}
		for _, r := range body.Leases {
			if l := h.table.Lookup(r.Name); h.observed[r.Name].lease != l {
				h.observed[r.Name] = observation{lease: l, since: now}
			}
		}
	}
}

// confirm extends the validity of the leases in an entry of this host that was read back.
func (h *Holder) confirm(e replayer.Entry) {
	if len(h.inFlight) == 0 {
		return
	}
	until := h.inFlight[0].Add(h.opts.Duration - h.opts.Margin)
	h.inFlight = h.inFlight[1:]
	if e.Kind == KindAcquire {
		var a Acquire
		if e.Decode(&a) {
			delete(h.acquiring, a.Name)
			h.extend(a.Name, until)
		}
		return
	}
	var r Renew
	if e.Decode(&r) {
		for _, ref := range r.Leases {
			if h.table.Lookup(ref.Name).Epoch == ref.Epoch {
				h.extend(ref.Name, until)
			}
		}
	}
}

func (h *Holder) extend(name string, until time.Time) {
	if h.table.Lookup(name).Holder == h.writer && until.After(h.validUntil[name]) {
		h.validUntil[name] = until
	}
}

// Release returns the entries that release all held leases. Tick returns no entries afterwards.
func (h *Holder) Release() []replayer.Entry {
	h.released = true
	return h.Yield(h.Held())
}

// Yield returns the entries that release some of the held leases, so that a candidate of lower
// rank can acquire them.
func (h *Holder) Yield(names []string) []replayer.Entry {
	var refs []Ref
	for _, n := range names {
		if epoch := h.Epoch(n); epoch != 0 {
			delete(h.validUntil, n)
			refs = append(refs, Ref{Name: n, Epoch: epoch})
		}
	}
	if len(refs) == 0 {
		return nil
	}
	return []replayer.Entry{replayer.NewEntry(KindRelease, Release{Leases: refs})}
}

// ValidUntil returns the time at which this host must stop acting on a lease; the zero time if it does
// not hold the lease.
func (h *Holder) ValidUntil(name string) time.Time {
	if h.Epoch(name) == 0 {
		return time.Time{}
	}
	return h.validUntil[name]
}
