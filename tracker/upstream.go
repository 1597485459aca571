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
	UpstreamSilent  UpstreamState = "Silent"  // UpstreamSilent does not answer its watchers.
	UpstreamLeaving UpstreamState = "Leaving" // UpstreamLeaving must get no new work.
)

var upstreamSeverity = map[UpstreamState]int{UpstreamLive: 0, UpstreamSilent: 1, UpstreamLeaving: 2}

// UpstreamRecord is what is said of an upstream.
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

// LoadDigest is a load report as a watcher passes it on.
type LoadDigest struct {
	Upstream      string
	Watcher       string
	Stamp         uint64 // Stamp grows with each digest of a watcher about an upstream.
	Running       int
	Waiting       int
	WaitingTokens int
	Models        []wire.LoadedModel
	Role          string
	Same          bool // Same tells that Models and Role are left out, being as they were.
}

// SameLoad reports whether two digests say the same but for their stamps.
func SameLoad(a, b LoadDigest) bool {
	return a.Running == b.Running && a.Waiting == b.Waiting && a.WaitingTokens == b.WaitingTokens && SameModels(a, b)
}

// SameModels reports whether two digests name the same models and role.
func SameModels(a, b LoadDigest) bool { return a.Role == b.Role && slices.Equal(a.Models, b.Models) }

// UpstreamOptions set the times for upstreams.
type UpstreamOptions struct {
	Watchers  int           // Watchers is the number of hosts that ask an upstream for its load; default 2.
	Failures  int           // Failures is the number of unanswered questions after which it is silent; default 3.
	BackAfter time.Duration // BackAfter is how long an upstream that was leaving must say it is live; default 5 s.
}

// Upstreams is what one host knows of all upstreams. It is not safe for
// concurrent use.
type Upstreams struct {
	opts    UpstreamOptions
	records map[string]*upstreamEntry
}

type upstreamEntry struct {
	record    UpstreamRecord
	failures  int
	liveSince time.Time
	digest    LoadDigest
	stamps    map[string]uint64 // stamps holds the newest stamp of each watcher.
	loadAt    time.Time
	listed    bool // listed tells that the host list has shown it as leaving.
}

// NewUpstreams returns a view without upstreams.
func NewUpstreams(opts UpstreamOptions) *Upstreams {
	if opts.Watchers == 0 {
		opts.Watchers = 2
	}
	if opts.Failures == 0 {
		opts.Failures = 3
	}
	if opts.BackAfter == 0 {
		opts.BackAfter = 5 * time.Second
	}
	return &Upstreams{opts: opts, records: make(map[string]*upstreamEntry)}
}

func (u *Upstreams) entry(name string) *upstreamEntry {
	e := u.records[name]
	if e == nil {
		e = &upstreamEntry{record: UpstreamRecord{Upstream: name, State: UpstreamLive}, stamps: make(map[string]uint64)}
		u.records[name] = e
	}
	return e
}

// Retain forgets the upstreams for which keep is false.
func (u *Upstreams) Retain(keep func(name string) bool) {
	for n := range u.records {
		if !keep(n) {
			delete(u.records, n)
		}
	}
}

// Merge takes a record that a peer passed on and reports whether it is news.
func (u *Upstreams) Merge(r UpstreamRecord) bool {
	e := u.entry(r.Upstream)
	if !r.supersedes(e.record) {
		return false
	}
	e.record = r
	return true
}

// MergeLoad takes a load digest that a peer passed on and reports whether it
// is news.
func (u *Upstreams) MergeLoad(now time.Time, d LoadDigest) bool {
	e := u.entry(d.Upstream)
	if d.Stamp <= e.stamps[d.Watcher] || d.Same && e.digest.Stamp == 0 {
		return false // old, or about models that this host was never told
	}
	e.stamps[d.Watcher] = d.Stamp
	if d.Same {
		d.Models, d.Role, d.Same = e.digest.Models, e.digest.Role, false
	}
	e.digest = d
	e.loadAt = now
	return true
}

// Leave notes a sign that an upstream is leaving, and returns its record if
// that is news.
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

// Reported takes a report that an upstream gave to this host, one of its
// watchers, and returns its record if that is news.
func (u *Upstreams) Reported(now time.Time, watcher, name string, rep wire.LoadReport) (UpstreamRecord, bool) {
	e := u.entry(name)
	e.failures = 0
	d := LoadDigest{
		Upstream:      name,
		Watcher:       watcher,
		Stamp:         max(uint64(now.UnixMilli()), e.stamps[watcher]+1),
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
		e.listed = false
		return e.record, true
	}
	if rep.Incarnation < e.record.Incarnation {
		return e.record, false
	}
	return u.observe(now, e, state)
}

// observe changes the state within one incarnation.
func (u *Upstreams) observe(now time.Time, e *upstreamEntry, state UpstreamState) (UpstreamRecord, bool) {
	switch {
	case state == e.record.State:
		e.liveSince = time.Time{}
		return e.record, false
	case state == UpstreamLive && e.record.State == UpstreamLeaving:
		if e.liveSince.IsZero() {
			e.liveSince = now
		}
		if e.listed || now.Sub(e.liveSince) < u.opts.BackAfter {
			return e.record, false
		}
	}
	e.liveSince = time.Time{}
	e.record.State = state
	e.record.Version++
	return e.record, true
}

// Unanswered notes that an upstream did not answer this host, one of its
// watchers, and returns its record if that is news.
func (u *Upstreams) Unanswered(now time.Time, name string) (UpstreamRecord, bool) {
	e := u.entry(name)
	e.failures++
	if e.failures < u.opts.Failures || e.record.State != UpstreamLive {
		return e.record, false
	}
	return u.observe(now, e, UpstreamSilent)
}

// Listed takes what the platform's host list says of an upstream and returns
// its record if that is news.
func (u *Upstreams) Listed(name string, leaving bool) (UpstreamRecord, bool) {
	e := u.entry(name)
	e.listed = leaving
	if !leaving {
		return e.record, false
	}
	return u.Leave(name)
}

// Lookup returns what is known of an upstream.
func (u *Upstreams) Lookup(name string) (UpstreamRecord, LoadDigest, time.Time) {
	e := u.records[name]
	if e == nil {
		return UpstreamRecord{Upstream: name, State: UpstreamLive}, LoadDigest{}, time.Time{}
	}
	r := e.record
	if e.listed {
		r.State = UpstreamLeaving
	}
	return r, e.digest, e.loadAt
}

// All returns every record that says more than nothing, sorted by name.
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

// Loads returns the newest load digest of every upstream that has one.
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
	place := Place(hosts, host, upstream)
	return place >= 0 && place < u.opts.Watchers
}
