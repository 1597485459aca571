// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of what hosts tell each other.
const (
	// maxPlaced bounds the placements that wait to be told. What does not fit is
	// lost, and costs other hosts a reading.
	maxPlaced = 4096
	// peerLifetime is how long the last word of another host counts. Hosts speak
	// several times a second; one that is silent for longer is gone or cut off,
	// and its requests have ended or soon will.
	peerLifetime = 1500 * time.Millisecond
)

// Placement says that an engine has read a part.
type Placement struct {
	Upstream string  `cbor:"1,keyasint"` // Upstream is what Start names the engine.
	Key      PartKey `cbor:"2,keyasint"`
	Tokens   int     `cbor:"3,keyasint"`
}

// Report is what a host tells the others.
type Report struct {
	Work   map[string]Work `cbor:"1,keyasint,omitempty"` // Work is by start of an upstream; those left out have none.
	Placed []Placement     `cbor:"2,keyasint,omitempty"` // Placed is new since the last report.
	// Stores is what is being fetched from stores, by address.
	Stores map[string]Work `cbor:"3,keyasint,omitempty"`
	// Transfers were timed since the last report.
	Transfers []Transfer   `cbor:"4,keyasint,omitempty"`
	Paces     []PaceSample `cbor:"7,keyasint,omitempty"` // Paces were timed since the last report.
	Waiting   int          `cbor:"5,keyasint,omitempty"` // Waiting are requests that wait at the host.
	Begun     []Beginning  `cbor:"8,keyasint,omitempty"` // Begun was placed since the last report.
	// Partial tells that Work has only upstreams whose work has changed since the last
	// report, also those that have none any more, and that Stores are as before.
	Partial bool `cbor:"6,keyasint,omitempty"`
}

// Add adds the work of another report.
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
}

func (p *Placer) tell(pl Placement) {
	if len(p.placed) < maxPlaced {
		p.placed = append(p.placed, pl)
	}
}

// Report returns what the other hosts should know now.
func (p *Placer) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Work: make(map[string]Work), Stores: make(map[string]Work), Placed: p.placed, Transfers: p.transfers, Paces: p.samples, Begun: p.begun}
	p.placed, p.transfers, p.samples, p.begun = nil, nil, nil, nil
	clear(p.changed)
	r.Waiting = p.waiting()
	for address, st := range p.stores {
		if st.own.Requests > 0 {
			r.Stores[address] = st.own
		}
	}
	for t := range p.working {
		if t.own.Requests > 0 {
			r.Work[t.key] = t.own
		} else {
			delete(p.working, t)
		}
	}
	return r
}

// Changes returns what has changed since the last report. With 15 hosts that tell each
// other of each long prompt at once, whole reports were three quarters of the bytes
// between hosts.
func (p *Placer) Changes() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Report{Partial: true, Work: make(map[string]Work, len(p.changed)), Placed: p.placed, Begun: p.begun, Waiting: p.waiting()}
	p.placed, p.begun = nil, nil
	for t := range p.changed {
		r.Work[t.key] = t.own
	}
	clear(p.changed)
	return r
}

// waiting returns how many requests wait at this host.
func (p *Placer) waiting() int {
	if p.opts.Waiting == nil {
		return 0
	}
	return p.opts.Waiting()
}

// Kept returns all that engines are believed to keep, for a host that has just
// started.
func (p *Placer) Kept() []Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Placement
	for id, t := range p.targets {
		for k, part := range t.kept.parts {
			out = append(out, Placement{Upstream: id, Key: k, Tokens: part.tokens})
		}
	}
	return out
}

// Heard takes in the report of another host.
func (p *Placer) Heard(now time.Time, host string, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Work != nil { // a report of what is kept only says nothing of work
		p.heard = now
		if r.Partial {
			p.heardPart(now, host, r)
		} else {
			p.replacePeer(now, host, &peerWork{at: now, waiting: r.Waiting, work: maps.Clone(r.Work), stores: r.Stores})
		}
		p.eased()
	}
	for _, tr := range r.Transfers {
		if st := p.stores[tr.Store]; st != nil {
			st.pace.learn(now, tr)
		}
	}
	for _, b := range r.Begun {
		p.started(now, b, nil)
	}
	for _, rd := range r.Paces {
		if t := p.of(rd.Upstream); t != nil {
			t.slow.learn(now, rd)
		}
	}
	for _, pl := range r.Placed {
		if t := p.of(pl.Upstream); t != nil && t.engine != nil {
			t.kept.put(now, pl.Key, pl.Tokens, p.room(t))
		}
		p.ended(pl.Key, nil)
	}
}

// heardPart takes in what has changed in another host's work; p.mu is held.
func (p *Placer) heardPart(now time.Time, host string, r Report) {
	w := p.peers[host]
	if w == nil {
		w = &peerWork{work: make(map[string]Work)}
		p.peers[host] = w
	}
	contends := (w.waiting > 0) != (r.Waiting > 0)
	w.at, w.waiting = now, r.Waiting
	for id, work := range r.Work {
		p.replaceWork(now, id, w.work[id], work)
		w.work[id] = work
	}
	if contends {
		p.recount()
	}
}

// replacePeer takes over all that another host has said; nil if it counts no more. The sums of
// what all hosts said change by what is other than before: added up anew over 10,000 upstreams,
// 75 reports a second took 3% of a core.
func (p *Placer) replacePeer(now time.Time, host string, w *peerWork) {
	was := p.peers[host]
	if was == nil {
		was = &peerWork{}
	}
	p.peers[host] = w
	if w == nil {
		delete(p.peers, host)
		w = &peerWork{}
	}
	for id, work := range w.work {
		p.replaceWork(now, id, was.work[id], work)
	}
	for id, work := range was.work {
		if _, still := w.work[id]; !still {
			p.replaceWork(now, id, work, Work{})
		}
	}
	p.sumStores()
	p.recount()
}

// replaceWork takes over one host's work at an upstream, and notes when it has become less.
func (p *Placer) replaceWork(now time.Time, id string, was, is Work) {
	t := p.targets[id]
	if t == nil {
		return // looked at later, it has what all hosts say then
	}
	t.peers.sub(was)
	t.peers.add(is)
	if is.Memory < was.Memory || is.Pending < was.Pending {
		t.eased = now
	}
}

// sumStores adds up what other hosts fetch from stores.
func (p *Placer) sumStores() {
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

// recount notes at which other hosts requests wait.
func (p *Placer) recount() {
	p.contend = p.contend[:0]
	for host, w := range p.peers {
		if w.waiting > 0 {
			p.contend = append(p.contend, xxhash.Sum64String(host))
		}
	}
}

// Forget drops what silent hosts have said.
func (p *Placer) Forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, w := range p.peers {
		if now.Sub(w.at) > peerLifetime {
			p.replacePeer(now, host, nil)
		}
	}
	for key, r := range p.reading {
		if now.After(r.end) {
			delete(p.reading, key)
		}
	}
}

// peersAge is the age of the oldest word that counts.
func (p *Placer) peersAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, w := range p.peers {
		oldest = max(oldest, now.Sub(w.at))
	}
	return oldest
}
