// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package leaser

import (
	"sort"
	"time"

	"amaranthgate.example/amaranthgate/folder"
)

// Options set the times of leases.
type Options struct {
	Duration time.Duration // Duration is how long a lease lives without renewal.
	Margin   time.Duration // Margin is taken off by the holder.
	Stagger  time.Duration // Stagger is the extra wait for each rank of a contender.
}

// renewals is the number of times that a lease is renewed in its duration.
const renewals = 3

// Wanted is a lease that this host would hold.
type Wanted struct {
	Name string
	Rank int // Rank is this host's place among the candidates; 0 is the first.
}

// Holder is one host's part in all leases. It is a state machine without clock
// or I/O.
type Holder struct {
	writer string
	table  *Table
	opts   Options

	seen     map[string]sighting
	valid    map[string]time.Time // valid is when each held lease ends.
	sent     []time.Time          // sent is when each entry under way was made, in order.
	trying   map[string]time.Time // trying is when an Acquire under way was made.
	lastSent time.Time
	released bool
}

type sighting struct {
	lease Lease
	at    time.Time
}

// NewHolder returns the part of a host that holds nothing. writer is its name
// as a writer of the log.
func NewHolder(writer string, table *Table, opts Options) *Holder {
	return &Holder{
		writer: writer,
		table:  table,
		opts:   opts,
		seen:   make(map[string]sighting),
		valid:  make(map[string]time.Time),
		trying: make(map[string]time.Time),
	}
}

// Valid returns the epoch of a lease that this host holds and may act on now.
func (h *Holder) Valid(now time.Time, name string) (uint64, bool) {
	l := h.table.Lookup(name)
	if l.Holder != h.writer || !now.Before(h.valid[name]) {
		return 0, false
	}
	return l.Epoch, true
}

// Epoch returns the epoch of a lease that this host holds according to the
// log, whether or not its time is up; 0 if it does not hold it.
func (h *Holder) Epoch(name string) uint64 {
	if l := h.table.Lookup(name); l.Holder == h.writer {
		return l.Epoch
	}
	return 0
}

// Held returns the names of the leases that this host holds according to the
// log, sorted.
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

// Tick returns the entries to append now: renewals of what is held and
// acquisitions of what is wanted and free.
func (h *Holder) Tick(now time.Time, wanted []Wanted) []folder.Entry {
	if h.released {
		return nil
	}
	var out []folder.Entry
	if refs := h.held(); len(refs) > 0 && now.Sub(h.lastSent) >= h.opts.Duration/renewals {
		h.lastSent = now
		out = h.send(now, out, folder.NewEntry(KindRenew, Renew{Leases: refs}))
	}
	for _, w := range wanted {
		if h.mayAcquire(now, w) {
			l := h.table.Lookup(w.Name)
			h.trying[w.Name] = now
			out = h.send(now, out, folder.NewEntry(KindAcquire, Acquire{Name: w.Name, Epoch: l.Epoch, Renewals: l.Renewals}))
		}
	}
	return out
}

func (h *Holder) send(now time.Time, out []folder.Entry, e folder.Entry) []folder.Entry {
	h.sent = append(h.sent, now)
	return append(out, e)
}

func (h *Holder) held() []Ref {
	var refs []Ref
	for _, n := range h.Held() {
		refs = append(refs, Ref{Name: n, Epoch: h.table.Lookup(n).Epoch})
	}
	return refs
}

// mayAcquire reports whether a lease has been seen without change for its
// whole duration, or was released, and the candidates of lower rank have had
// their time.
func (h *Holder) mayAcquire(now time.Time, w Wanted) bool {
	l := h.table.Lookup(w.Name)
	if l.Holder == h.writer {
		return false
	}
	if t, ok := h.trying[w.Name]; ok && now.Sub(t) < h.opts.Duration {
		return false
	}
	s, ok := h.seen[w.Name]
	if !ok || s.lease != l {
		h.seen[w.Name] = sighting{lease: l, at: now}
		s = h.seen[w.Name]
	}
	wait := time.Duration(w.Rank) * h.opts.Stagger
	if l.Holder != "" {
		wait += h.opts.Duration
	}
	return now.Sub(s.at) >= wait
}

// Applied handles a record that the table has just applied.
func (h *Holder) Applied(now time.Time, rec folder.Applied) {
	h.sight(now, rec)
	if rec.Writer != h.writer {
		return
	}
	for _, e := range rec.Entries {
		if e.Kind == KindAcquire || e.Kind == KindRenew {
			h.confirmed(e)
		}
	}
}

// sight notes when the leases that a record changed were last seen to change.
func (h *Holder) sight(now time.Time, rec folder.Applied) {
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
			if l := h.table.Lookup(r.Name); h.seen[r.Name].lease != l {
				h.seen[r.Name] = sighting{lease: l, at: now}
			}
		}
	}
}

// confirmed takes an entry of this host's own that was read back.
func (h *Holder) confirmed(e folder.Entry) {
	if len(h.sent) == 0 {
		return
	}
	until := h.sent[0].Add(h.opts.Duration - h.opts.Margin)
	h.sent = h.sent[1:]
	if e.Kind == KindAcquire {
		var a Acquire
		if e.Decode(&a) {
			delete(h.trying, a.Name)
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
	if h.table.Lookup(name).Holder == h.writer && until.After(h.valid[name]) {
		h.valid[name] = until
	}
}

// Release returns the entries that give up all that is held; from then on
// nothing is acquired or renewed.
func (h *Holder) Release() []folder.Entry {
	h.released = true
	return h.Yield(h.Held())
}

// Yield returns the entries that give up some of the leases that are held, so
// that a better candidate can acquire them.
func (h *Holder) Yield(names []string) []folder.Entry {
	var refs []Ref
	for _, n := range names {
		if epoch := h.Epoch(n); epoch != 0 {
			delete(h.valid, n)
			refs = append(refs, Ref{Name: n, Epoch: epoch})
		}
	}
	if len(refs) == 0 {
		return nil
	}
	return []folder.Entry{folder.NewEntry(KindRelease, Release{Leases: refs})}
}

// Until returns when this host may no longer act on a lease; the zero time if
// it does not hold it.
func (h *Holder) Until(name string) time.Time {
	if h.Epoch(name) == 0 {
		return time.Time{}
	}
	return h.valid[name]
}
