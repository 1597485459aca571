// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// rankFactor is the ratio of the weights of a rank and the next less urgent one, as in the queue of
	// a host.
	rankFactor = 4
	// maxDeferred bounds the places by which a host defers to more urgent ones that do not use the room.
	// Hosts that defer to requests that have been started since their host's message would leave room
	// unused: of 24 hosts that compete for a slot each 10 ms, none was first for 23 ms on average. With 2,
	// 436 of 999 requests were started in 10 s, with 1 991 (TestOrderUnderChurn).
	maxDeferred = 1
	// orderTTL is how long the order of a service is kept if no message arrives. Silences and the
	// windows of started work change it.
	orderTTL = 20 * time.Millisecond
)

// urgency is the place of a request in the order over all hosts.
type urgency struct {
	starved bool // starved reports that its class is below its minimum share.
	late    bool
	rank    int
	under   bool // under reports that its workspace is below its share.
	startBy time.Duration
}

// compare returns a negative number if u is more urgent than v.
func (u urgency) compare(v urgency) int {
	return cmp.Or(
		-compareBool(u.starved, v.starved),
		compareBool(u.late, v.late),
		cmp.Compare(u.rank, v.rank),
		-compareBool(u.under, v.under),
		cmp.Compare(u.startBy, v.startBy),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// contender is another host at which requests for a service wait.
type contender struct {
	urgency
	host string
	hash uint64
}

// order is the order of the other hosts at which requests for a service wait.
type order struct {
	version uint64
	at      time.Time
	heads   []contender       // heads has the most urgent request of each host, the most urgent first.
	starved map[ClassKey]bool // starved are the waiting classes below their minimum share, as any host has measured.
	under   map[string]bool   // under are the waiting workspaces below their share, as any host has measured.
	// ownStarved and ownUnder are the same as measured by this host.
	ownStarved map[ClassKey]bool
	ownUnder   map[string]bool
	ranks      map[ClassKey]int    // ranks are those of the waiting classes.
	waiting    map[string]struct{} // waiting are the workspaces that wait anywhere.
}

// memo is the place of the last request, for the other candidate engines of the same choice.
type memo struct {
	request Request
	order   *order
	version uint64
	at      time.Time
	before  int      // before is the number of hosts that precede it at all engines.
	ties    []uint64 // ties are the hashes of hosts whose requests are equally urgent.
}

// Ahead returns the number of hosts that precede this one for a request at an upstream. It is at most
// maxDeferred more than the place of this host by rendezvous hash of host and upstream.
func (a *Arbiter) Ahead(now time.Time, r Request, upstreamHash uint64) int {
	if !a.contended.Load() {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := a.order(now, r.Key.Service)
	if len(o.heads) == 0 {
		return 0
	}
	m := &a.memo
	if m.order != o || m.version != o.version || !m.at.Equal(o.at) || m.request != r {
		a.place(o, r)
	}
	n := m.before
	own := rendezvous(a.hash, upstreamHash)
	for _, h := range m.ties {
		if rendezvous(h, upstreamHash) > own {
			n++
		}
	}
	if n <= maxDeferred {
		return n
	}
	place := maxDeferred
	for i := range o.heads {
		if place < n && rendezvous(o.heads[i].hash, upstreamHash) > own {
			place++
		}
	}
	return min(n, place)
}

// place computes the place of a request; a.mu is held.
func (a *Arbiter) place(o *order, r Request) {
	u := a.urgency(o, r)
	m := &a.memo
	m.request, m.order, m.version, m.at = r, o, o.version, o.at
	m.before = sort.Search(len(o.heads), func(i int) bool { return o.heads[i].compare(u) >= 0 })
	m.ties = m.ties[:0]
	for _, h := range o.heads[m.before:] {
		if h.compare(u) != 0 {
			break
		}
		m.ties = append(m.ties, h.hash)
	}
}

// urgency returns the urgency of a request; a.mu is held.
func (a *Arbiter) urgency(o *order, r Request) urgency {
	u := urgency{starved: o.starved[r.Key], late: r.Lane == LaneLate, rank: r.Rank, under: o.under[r.Workspace], startBy: math.MaxInt64}
	if !r.StartBy.IsZero() {
		u.startBy = r.StartBy.Sub(a.epoch)
	}
	return u
}

// request returns the head of a backlog.
func (b *peerBacklog) request() Request {
	return Request{Key: b.Key, Rank: b.Rank, Lane: b.Head.Lane, Workspace: b.Head.Workspace, StartBy: b.startBy}
}

// rendezvous returns the rendezvous hashing weight of a host for an upstream.
func rendezvous(host, upstream uint64) uint64 {
	x := host ^ upstream
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// order returns the current order of a service; a.mu is held.
func (a *Arbiter) order(now time.Time, service string) *order {
	o := a.orders[service]
	if o == nil {
		o = &order{starved: make(map[ClassKey]bool), under: make(map[string]bool), ownStarved: make(map[ClassKey]bool), ownUnder: make(map[string]bool), ranks: make(map[ClassKey]int), waiting: make(map[string]struct{})}
		a.orders[service] = o
	}
	if age := now.Sub(o.at); !o.at.IsZero() && o.version == a.version && age >= 0 && age < orderTTL {
		return o
	}
	period := a.period(now) // sets the epoch
	o.version, o.at = a.version, now
	a.findWaiting(now, service, o)
	a.findStarved(period, o)
	a.findUnder(now, service, period, o)
	a.addStated(now, service, o)
	o.heads = o.heads[:0]
	for host, p := range a.peers {
		if !p.heard(now) {
			continue
		}
		c := contender{host: host, hash: p.hash}
		found := false
		for i := range p.backlogs {
			b := &p.backlogs[i]
			if b.Key.Service != service {
				continue
			}
			if u := a.urgency(o, b.request()); !found || u.compare(c.urgency) < 0 {
				c.urgency, found = u, true
			}
		}
		if found {
			o.heads = append(o.heads, c)
		}
	}
	slices.SortFunc(o.heads, func(x, y contender) int { return cmp.Or(x.compare(y.urgency), cmp.Compare(x.host, y.host)) })
	return o
}

// findWaiting collects the classes and workspaces of a service that wait at any host; a.mu is held.
func (a *Arbiter) findWaiting(now time.Time, service string, o *order) {
	clear(o.ranks)
	clear(o.waiting)
	add := func(backlogs []peerBacklog, usage []Usage) {
		for i := range backlogs {
			if b := &backlogs[i]; b.Key.Service == service && b.waiting() > 0 {
				o.ranks[b.Key] = b.Rank
				o.waiting[b.Head.Workspace] = struct{}{}
			}
		}
		for i := range usage {
			if usage[i].Service == service {
				o.waiting[usage[i].Workspace] = struct{}{}
			}
		}
	}
	add(a.local.backlogs, a.local.usage)
	for _, p := range a.peers {
		if p.heard(now) {
			add(p.backlogs, p.usage)
		}
	}
}

// findStarved finds the waiting classes that lack at least one request of mean size of their minimum
// share, which is their weight among the waiting classes. It is measured by work if that is known; a.mu is
// held.
func (a *Arbiter) findStarved(period int64, o *order) {
	clear(o.starved)
	var weights, work, started float64
	for key, rank := range o.ranks {
		weights += weight(rank)
		if w := a.classes[key]; w != nil {
			work += w.work.sum(period)
			started += w.count.sum(period)
		}
	}
	total, one := work, work/max(started, 1)
	if work == 0 {
		total, one = started, 1
	}
	if total == 0 {
		return
	}
	for key, rank := range o.ranks {
		own := 0.0
		if w := a.classes[key]; w != nil {
			own = w.count.sum(period)
			if work > 0 {
				own = w.work.sum(period)
			}
		}
		if total*weight(rank)/weights-own >= one {
			o.starved[key] = true
		}
	}
}

// addStated adds what other hosts have measured, and drops what this host has measured but cannot tell them
// with a head; a.mu is held.
func (a *Arbiter) addStated(now time.Time, service string, o *order) {
	clear(o.ownStarved)
	clear(o.ownUnder)
	for i := range a.local.backlogs {
		if b := &a.local.backlogs[i]; b.Key.Service == service && b.waiting() > 0 {
			if o.starved[b.Key] {
				o.ownStarved[b.Key] = true
			}
			if o.under[b.Head.Workspace] {
				o.ownUnder[b.Head.Workspace] = true
			}
		}
	}
	clear(o.starved)
	maps.Copy(o.starved, o.ownStarved)
	clear(o.under)
	maps.Copy(o.under, o.ownUnder)
	for _, p := range a.peers {
		if !p.heard(now) {
			continue
		}
		for i := range p.backlogs {
			if b := &p.backlogs[i]; b.Key.Service == service {
				if b.Head.Starved {
					o.starved[b.Key] = true
				}
				if b.Head.Under {
					o.under[b.Head.Workspace] = true
				}
			}
		}
	}
}

// weight returns the weight of a class.
func weight(rank int) float64 { return math.Pow(rankFactor, -float64(rank)) }

// findUnder finds the waiting workspaces for which less work than the mean was started lately over all
// hosts; a.mu is held.
func (a *Arbiter) findUnder(now time.Time, service string, period int64, o *order) {
	clear(o.under)
	if len(o.waiting) < 2 {
		return
	}
	works := make(map[string]float64, len(o.waiting))
	for i := range a.local.usage {
		if u := &a.local.usage[i]; u.Service == service {
			works[u.Workspace] = u.Work
		}
	}
	for name := range o.waiting {
		works[name] = max(works[name], a.ownWork(service, name, period))
	}
	for _, p := range a.peers {
		if !p.heard(now) {
			continue
		}
		for i := range p.usage {
			if u := &p.usage[i]; u.Service == service {
				works[u.Workspace] += u.Work
			}
		}
	}
	total := 0.0
	for _, w := range works {
		total += w
	}
	mean := total / float64(len(works))
	for name, w := range works {
		if w < mean {
			o.under[name] = true
		}
	}
}

// ownWork returns the work that this host has started for a workspace lately; a.mu is held.
func (a *Arbiter) ownWork(service, workspace string, period int64) float64 {
	if w := a.works[workspaceKey{service, workspace}]; w != nil {
		return w.sum(period)
	}
	return 0
}
