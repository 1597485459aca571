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
	// maxSoftwareLife is how long a version without upstreams is remembered, if there are more than maxUnused.
	maxSoftwareLife = 3 * time.Minute
	maxUnused       = 256
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

// softwareUse is how a version of a service's software is used.
type softwareUse struct {
	upstreams int       // upstreams is the number of known upstreams of the version, leaving ones among them.
	until     time.Time // until is when the last upstream that was removed was; zero if none was.
}

// addSoftware records that an upstream is known; p.mu is held.
func (p *Placer) addSoftware(m *member) {
	k := software{m.upstream.Service, m.upstream.Software}
	u := p.software[k]
	u.upstreams++
	p.software[k] = u
}

// removeSoftware records that an upstream is removed; p.mu is held.
func (p *Placer) removeSoftware(m *member) {
	k := software{m.upstream.Service, m.upstream.Software}
	p.software[k] = softwareUse{upstreams: p.software[k].upstreams - 1, until: p.watchedAt}
	if len(p.software) > maxUnused {
		maps.DeleteFunc(p.software, func(_ software, u softwareUse) bool {
			return u.upstreams == 0 && p.watchedAt.Sub(u.until) > maxSoftwareLife
		})
	}
}

// SoleSoftware returns the software version that all upstreams of a service have had for a time, of those that were
// removed too; false if there were several, or if this Placer does not know the upstreams for so long.
func (p *Placer) SoleSoftware(now time.Time, service string, span time.Duration) (version string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.knownSince.IsZero() || now.Sub(p.knownSince) < span || span > maxSoftwareLife {
		return "", false
	}
	for k, u := range p.software {
		if k.service != service || u.upstreams == 0 && now.Sub(u.until) >= span {
			continue
		}
		if ok {
			return "", false
		}
		version, ok = k.version, true
	}
	return version, ok
}

// Serves reports whether an upstream with a version of a service's software takes new work. If none does,
// mayReturn reports whether one did a short time ago.
func (p *Placer) Serves(now time.Time, service, version string) (serves, mayReturn bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[service]; pl != nil && pl.serves(&PlacementRequest{Software: &version}) {
		return true, false
	}
	u, ok := p.software[software{service, version}]
	return false, ok && !u.until.IsZero() && now.Sub(u.until) < returnTime
}
