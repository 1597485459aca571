// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/assessor"
)

// Limits of the reports between hosts.
const (
	// maxQueuedReports bounds each queue of placements, samples, transfers and prefills that wait
	// for the next report. Entries beyond it are dropped, which costs other hosts a prefill at
	// most.
	maxQueuedReports = 4096
	// peerReportTTL is how long the last report of another host counts. Hosts report several times
	// a second. One that is silent for longer has ended or is partitioned, and its requests have
	// ended or soon will.
	peerReportTTL = 1500 * time.Millisecond
)

// Placement reports that an engine has prefilled a part.
type Placement struct {
	// Upstream is the engine's instance, as returned by follower.Upstream.InstanceID.
	Upstream string  `cbor:"1,keyasint"`
	Key      PartKey `cbor:"2,keyasint"`
	Tokens   int     `cbor:"3,keyasint"`
}

// Report is what a host sends to the other hosts.
type Report struct {
	// Work is keyed by upstream instance; instances left out have none. An empty map is encoded, since a report
	// without Work says nothing of it.
	Work   map[string]Work `cbor:"1,keyasint"`
	Placed []Placement     `cbor:"2,keyasint,omitempty"` // Placed are placements since the last report.
	// Stores is the work of transfers from stores, by store address.
	Stores map[string]Work `cbor:"3,keyasint,omitempty"`
	// Transfers were timed since the last report.
	Transfers []Transfer   `cbor:"4,keyasint,omitempty"`
	Paces     []PaceSample `cbor:"7,keyasint,omitempty"` // Paces were sampled since the last report.
	// Links is the work of transfers on the links of engines, by instance; links left out of a full report
	// have none.
	Links map[string]Work `cbor:"10,keyasint,omitempty"`
	// Waiting is the number of requests that wait at the host.
	Waiting int `cbor:"5,keyasint,omitempty"`
	// Begun are prefills started since the last report.
	Begun []PrefillStart `cbor:"8,keyasint,omitempty"`
	// Partial reports that Work has only upstreams whose work has changed since the last report,
	// including those that no longer have any, and that Stores is unchanged.
	Partial bool `cbor:"6,keyasint,omitempty"`
	// Loads are slowdowns that upstreams have stated since the last report, and returns to the usual pace.
	Loads []assessor.Statement `cbor:"9,keyasint,omitempty"`
}

// Add adds the work of another report to r, without impossible figures of links, which the receivers of a sum
// could not tell from those of other hosts.
func (r *Report) Add(o Report) {
	for id, w := range o.Work {
		sum := r.Work[id]
		sum.add(w)
		r.Work[id] = sum
	}
	for id, w := range o.Stores {
		sum := r.Stores[id]
		sum.add(w)
		r.Stores[id] = sum
	}
	for id, w := range o.Links {
		if !w.validOnLink() {
			continue
		}
		if r.Links == nil {
			r.Links = make(map[string]Work)
		}
		sum := r.Links[id]
		sum.add(w)
		sum.Requests, sum.Pending = min(sum.Requests, maxLinkTokens), min(sum.Pending, maxLinkTokens)
		r.Links[id] = sum
	}
}

func (p *Placer) queuePlacement(placement Placement) {
	if len(p.placements) < maxQueuedReports {
		p.placements = append(p.placements, placement)
	}
}

// Report returns the full report for the other hosts and clears what was queued for it. A host that is cut off from
// the upstreams reports no work, so that it holds no places there.
func (p *Placer) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Work: make(map[string]Work), Stores: make(map[string]Work), Placed: p.placements, Transfers: p.transfers, Paces: p.samples, Begun: p.prefillStarts}
	p.placements, p.transfers, p.samples, p.prefillStarts = nil, nil, nil, nil
	clear(p.changed)
	r.Links = p.links()
	r.Waiting = p.waiting()
	for address, st := range p.stores {
		if st.own.Requests > 0 {
			r.Stores[address] = st.own
		}
	}
	for t := range p.activeTargets {
		if t.own.Requests > 0 {
			r.Work[t.instance] = t.own
		} else {
			delete(p.activeTargets, t)
		}
	}
	if p.cut.off {
		r.Work, r.Stores, r.Links, r.Waiting = make(map[string]Work), make(map[string]Work), nil, 0
	}
	return r
}

// Changes returns a partial report of what has changed since the last report. It keeps the urgent
// reports of long prompts small. With 15 hosts, full reports at each long prompt were three
// quarters of the bytes between hosts.
func (p *Placer) Changes() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Partial: true, Work: make(map[string]Work, len(p.changed)), Placed: p.placements, Begun: p.prefillStarts, Waiting: p.waiting()}
	p.placements, p.prefillStarts = nil, nil
	for t := range p.changed {
		r.Work[t.instance] = t.own
	}
	clear(p.changed)
	r.Links = p.linkChanges()
	if p.cut.off {
		for id := range r.Work {
			r.Work[id] = Work{}
		}
		for id := range r.Links {
			r.Links[id] = Work{}
		}
		r.Waiting = 0
	}
	return r
}

// waiting returns how many requests wait at this host.
func (p *Placer) waiting() int {
	if p.opts.Waiting == nil {
		return 0
	}
	return p.opts.Waiting()
}

// Placements returns all parts that engines are believed to cache, for a host that has just started.
func (p *Placer) Placements() []Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Placement
	for id, t := range p.targets {
		for k, part := range t.cache.parts {
			out = append(out, Placement{Upstream: id, Key: k, Tokens: part.tokens})
		}
	}
	return out
}

// ApplyReport applies the report of another host.
func (p *Placer) ApplyReport(now time.Time, host string, r Report) {
	var invalid int
	if r.Links, invalid = validLinks(r.Links); invalid > 0 && p.opts.OnInvalidLinks != nil {
		p.opts.OnInvalidLinks(host, invalid)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endTransfers(now)
	if r.Work != nil { // a report without work has only placements
		p.lastReportAt = now
		if r.Partial {
			p.applyPartial(now, host, r)
		} else {
			p.setPeer(now, host, &peerWork{at: now, waiting: r.Waiting, work: maps.Clone(r.Work), stores: r.Stores, links: r.Links})
		}
		p.notifyRoom()
	}
	for _, tr := range r.Transfers {
		if st := p.stores[tr.Store]; st != nil {
			st.pace.observe(now, tr)
		}
	}
	for _, b := range r.Begun {
		p.prefillStarted(now, b, nil)
	}
	p.mergeLoads(now, r.Loads)
	for _, sample := range r.Paces {
		if t := p.targetByInstance(sample.Upstream); t != nil {
			t.slowness.observe(now, sample)
		}
	}
	for _, placement := range r.Placed {
		if t := p.targetByInstance(placement.Upstream); t != nil && t.engine != nil {
			t.cache.put(now, placement.Key, placement.Tokens, p.cacheRoom(t))
		}
		p.prefillEnded(placement.Key, nil)
	}
}

// applyPartial applies the changes of another host's work; p.mu is held.
func (p *Placer) applyPartial(now time.Time, host string, r Report) {
	w := p.peers[host]
	if w == nil {
		w = &peerWork{work: make(map[string]Work)}
		p.peers[host] = w
	}
	contenderChanged := (w.waiting > 0) != (r.Waiting > 0)
	w.at, w.waiting = now, r.Waiting
	for id, work := range r.Work {
		p.setPeerWork(now, id, w.work[id], work)
		w.work[id] = work
	}
	for id, work := range r.Links {
		if w.links == nil {
			w.links = make(map[string]Work)
		}
		p.setPeerLink(id, w.links[id], work)
		w.links[id] = work
	}
	if contenderChanged {
		p.updateContenders()
	}
}

// setPeer replaces the work of another host; nil removes it. The sums over all hosts are updated by
// the differences, since adding them up again over 10,000 upstreams, 75 times a second, took
// 3% of a core.
func (p *Placer) setPeer(now time.Time, host string, w *peerWork) {
	old := p.peers[host]
	if old == nil {
		old = &peerWork{}
	}
	p.peers[host] = w
	if w == nil {
		delete(p.peers, host)
		w = &peerWork{}
	}
	for id, work := range w.work {
		p.setPeerWork(now, id, old.work[id], work)
	}
	for id, work := range old.work {
		if _, still := w.work[id]; !still {
			p.setPeerWork(now, id, work, Work{})
		}
	}
	for id, work := range w.links {
		p.setPeerLink(id, old.links[id], work)
	}
	for id, work := range old.links {
		if _, still := w.links[id]; !still {
			p.setPeerLink(id, work, Work{})
		}
	}
	p.sumPeerTransfers()
	p.updateContenders()
}

// setPeerWork replaces one host's work at an upstream, and records when it decreased.
func (p *Placer) setPeerWork(now time.Time, id string, old, updated Work) {
	t := p.targets[id]
	if t == nil {
		return // targetOf adds the work of all hosts when it creates the target
	}
	t.peers.sub(old)
	t.peers.add(updated)
	if p.assessor != nil && updated.Requests < old.Requests {
		t.recordEnds(now, old.Requests-updated.Requests)
	}
	if t.stating && updated.Requests > old.Requests {
		t.stated.Reported(updated.Requests - old.Requests)
		p.setEffects(now, t)
	}
	if updated.Memory < old.Memory || updated.Pending < old.Pending {
		t.freedAt = now
	}
}

// sumPeerTransfers adds up what other hosts fetch from stores.
func (p *Placer) sumPeerTransfers() {
	for _, st := range p.stores {
		st.peers = Work{}
	}
	for _, w := range p.peers {
		for address, work := range w.stores {
			if st := p.stores[address]; st != nil {
				st.peers.add(work)
			}
		}
	}
}

// updateContenders collects the other hosts that have requests waiting.
func (p *Placer) updateContenders() {
	p.contenders = p.contenders[:0]
	for host, w := range p.peers {
		if w.waiting > 0 {
			p.contenders = append(p.contenders, contender{host: host, hash: xxhash.Sum64String(host)})
		}
	}
	p.turns.unorderedAt = time.Time{}
}

// ExpireReports drops the reports of hosts that have not reported lately, and prefills that should have
// ended.
func (p *Placer) ExpireReports(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.assessor != nil {
		p.assessor.Expire(now)
	}
	for host, w := range p.peers {
		if now.Sub(w.at) > peerReportTTL {
			p.setPeer(now, host, nil)
		}
	}
	for key, r := range p.prefills {
		if now.After(r.end) {
			delete(p.prefills, key)
		}
	}
}

// peersAge returns the age of the oldest report that counts.
func (p *Placer) peersAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, w := range p.peers {
		oldest = max(oldest, now.Sub(w.at))
	}
	return oldest
}
