// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Rest records that an upstream instance wants no requests from this host until a time, and reports
// whether that is news. Of several such times the latest holds, since each was promised to the upstream.
// A rest ends early only with the instance.
func (p *Placer) Rest(now time.Time, instance string, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.memberOf(instance)
	if m == nil || !until.After(now) || m.mark != nil && !until.After(m.mark.restUntil) {
		return false
	}
	news := !m.resting(now)
	k := p.markOf(m)
	k.restUntil, k.inRest = until, true
	return news
}

// EndRests returns the instances whose rest has ended since the last call.
func (p *Placer) EndRests(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ended []string
	for instance, k := range p.marks {
		if k.inRest && !now.Before(k.restUntil) {
			k.inRest = false
			ended = append(ended, instance)
		}
	}
	if len(ended) > 0 {
		p.notifyRoom()
	}
	p.dropMarks(now)
	return ended
}

// Resting returns the number of upstreams that want no requests from this host.
func (p *Placer) Resting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, k := range p.marks {
		if k.inRest {
			n++
		}
	}
	return n
}

// RestEnds returns when the first of a service's upstreams takes requests again, if all that may run a
// request are resting; zero otherwise.
func (p *Placer) RestEnds(now time.Time, req *PlacementRequest) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.earliestRestEnd(now, req)
}

// earliestRestEnd is RestEnds; p.mu is held.
func (p *Placer) earliestRestEnd(now time.Time, req *PlacementRequest) time.Time {
	pl := p.pools[req.Service]
	if pl == nil || len(p.marks) == 0 {
		return time.Time{}
	}
	var earliest time.Time
	for _, m := range pl.all {
		switch {
		case !m.runs(req), !p.allowedIn(req, m.upstream.AvailabilityZone):
		case !m.resting(now):
			return time.Time{}
		case earliest.IsZero() || m.mark.restUntil.Before(earliest):
			earliest = m.mark.restUntil
		}
	}
	return earliest
}
