// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/connector"
)

// HostOptions set the times of membership.
type HostOptions struct {
	Suspect time.Duration // Suspect is the silence after which a neighbour is suspected.
	// SuspectStandby is the silence after which a neighbour is suspected that does not
	// serve callers, or by a host that does not; default Suspect.
	SuspectStandby time.Duration
	Gone           time.Duration // Gone is how long a suspicion stands before the host is gone; default 3 Suspect.
	Forget         time.Duration // Forget is how long gone hosts are remembered; default 10 min.
	Neighbours     int           // Neighbours is the number of hosts that each host connects to; default 4.
	FullMesh       int           // FullMesh is the number of hosts up to which everyone is a neighbour; default 9.
}

// fullMesh is the default number of hosts up to which everyone is a neighbour.
const fullMesh = 9

// Hosts is what one host knows of all hosts. It is not safe for concurrent
// use.
type Hosts struct {
	opts    HostOptions
	self    HostRecord
	records map[string]*hostEntry
	listed  map[string]connector.ListedHost
	active  map[string]bool // active are the hosts that serve callers; nil if all do.

	near   []string        // near caches Neighbours; nil when it must be worked out anew.
	edge   edge            // edge is what a host must lie within to be among them.
	all    []HostRecord    // all caches All.
	live   []string        // live caches Live.
	order  []string        // order has the names of all records, sorted.
	ailing map[string]bool // ailing are the hosts that are neither live nor leaving.
	sums   [buckets]uint64 // sums are digests of parts of the records.
}

type hostEntry struct {
	record  HostRecord
	changed time.Time
	heard   time.Time // heard is when it last spoke to this host directly.
	spoke   bool      // spoke tells that it has spoken to this host since this one started.
	doubted time.Time // doubted is when this host last suspected it.

	ring uint64 // ring is its distance from this host on the ring.
	pick uint64 // pick orders hosts as neighbours besides those on the ring, the least first.
}

func (h *Hosts) entry(now time.Time, r HostRecord) *hostEntry {
	return &hostEntry{
		record:  r,
		changed: now,
		heard:   now,
		ring:    xxhash.Sum64String(r.Host) - xxhash.Sum64String(h.self.Host),
		pick:    h.pickOf(r),
	}
}

// pickOf is the order of a host among the picks: those of this host's availability zone come first.
// News of hosts then crosses zones over the ring and between hosts that serve; over picks of all
// zones it crossed them twice as often.
func (h *Hosts) pickOf(r HostRecord) uint64 {
	const far = 1 << 63
	pick := Rank(r.Host, h.self.Host) >> 1
	if r.AvailabilityZone != h.self.AvailabilityZone {
		pick |= far
	}
	return pick
}

// NewHosts returns the view of a host that knows only itself.
func NewHosts(self HostRecord, opts HostOptions) *Hosts {
	if opts.Gone == 0 {
		opts.Gone = 3 * opts.Suspect
	}
	if opts.SuspectStandby == 0 {
		opts.SuspectStandby = opts.Suspect
	}
	if opts.Forget == 0 {
		opts.Forget = 10 * time.Minute
	}
	if opts.FullMesh == 0 {
		opts.FullMesh = fullMesh
	}
	if opts.Neighbours == 0 {
		opts.Neighbours = 4
	}
	self.Version = max(self.Version, 1)
	h := &Hosts{
		opts: opts, self: self, order: []string{self.Host}, ailing: make(map[string]bool),
		records: make(map[string]*hostEntry), listed: make(map[string]connector.ListedHost),
	}
	h.count(self)
	return h
}

// Self returns this host's own record.
func (h *Hosts) Self() HostRecord { return h.self }

// Say changes this host's own record and reports whether that is news.
func (h *Hosts) Say(change func(*HostRecord)) (HostRecord, bool) {
	next := h.self
	change(&next)
	if next == h.self {
		return h.self, false
	}
	next.Version++
	h.setSelf(next)
	return h.self, true
}

// changed drops what was worked out from the records.
func (h *Hosts) changed() { h.all, h.live = nil, nil }

// count takes a record into the digests. What a change costs must not grow with the number of
// records: digests over all of 985 were a tenth of what hosts did while all of them started.
func (h *Hosts) count(r HostRecord) { h.sums[r.bucket()] += r.digest() }

func (h *Hosts) discount(r HostRecord) { h.sums[r.bucket()] -= r.digest() }

func (h *Hosts) setSelf(r HostRecord) {
	h.discount(h.self)
	h.self = r
	h.count(r)
	h.changed()
}

// add takes in the record of a host that was not known.
func (h *Hosts) add(now time.Time, r HostRecord) {
	e := h.entry(now, r)
	h.records[r.Host] = e
	at, _ := slices.BinarySearch(h.order, r.Host)
	h.order = slices.Insert(h.order, at, r.Host)
	if h.edge.reaches(e) || h.active[r.Host] {
		h.near = nil
	}
	h.count(r)
	h.note(r)
	h.changed()
}

// set replaces the record of a known host.
func (h *Hosts) set(e *hostEntry, r HostRecord) {
	if was := e.record; was.State == HostGone != (r.State == HostGone) || was.Peers != r.Peers {
		h.near = nil
	}
	h.discount(e.record)
	e.record = r
	h.count(r)
	h.note(r)
	h.changed()
}

// drop forgets a host.
func (h *Hosts) drop(name string) {
	h.discount(h.records[name].record)
	delete(h.records, name)
	delete(h.ailing, name)
	if at, found := slices.BinarySearch(h.order, name); found {
		h.order = slices.Delete(h.order, at, at+1)
	}
	h.near = nil
	h.changed()
}

// note remembers which hosts are to be looked at although they are no neighbours.
func (h *Hosts) note(r HostRecord) {
	if r.State == HostLive || r.State == HostLeaving {
		delete(h.ailing, r.Host)
		return
	}
	h.ailing[r.Host] = true
}

// Merge takes a record that a peer passed on. It returns the records that are
// news to this host and must be passed on in turn.
func (h *Hosts) Merge(now time.Time, r HostRecord) []HostRecord {
	if r.Host == h.self.Host {
		return h.refute(r)
	}
	e := h.records[r.Host]
	if e == nil && r.State == HostGone {
		return nil // it was forgotten here
	}
	if e == nil {
		h.add(now, r)
		return []HostRecord{r}
	}
	if !r.supersedes(e.record) {
		return nil
	}
	if r.Incarnation > e.record.Incarnation {
		e.heard = now
	}
	h.set(e, r)
	e.changed = now
	return []HostRecord{r}
}

// refute answers what others say of this host. Incarnations come from the time of
// day: a process that was started after its clock had jumped back would else never
// be believed against what is remembered of the one before.
func (h *Hosts) refute(r HostRecord) []HostRecord {
	if !r.supersedes(h.self) {
		return nil
	}
	next := h.self
	if r.Incarnation > next.Incarnation {
		next.Incarnation = r.Incarnation + 1
	} else {
		next.Version = r.Version + 1
	}
	h.setSelf(next)
	return []HostRecord{next}
}

// Heard notes that a host spoke to this one directly. It reports whether that was the
// first time.
func (h *Hosts) Heard(now time.Time, host string) bool {
	e := h.records[host]
	if e == nil {
		return false
	}
	first := !e.spoke
	e.heard, e.spoke = now, true
	return first
}

// Unheard returns the neighbours that have not spoken since this host started. They are
// known from what was announced once, and may not be there.
func (h *Hosts) Unheard() map[string]bool {
	out := make(map[string]bool)
	for _, name := range h.Neighbours() {
		if !h.records[name].spoke {
			out[name] = true
		}
	}
	return out
}

// Listed takes the platform's host list.
func (h *Hosts) Listed(now time.Time, list []connector.ListedHost) []HostRecord {
	h.listed = make(map[string]connector.ListedHost, len(list))
	var news []HostRecord
	for _, l := range list {
		h.listed[l.Host] = l
		e := h.records[l.Host]
		if l.Host == h.self.Host {
			continue
		}
		if e == nil {
			h.add(now, HostRecord{Host: l.Host, State: HostJoining, AvailabilityZone: l.AvailabilityZone, Peers: l.Address})
			continue
		}
		if l.State == connector.ListedLeaving && e.record.State == HostLive {
			r := e.record
			r.State = HostLeaving
			news = append(news, h.Merge(now, r)...)
		}
	}
	return news
}

// Tick suspects silent neighbours, declares long suspected hosts gone and
// forgets those that are gone for long.
func (h *Hosts) Tick(now time.Time) []HostRecord {
	var news []HostRecord
	for _, name := range slices.Clone(h.Neighbours()) {
		e := h.records[name]
		if s := e.record.State; s != HostLive && s != HostLeaving {
			continue
		}
		silent := now.Sub(e.heard) > h.patience(name)
		again := now.Sub(e.doubted) > h.opts.Gone
		if silent && again {
			e.doubted = now
			news = append(news, h.declare(now, e, HostSuspect))
		}
	}
	for name := range h.ailing {
		e := h.records[name]
		_, still := h.listed[name]
		switch e.record.State {
		case HostSuspect:
			if now.Sub(e.changed) > h.opts.Gone {
				news = append(news, h.declare(now, e, HostGone))
			}
		case HostGone:
			if !still && now.Sub(e.changed) > h.opts.Forget {
				h.drop(name)
			}
		case HostJoining:
			if !still {
				h.drop(name)
			}
		}
	}
	return news
}

// patience is the silence after which a neighbour is suspected.
func (h *Hosts) patience(host string) time.Duration {
	if h.Prompt(host) {
		return h.opts.Suspect
	}
	return h.opts.SuspectStandby
}

func (h *Hosts) declare(now time.Time, e *hostEntry, s HostState) HostRecord {
	next := e.record
	next.State = s
	h.set(e, next)
	e.changed = now
	return next
}

// Lookup returns what is known of a host.
func (h *Hosts) Lookup(host string) (HostRecord, bool) {
	if host == h.self.Host {
		return h.self, true
	}
	if e := h.records[host]; e != nil {
		return e.record, true
	}
	return HostRecord{}, false
}

// All returns every record, this host's own included, sorted by name. The caller must
// not change it.
func (h *Hosts) All() []HostRecord {
	if h.all == nil {
		h.all = make([]HostRecord, 0, len(h.order))
		for _, name := range h.order {
			r, _ := h.Lookup(name)
			h.all = append(h.all, r)
		}
	}
	return h.all
}

// Live returns the names of the hosts that can take on duties, this one
// included unless it is leaving, sorted. The caller must not change it.
func (h *Hosts) Live() []string {
	if h.live != nil {
		return h.live
	}
	for _, r := range h.All() {
		if r.State == HostLive {
			h.live = append(h.live, r.Host)
		}
	}
	return h.live
}
