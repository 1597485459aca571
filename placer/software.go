// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"maps"
	"time"
)

// software is a version of a service's software.
type software struct{ service, version string }

const (
	// returnTime is how long after the removal of an upstream another one of its software version may be expected, as
	// one that has crashed restarts.
	returnTime = 10 * time.Second
	// maxLeft bounds the versions whose removals are recorded.
	maxLeft = 256
)

// runs reports whether an upstream has the software that a request needs.
func (m *member) runs(req *PlacementRequest) bool {
	return req.Software == nil || m.upstream.Software == *req.Software
}

// serves reports whether a pool has an upstream with the software that a request needs.
func (l *pool) serves(req *PlacementRequest) bool {
	if req.Software == nil {
		return true
	}
	for _, m := range l.all {
		if m.runs(req) {
			return true
		}
	}
	return false
}

// collectSoftware resets the candidates to the upstreams with the software that a request needs, or to some of them
// drawn at random if there are many.
func (p *Placer) collectSoftware(pl *pool, req *PlacementRequest) []*target {
	p.memberBuf = p.memberBuf[:0]
	for _, m := range pl.all {
		if m.runs(req) {
			p.memberBuf = append(p.memberBuf, m)
		}
	}
	if len(p.memberBuf) > maxCellScan {
		return p.sample(p.memberBuf, retrySamples)
	}
	return p.collectAll(p.memberBuf)
}

// recordLeft records that an upstream is removed; p.mu is held.
func (p *Placer) recordLeft(m *member) {
	if len(p.left) >= maxLeft {
		maps.DeleteFunc(p.left, func(_ software, at time.Time) bool { return p.watchedAt.Sub(at) > returnTime })
	}
	if len(p.left) < maxLeft {
		p.left[software{m.upstream.Service, m.upstream.Software}] = p.watchedAt
	}
}

// Serves reports whether an upstream with a version of a service's software takes new work. If none does,
// mayReturn reports whether one did a short time ago.
func (p *Placer) Serves(now time.Time, service, version string) (serves, mayReturn bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[service]; pl != nil && pl.serves(&PlacementRequest{Software: &version}) {
		return true, false
	}
	at, ok := p.left[software{service, version}]
	return false, ok && now.Sub(at) < returnTime
}
