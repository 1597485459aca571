// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"slices"
	"strings"
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

	near   []string     // near caches Neighbours; nil when it must be worked out anew.
	all    []HostRecord // all caches All.
	live   []string     // live caches Live.
	digest uint64       // digest caches Digest while all is cached.
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
		pick:    ^Rank(r.Host, h.self.Host),
	}
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
	return &Hosts{opts: opts, self: self, records: make(map[string]*hostEntry), listed: make(map[string]connector.ListedHost)}
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
	h.self = next
	h.changed()
	return h.self, true
}

// changed drops what was worked out from the records.
func (h *Hosts) changed() { h.all, h.live = nil, nil }

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
		h.near = nil
		h.changed()
		h.records[r.Host] = h.entry(now, r)
		return []HostRecord{r}
	}
	if !r.supersedes(e.record) {
		return nil
	}
	h.changed()
	if r.Incarnation > e.record.Incarnation {
		e.heard = now
	}
	if e.record.State != r.State || e.record.Peers != r.Peers {
		h.near = nil
	}
	e.record = r
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
	h.changed()
	if r.Incarnation > h.self.Incarnation {
		h.self.Incarnation = r.Incarnation + 1
		return []HostRecord{h.self}
	}
	h.self.Version = r.Version + 1
	return []HostRecord{h.self}
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
			h.near = nil
			h.changed()
			r := HostRecord{Host: l.Host, State: HostJoining, AvailabilityZone: l.AvailabilityZone, Peers: l.Address}
			h.records[l.Host] = h.entry(now, r)
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
	near := make(map[string]bool)
	for _, n := range h.Neighbours() {
		near[n] = true
	}
	for name, e := range h.records {
		switch e.record.State {
		case HostLive, HostLeaving:
			silent := now.Sub(e.heard) > h.patience(name)
			again := now.Sub(e.doubted) > h.opts.Gone
			if near[name] && silent && again {
				e.doubted = now
				news = append(news, h.declare(now, e, HostSuspect))
			}
		case HostSuspect:
			if now.Sub(e.changed) > h.opts.Gone {
				news = append(news, h.declare(now, e, HostGone))
			}
		case HostGone:
			if _, still := h.listed[name]; !still && now.Sub(e.changed) > h.opts.Forget {
				h.near = nil
				h.changed()
				delete(h.records, name)
			}
		case HostJoining:
			if _, still := h.listed[name]; !still {
				h.near = nil
				h.changed()
				delete(h.records, name)
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
	h.near = nil
	h.changed()
	e.record.State = s
	e.changed = now
	return e.record
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
		h.all = h.sorted()
		h.digest = digest(h.all)
	}
	return h.all
}

func (h *Hosts) sorted() []HostRecord {
	out := make([]HostRecord, 0, len(h.records)+1)
	out = append(out, h.self)
	for _, e := range h.records {
		out = append(out, e.record)
	}
	slices.SortFunc(out, func(a, b HostRecord) int { return strings.Compare(a.Host, b.Host) })
	return out
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
