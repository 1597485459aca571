// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"time"

	"amaranthgate.example/amaranthgate/updater"
)

// noRateLimits is used if Options.RateLimits is nil.
type noRateLimits struct{}

func (noRateLimits) Active() bool                  { return false }
func (noRateLimits) PerSecond(string) float64      { return 0 }
func (noRateLimits) Allows(time.Time, string) bool { return true }
func (noRateLimits) Take(time.Time, string) bool   { return true }
func (noRateLimits) Want(now time.Time, _ string)  {}

// throttled reports whether an upstream's rate limit leaves nothing for this host now.
func (p *Placer) throttled(now time.Time, t *target) bool {
	return p.limits.Active() && !p.limits.Allows(now, t.instance)
}

// wantThrottled asks for allowances of the upstreams that a waiting request was not sent to.
func (p *Placer) wantThrottled(now time.Time, s *shortlist) {
	for _, t := range s.throttled {
		p.limits.Want(now, t.instance)
	}
}

// LimitedRate returns the rate at which this host may expect to send requests like req, in requests a
// second, if all upstreams that could run them have rate limits. It returns false otherwise. Hosts at
// which requests wait share the limits evenly.
func (p *Placer) LimitedRate(now time.Time, req *PlacementRequest) (float64, bool) {
	if !p.limits.Active() {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[req.Service]
	if pl == nil {
		return 0, false
	}
	sum := 0.0
	for _, m := range pl.all {
		t := p.targetOf(m)
		if !p.eligible(t, req) || t.suspect(now) || t.resting(now) {
			continue
		}
		limit := p.limits.PerSecond(t.instance)
		if limit == 0 || t.phase == updater.PhaseLoading {
			return 0, false
		}
		sum += limit
	}
	return sum / float64(len(p.contenders)+1), sum > 0
}
