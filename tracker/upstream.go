// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"slices"
	"sort"
	"time"

	"amaranthgate.example/amaranthgate/internal/wire"
)

// UpstreamState is the state of an upstream.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamLive    UpstreamState = "Live"
	UpstreamSilent  UpstreamState = "Silent"  // UpstreamSilent did not answer its watchers.
	UpstreamLeaving UpstreamState = "Leaving" // UpstreamLeaving must get no new requests.
)

var upstreamSeverity = map[UpstreamState]int{UpstreamLive: 0, UpstreamSilent: 1, UpstreamLeaving: 2}

// UpstreamRecord describes an upstream. Hosts gossip these records.
type UpstreamRecord struct {
	Upstream    string
	Incarnation uint64
	Version     uint64
	State       UpstreamState
}

func (r UpstreamRecord) supersedes(o UpstreamRecord) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Version != o.Version {
		return r.Version > o.Version
	}
	return upstreamSeverity[r.State] > upstreamSeverity[o.State]
}

// LoadDigest is a load report as gossiped by a watcher.
type LoadDigest struct {
	Upstream      string
	Watcher       string
	Stamp         uint64 // Stamp increases with each digest of a watcher about an upstream.
	Running       int
	Waiting       int
	WaitingTokens int
	Models        []wire.LoadedModel
	Role          string
	Same          bool // Same reports whether Models and Role are left out because they have not changed.
}

// SameLoad reports whether two digests have the same load, models and role.
func SameLoad(a, b LoadDigest) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.WaitingTokens == b.WaitingTokens && SameModels(a, b)
}

// SameModels reports whether two digests have the same models and role.
func SameModels(a, b LoadDigest) bool { return a.Role == b.Role && slices.Equal(a.Models, b.Models) }

// UpstreamOptions configures the tracking of upstreams.
type UpstreamOptions struct {
	Watchers     int           // Watchers is the number of hosts that poll an upstream; default 2.
	Failures     int           // Failures is the number of failed polls in a row that make it silent; default 3.
	RecoverAfter time.Duration // RecoverAfter is how long a leaving upstream must report live; default 5 s.
}

// Upstreams is one host's view of all upstreams. It is not safe for concurrent use.
type Upstreams struct {
	opts    UpstreamOptions
	records map[string]*upstreamEntry
}

type upstreamEntry struct {
	record        UpstreamRecord
	failures      int
	liveSince     time.Time
	digest        LoadDigest
	lastStamps    map[string]uint64 // lastStamps holds the newest stamp of each watcher.
	loadTime      time.Time
	listedLeaving bool // listedLeaving reports whether the host list shows it as leaving.
}

// NewUpstreams returns an empty view.
func NewUpstreams(opts UpstreamOptions) *Upstreams {
	if opts.Watchers == 0 {
		opts.Watchers = 2
	}
	if opts.Failures == 0 {
		opts.Failures = 3
	}
	if opts.RecoverAfter == 0 {
		opts.RecoverAfter = 5 * time.Second
	}
	return &Upstreams{opts: opts, records: make(map[string]*upstreamEntry)}
}

func (u *Upstreams) entry(name string) *upstreamEntry {
	e := u.records[name]
	if e == nil {
		e = &upstreamEntry{record: UpstreamRecord{Upstream: name, State: UpstreamLive}, lastStamps: make(map[string]uint64)}
		u.records[name] = e
	}
	return e
}

// Retain removes the upstreams for which keep returns false.
func (u *Upstreams) Retain(keep func(name string) bool) {
	for n := range u.records {
		if !keep(n) {
			delete(u.records, n)
		}
	}
}

// Merge merges a record received from a peer and reports whether it was new.
func (u *Upstreams) Merge(r UpstreamRecord) bool {
	e := u.entry(r.Upstream)
	if !r.supersedes(e.record) {
		return false
	}
	e.record = r
	return true
}

// MergeLoad merges a load digest received from a peer and reports whether it was new.
func (u *Upstreams) MergeLoad(now time.Time, d LoadDigest) bool {
	e := u.entry(d.Upstream)
	if d.Stamp <= e.lastStamps[d.Watcher] || d.Same && e.digest.Stamp == 0 {
		return false // stale, or the models are unknown here
	}
	e.lastStamps[d.Watcher] = d.Stamp
	if d.Same {
		d.Models, d.Role, d.Same = e.digest.Models, e.digest.Role, false
	}
	e.digest = d
	e.loadTime = now
	return true
}

// Leave marks an upstream as leaving. It returns its record and whether the record has changed.
func (u *Upstreams) Leave(name string) (UpstreamRecord, bool) {
	e := u.entry(name)
	if e.record.State == UpstreamLeaving {
		return e.record, false
	}
	e.record.State = UpstreamLeaving
	e.record.Version++
	e.liveSince = time.Time{}
	return e.record, true
}

// Reported applies a load report that this host, as a watcher, got from an upstream. It returns the
// upstream's record and whether the record has changed.
func (u *Upstreams) Reported(now time.Time, watcher, name string, rep wire.LoadReport) (UpstreamRecord, bool) {
	e := u.entry(name)
	e.failures = 0
	d := LoadDigest{
		Upstream:      name,
		Watcher:       watcher,
		Stamp:         max(uint64(now.UnixMilli()), e.lastStamps[watcher]+1),
		Running:       rep.Running,
		Waiting:       rep.Waiting,
		WaitingTokens: rep.WaitingTokens,
		Models:        rep.Models,
		Role:          rep.Role,
	}
	u.MergeLoad(now, d)
	state := UpstreamLive
	if rep.State == wire.LoadLeaving {
		state = UpstreamLeaving
	}
	if rep.Incarnation > e.record.Incarnation {
		e.record = UpstreamRecord{Upstream: name, Incarnation: rep.Incarnation, State: state}
		e.listedLeaving = false
		return e.record, true
	}
	if rep.Incarnation < e.record.Incarnation {
		return e.record, false
	}
	return u.setState(now, e, state)
}

// setState changes the state within one incarnation.
func (u *Upstreams) setState(now time.Time, e *upstreamEntry, state UpstreamState) (UpstreamRecord, bool) {
	switch {
	case state == e.record.State:
		e.liveSince = time.Time{}
		return e.record, false
	case state == UpstreamLive && e.record.State == UpstreamLeaving:
		if e.liveSince.IsZero() {
			e.liveSince = now
		}
		if e.listedLeaving || now.Sub(e.liveSince) < u.opts.RecoverAfter {
			return e.record, false
		}
	}
	e.liveSince = time.Time{}
	e.record.State = state
	e.record.Version++
	return e.record, true
}

// Unanswered counts a poll by this host, as a watcher, that an upstream did not answer. It returns
// the upstream's record and whether the record has changed.
func (u *Upstreams) Unanswered(now time.Time, name string) (UpstreamRecord, bool) {
	e := u.entry(name)
	e.failures++
	if e.failures < u.opts.Failures || e.record.State != UpstreamLive {
		return e.record, false
	}
	return u.setState(now, e, UpstreamSilent)
}

// Listed applies the state of an upstream in the platform's host list. It returns the upstream's
// record and whether the record has changed.
func (u *Upstreams) Listed(name string, leaving bool) (UpstreamRecord, bool) {
	e := u.entry(name)
	e.listedLeaving = leaving
	if !leaving {
		return e.record, false
	}
	return u.Leave(name)
}

// Lookup returns the record of an upstream, its newest load digest and when that was merged.
func (u *Upstreams) Lookup(name string) (UpstreamRecord, LoadDigest, time.Time) {
	e := u.records[name]
	if e == nil {
		return UpstreamRecord{Upstream: name, State: UpstreamLive}, LoadDigest{}, time.Time{}
	}
	r := e.record
	if e.listedLeaving {
		r.State = UpstreamLeaving
	}
	return r, e.digest, e.loadTime
}

// All returns the records that differ from the default of an unknown upstream, sorted by name.
func (u *Upstreams) All() []UpstreamRecord {
	var out []UpstreamRecord
	for _, e := range u.records {
		if e.record.Incarnation > 0 || e.record.State != UpstreamLive {
			out = append(out, e.record)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Upstream < out[j].Upstream })
	return out
}

// Loads returns the newest load digest of each upstream that has one.
func (u *Upstreams) Loads() []LoadDigest {
	var out []LoadDigest
	for _, e := range u.records {
		if e.digest.Stamp > 0 {
			out = append(out, e.digest)
		}
	}
	return out
}

// Watches reports whether a host is among the watchers of an upstream.
func (u *Upstreams) Watches(hosts []string, host, upstream string) bool {
	place := RankIndex(hosts, host, upstream)
	return place >= 0 && place < u.opts.Watchers
}
