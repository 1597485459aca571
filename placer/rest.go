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
	t := p.targetByInstance(instance)
	if t == nil || !until.After(t.restUntil) {
		return false
	}
	news := !t.resting(now)
	t.restUntil = until
	p.resting[t] = struct{}{}
	return news
}

// resting reports whether the upstream wants no requests from this host now.
func (t *target) resting(now time.Time) bool { return now.Before(t.restUntil) }

// EndRests returns the instances whose rest has ended since the last call.
func (p *Placer) EndRests(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ended []string
	for t := range p.resting {
		if !t.resting(now) || p.targets[t.instance] != t {
			delete(p.resting, t)
			ended = append(ended, t.instance)
		}
	}
	if len(ended) > 0 {
		p.notifyRoom()
	}
	return ended
}

// Resting returns the number of upstreams that want no requests from this host now.
func (p *Placer) Resting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.resting)
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
	if pl == nil || len(p.resting) == 0 {
		return time.Time{}
	}
	var earliest time.Time
	for _, m := range pl.all {
		switch t := m.target; {
		case !p.allowedIn(req, m.upstream.AvailabilityZone):
		case t == nil || !t.resting(now):
			return time.Time{}
		case earliest.IsZero() || t.restUntil.Before(earliest):
			earliest = t.restUntil
		}
	}
	return earliest
}
