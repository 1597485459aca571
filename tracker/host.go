// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/connector"
)

// HostOptions configures failure detection and gossip between hosts.
type HostOptions struct {
	SuspectAfter time.Duration // SuspectAfter is the silence after which a neighbour is suspected.
	// SuspectStandbyAfter replaces SuspectAfter where the neighbour or this host is a standby; default SuspectAfter.
	SuspectStandbyAfter time.Duration
	GoneAfter           time.Duration // GoneAfter is the time from suspect to gone; default 3 SuspectAfter.
	ForgetAfter         time.Duration // ForgetAfter is how long records of gone hosts are kept; default 10 min.
	Neighbours          int           // Neighbours is the number of neighbours in a large fleet; default 4.
	FullMesh            int           // FullMesh is the number of hosts up to which all are neighbours; default 9.
}

// defaultFullMesh is the default of HostOptions.FullMesh.
const defaultFullMesh = 9

// Hosts is one host's view of all hosts. It is not safe for concurrent use.
type Hosts struct {
	opts    HostOptions
	self    HostRecord
	records map[string]*hostEntry
	listed  map[string]connector.ListedHost
	active  map[string]bool // active holds the hosts that serve callers; nil if all do.

	neighbourCache  []string            // neighbourCache caches Neighbours; nil if stale.
	neighbourBounds bounds              // neighbourBounds admits the hosts in neighbourCache.
	allCache        []HostRecord        // allCache caches All; nil if stale.
	liveCache       []string            // liveCache caches Live; nil if stale.
	sortedNames     []string            // sortedNames holds the names of all records.
	heardAt         time.Time           // heardAt is when this host last had contact with any other.
	hearsSince      time.Time           // hearsSince is since when it has had contact all the time; zero if it has none.
	unhealthy       map[string]bool     // unhealthy holds the hosts that are neither live nor leaving.
	bucketDigests   [bucketCount]uint64 // bucketDigests holds the sum of each bucket's digests.
}

type hostEntry struct {
	record      HostRecord
	changedAt   time.Time
	lastContact time.Time // lastContact is the time of the last direct contact.
	contacted   bool      // contacted reports whether there was any direct contact.
	suspectedAt time.Time // suspectedAt is when this host last suspected it.
	unheard     bool      // unheard reports that record.State was set while this host heard from nobody.
	told        HostState // told is the state that others are told meanwhile.

	distance uint64 // distance is its distance from this host on the hash ring.
	order    uint64 // order ranks hosts as neighbours, lowest first.
}

func (h *Hosts) newEntry(now time.Time, r HostRecord) *hostEntry {
	return &hostEntry{
		record:      r,
		changedAt:   now,
		lastContact: now,
		distance:    xxhash.Sum64String(r.Host) - xxhash.Sum64String(h.self.Host),
		order:       h.rendezvousOrder(r),
	}
}

// rendezvousOrder returns the rank of a host as a neighbour by rendezvous hashing. Hosts of this
// host's availability zone come first, to reduce traffic between zones.
func (h *Hosts) rendezvousOrder(r HostRecord) uint64 {
	const otherZone = 1 << 63
	order := Rank(r.Host, h.self.Host) >> 1
	if r.AvailabilityZone != h.self.AvailabilityZone {
		order |= otherZone
	}
	return order
}

// NewHosts returns the view of a host that knows no other host.
func NewHosts(self HostRecord, opts HostOptions) *Hosts {
	if opts.GoneAfter == 0 {
		opts.GoneAfter = 3 * opts.SuspectAfter
	}
	if opts.SuspectStandbyAfter == 0 {
		opts.SuspectStandbyAfter = opts.SuspectAfter
	}
	if opts.ForgetAfter == 0 {
		opts.ForgetAfter = 10 * time.Minute
	}
	if opts.FullMesh == 0 {
		opts.FullMesh = defaultFullMesh
	}
	if opts.Neighbours == 0 {
		opts.Neighbours = 4
	}
	self.Version = max(self.Version, 1)
	h := &Hosts{
		opts: opts, self: self, sortedNames: []string{self.Host}, unhealthy: make(map[string]bool),
		records: make(map[string]*hostEntry), listed: make(map[string]connector.ListedHost),
	}
	h.addDigest(self)
	return h
}

// Self returns this host's own record.
func (h *Hosts) Self() HostRecord { return h.self }

// UpdateSelf applies a change to this host's own record and reports whether the record differs; if so, its
// version increases.
func (h *Hosts) UpdateSelf(change func(*HostRecord)) (HostRecord, bool) {
	next := h.self
	change(&next)
	if next == h.self {
		return h.self, false
	}
	next.Version++
	h.setSelf(next)
	return h.self, true
}

// invalidate drops the cached results of All and Live.
func (h *Hosts) invalidate() { h.allCache, h.liveCache = nil, nil }

// addDigest adds a record to the digest of its bucket. Digests are sums, so that the cost of a change
// does not depend on the number of records. Digests computed over all of 985 records were a tenth
// of what hosts did while all of them started.
func (h *Hosts) addDigest(r HostRecord) { h.bucketDigests[r.bucket()] += r.digest() }

func (h *Hosts) removeDigest(r HostRecord) { h.bucketDigests[r.bucket()] -= r.digest() }

func (h *Hosts) setSelf(r HostRecord) {
	h.removeDigest(h.self)
	h.self = r
	h.addDigest(r)
	h.invalidate()
}

// add adds the record of an unknown host.
func (h *Hosts) add(now time.Time, r HostRecord) {
	e := h.newEntry(now, r)
	h.records[r.Host] = e
	at, _ := slices.BinarySearch(h.sortedNames, r.Host)
	h.sortedNames = slices.Insert(h.sortedNames, at, r.Host)
	if h.neighbourBounds.admit(e) || h.active[r.Host] {
		h.neighbourCache = nil
	}
	h.addDigest(r)
	h.updateUnhealthy(r)
	h.invalidate()
}

// set replaces the record of a known host.
func (h *Hosts) set(e *hostEntry, r HostRecord) {
	if before := e.record; before.State == HostGone != (r.State == HostGone) || before.Peers != r.Peers {
		h.neighbourCache = nil
	}
	h.removeDigest(e.toldRecord())
	e.record, e.unheard = r, false
	h.addDigest(r)
	h.updateUnhealthy(r)
	h.invalidate()
}

// drop removes the record of a host.
func (h *Hosts) drop(name string) {
	h.removeDigest(h.records[name].toldRecord())
	delete(h.records, name)
	delete(h.unhealthy, name)
	if at, found := slices.BinarySearch(h.sortedNames, name); found {
		h.sortedNames = slices.Delete(h.sortedNames, at, at+1)
	}
	h.neighbourCache = nil
	h.invalidate()
}

// updateUnhealthy updates the set of unhealthy hosts, which Tick checks even if they are no neighbours.
func (h *Hosts) updateUnhealthy(r HostRecord) {
	if r.State == HostLive || r.State == HostLeaving {
		delete(h.unhealthy, r.Host)
		return
	}
	h.unhealthy[r.Host] = true
}

// Merge merges a record received from a peer. It returns the records that were new to this host and
// must be forwarded.
func (h *Hosts) Merge(now time.Time, r HostRecord) []HostRecord {
	if r.Host == h.self.Host {
		return h.refute(r)
	}
	e := h.records[r.Host]
	if e == nil && r.State == HostGone {
		return nil // already removed here
	}
	if e == nil {
		h.add(now, r)
		return []HostRecord{r}
	}
	if !r.supersedes(e.toldRecord()) {
		return nil
	}
	if r.Incarnation > e.record.Incarnation {
		e.lastContact = now
	}
	h.set(e, r)
	e.changedAt = now
	return []HostRecord{r}
}

// refute overrides a newer record of this host that a peer holds. The incarnation may have to
// increase as well: it comes from the clock, which may have been set back before a restart.
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

// RecordContact records direct contact with a host, and reports whether it was the first, or has ended a state that was
// set while this host heard from nobody.
func (h *Hosts) RecordContact(now time.Time, host string) bool {
	e := h.records[host]
	if e == nil {
		return false
	}
	news := !e.contacted || e.unheard
	e.lastContact, e.contacted = now, true
	h.heardAt = now
	if e.unheard {
		h.set(e, e.toldRecord())
		e.changedAt = now
	}
	return news
}

// toldRecord returns the record that other hosts are told.
func (e *hostEntry) toldRecord() HostRecord {
	r := e.record
	if e.unheard {
		r.State = e.told
	}
	return r
}

// Told returns what other hosts are told: all records, sorted by name, without the states that were set while this host
// heard from nobody. It can't know then whether the others or itself were cut off.
func (h *Hosts) Told() []HostRecord {
	out := slices.Clone(h.All())
	for i, r := range out {
		if e := h.records[r.Host]; e != nil {
			out[i] = e.toldRecord()
		}
	}
	return out
}

// Uncontacted returns the neighbours without direct contact since this host started. They are known from
// announcements or peers only and may no longer exist.
func (h *Hosts) Uncontacted() map[string]bool {
	out := make(map[string]bool)
	for _, name := range h.Neighbours() {
		if !h.records[name].contacted {
			out[name] = true
		}
	}
	return out
}

// Listed merges the platform's host list and returns the records that must be forwarded.
func (h *Hosts) Listed(now time.Time, list []connector.ListedHost) []HostRecord {
	h.listed = make(map[string]connector.ListedHost, len(list))
	var updates []HostRecord
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
			updates = append(updates, h.Merge(now, r)...)
		}
	}
	return updates
}

// Tick suspects silent neighbours, declares suspected hosts gone after GoneAfter and removes the
// records of gone hosts after ForgetAfter. It returns the records that have changed, and those of them that must be
// forwarded: what a host concludes that hears from nobody, it keeps to itself.
func (h *Hosts) Tick(now time.Time) (changed, forwarded []HostRecord) {
	set := func(e *hostEntry, s HostState) {
		var r HostRecord
		if h.hearsNobody(now, e) {
			r = h.setUnheard(now, e, s)
		} else {
			r = h.setState(now, e, s)
			forwarded = append(forwarded, r)
		}
		changed = append(changed, r)
	}
	h.updateHearsSince(now)
	for _, name := range slices.Clone(h.Neighbours()) {
		e := h.records[name]
		if s := e.record.State; s != HostLive && s != HostLeaving {
			continue
		}
		silent := now.Sub(e.lastContact) > h.suspectTimeout(name)
		mayRepeat := now.Sub(e.suspectedAt) > h.opts.GoneAfter
		if silent && mayRepeat {
			e.suspectedAt = now
			set(e, HostSuspect)
		}
	}
	for name := range h.unhealthy {
		e := h.records[name]
		_, stillListed := h.listed[name]
		if e.unheard && !h.hearsSince.IsZero() && now.Sub(h.hearsSince) > h.suspectTimeout(name) {
			set(e, e.record.State) // others are heard again, and this one is not
		}
		switch e.record.State {
		case HostSuspect:
			if now.Sub(e.changedAt) > h.opts.GoneAfter {
				set(e, HostGone)
			}
		case HostGone:
			if !stillListed && now.Sub(e.changedAt) > h.opts.ForgetAfter {
				h.drop(name)
			}
		case HostJoining:
			if !stillListed {
				h.drop(name)
			}
		}
	}
	return changed, forwarded
}

// hearsNobody reports whether this host has had no contact with any other for half of the silence after which it suspects
// one. A neighbour other than e would have sent something by then.
func (h *Hosts) hearsNobody(now time.Time, e *hostEntry) bool {
	silence := time.Duration(-1)
	for _, name := range h.Neighbours() {
		o := h.records[name]
		if s := o.record.State; o == e || s != HostLive && s != HostLeaving {
			continue
		}
		if t := h.suspectTimeout(name); silence < 0 || t < silence {
			silence = t
		}
	}
	return silence < 0 || now.Sub(h.heardAt) > silence/2
}

// updateHearsSince updates since when this host has had contact with others.
func (h *Hosts) updateHearsSince(now time.Time) {
	switch {
	case h.hearsNobody(now, nil):
		h.hearsSince = time.Time{}
	case h.hearsSince.IsZero():
		h.hearsSince = now
	}
}

// setUnheard sets the state of a host here, but not in what others are told.
func (h *Hosts) setUnheard(now time.Time, e *hostEntry, s HostState) HostRecord {
	if !e.unheard {
		e.unheard, e.told = true, e.record.State
	}
	if e.record.State == HostGone != (s == HostGone) {
		h.neighbourCache = nil
	}
	e.record.State, e.changedAt = s, now
	h.updateUnhealthy(e.record)
	h.invalidate()
	return e.record
}

// suspectTimeout returns the silence after which a neighbour is suspected.
func (h *Hosts) suspectTimeout(host string) time.Duration {
	if h.FrequentHeartbeats(host) {
		return h.opts.SuspectAfter
	}
	return h.opts.SuspectStandbyAfter
}

func (h *Hosts) setState(now time.Time, e *hostEntry, s HostState) HostRecord {
	next := e.record
	next.State = s
	h.set(e, next)
	e.changedAt = now
	return next
}

// Lookup returns the record of a host and reports whether it is known.
func (h *Hosts) Lookup(host string) (HostRecord, bool) {
	if host == h.self.Host {
		return h.self, true
	}
	if e := h.records[host]; e != nil {
		return e.record, true
	}
	return HostRecord{}, false
}

// All returns all records, this host's own included, sorted by name. The caller must not change
// the slice.
func (h *Hosts) All() []HostRecord {
	if h.allCache == nil {
		h.allCache = make([]HostRecord, 0, len(h.sortedNames))
		for _, name := range h.sortedNames {
			r, _ := h.Lookup(name)
			h.allCache = append(h.allCache, r)
		}
	}
	return h.allCache
}

// Live returns the sorted names of the live hosts, which includes this one unless it is leaving.
// The caller must not change the slice.
func (h *Hosts) Live() []string {
	if h.liveCache != nil {
		return h.liveCache
	}
	for _, r := range h.All() {
		if r.State == HostLive {
			h.liveCache = append(h.liveCache, r.Host)
		}
	}
	return h.liveCache
}
