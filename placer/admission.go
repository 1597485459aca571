// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Admission limits of an engine. Past them a request waits at its host, where it can still be
// cancelled, overtaken, or sent to another engine. An engine over its memory preempts the newest
// request and has to prefill it again. With a quarter of the engines silent, hosts that sent at
// once gave engines of 70,000 tokens requests of 140,000, and a third of the answers was on time.
const (
	// maxBacklogTokens is the backlog of prompt tokens up to which one more request is sent. It
	// keeps an engine busy between two decisions of a host without delaying short requests much. It
	// is 0.2 s of prefill.
	maxBacklogTokens = 8000
	// staleLoadShare scales the memory and backlog limits of engines whose load by other hosts is
	// known only from delayed reports, which are some 0.4 s late.
	staleLoadShare = 0.6
)

// admits reports whether an engine has room to begin a request soon. Plain services refuse requests
// themselves when they are full.
func (p *Placer) admits(t *target, req *PlacementRequest) bool {
	if t.engine == nil || req.Prompt == nil {
		return true
	}
	work := t.work()
	p.assess(req.now, t)
	return p.fits(t, req, work) && p.hasTurn(t, req, work)
}

// fits reports whether an engine has room for a request beside the work known there. Hidden requests take first the
// slots that the upstream states beyond the configured ones.
func (p *Placer) fits(t *target, req *PlacementRequest, work Work) bool {
	full := t.hidden > 0 && work.Requests+t.hidden >= max(t.engine.Slots, t.stated.Slots())
	if work.Requests == 0 && !full {
		return true // admit even if the output may not fit
	}
	memory, backlog := t.engine.CapacityTokens, int(maxBacklogTokens/t.slowness.factor(req.now))
	if p.staleLoad(t) {
		memory = int(staleLoadShare * float64(memory))
		backlog = int(staleLoadShare * float64(backlog))
	}
	return work.Memory+req.size <= memory && work.Pending <= backlog && work.Requests < t.engine.Slots && !full
}

// staleLoad reports whether other hosts' work at an engine is known only from delayed, aggregated
// reports.
func (p *Placer) staleLoad(t *target) bool {
	pl := p.pools[t.upstream.Service]
	return !p.directReports && !t.inOwnCell && pl != nil && len(pl.all) > maxFullScan && len(pl.cell) >= minCellMembers
}

// anyAdmits reports whether any upstream of a pool could begin the request, or wants none for a time.
func (p *Placer) anyAdmits(pl *pool, req *PlacementRequest) bool {
	for _, m := range pl.all {
		if !m.runs(req) {
			continue
		}
		if t := p.targetOf(m); t.resting(req.now) || p.admits(t, req) {
			return true
		}
	}
	return len(pl.all) == 0
}

// Fits reports whether some engine of a service has enough memory for a prompt. It returns true if
// no engine is known.
func (p *Placer) Fits(service string, prompt *Prompt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[service]
	if pl == nil {
		return true
	}
	for _, m := range pl.all {
		if t := p.targetOf(m); t.engine == nil || prompt.Tokens() <= t.engine.CapacityTokens {
			return true
		}
	}
	return len(pl.all) == 0
}

// MinFirstTokenTime returns the estimated time to the first token at an idle engine that has cached all
// parts of a prompt but the last.
func MinFirstTokenTime(prompt *Prompt) time.Duration {
	return firstTokenTime + prefillTime(prompt.Parts[len(prompt.Parts)-1].Tokens)
}
