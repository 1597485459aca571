// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// fakeLimits has a rate limit and the allowances left for some instances.
type fakeLimits struct {
	perSecond map[string]float64
	left      map[string]int
	wanted    map[string]bool
}

func (f *fakeLimits) Active() bool                      { return len(f.perSecond) > 0 }
func (f *fakeLimits) PerSecond(instance string) float64 { return f.perSecond[instance] }
func (f *fakeLimits) Want(_ time.Time, instance string) { f.wanted[instance] = true }
func (f *fakeLimits) Allows(_ time.Time, instance string) bool {
	return f.perSecond[instance] == 0 || f.left[instance] > 0
}
func (f *fakeLimits) Take(now time.Time, instance string) bool {
	if !f.Allows(now, instance) {
		return false
	}
	f.left[instance]--
	return true
}

func limitedPlacer(v *follower.View, perSecond map[string]float64, left map[string]int) (*Placer, *fakeLimits) {
	f := &fakeLimits{perSecond: perSecond, left: left, wanted: make(map[string]bool)}
	p := New(Options{RateLimits: f})
	p.Update(v)
	return p, f
}

func plainRequest() *PlacementRequest { return &PlacementRequest{Service: "plain"} }

// TestUpstreamsWithoutLimitTakeTheRest checks that requests beyond an upstream's rate limit go to others.
func TestUpstreamsWithoutLimitTakeTheRest(t *testing.T) {
	p, limits := limitedPlacer(testView(0, 1), map[string]float64{"p0": 2}, map[string]int{"p0": 1})
	sent := make(map[string]int)
	for range 20 {
		c, verdict := p.Choose(start, plainRequest())
		assert.Equal(t, verdict, Chosen)
		sent[c.Upstream.ID]++
	}
	assert.Assert(t, sent["p0"] <= 1 && sent["p1"] >= 19, "%v", sent)
	assert.Equal(t, len(limits.wanted), 0) // nothing waits
	_, limited := p.LimitedRate(start, plainRequest())
	assert.Assert(t, !limited)
}

// TestRequestsWaitForLimits checks that a request waits where all upstreams are limited, also on a
// retry that leaves one.
func TestRequestsWaitForLimits(t *testing.T) {
	p, limits := limitedPlacer(testView(0, 1), map[string]float64{"p0": 2, "p1": 3}, map[string]int{})
	_, verdict := p.Choose(start, plainRequest())
	assert.Equal(t, verdict, Busy)
	assert.DeepEqual(t, limits.wanted, map[string]bool{"p0": true, "p1": true})
	rate, limited := p.LimitedRate(start, plainRequest())
	assert.Assert(t, limited && rate == 5, "%v", rate)
	retry := plainRequest()
	retry.Exclude = []string{"p0"}
	_, verdict = p.Choose(start, retry)
	assert.Equal(t, verdict, Busy)
	p.ApplyReport(start, "other", Report{Work: map[string]Work{}, Waiting: 4})
	rate, _ = p.LimitedRate(start, plainRequest())
	assert.Equal(t, rate, 2.5) // hosts share the limits
	limits.left["p1"] = 1
	c, verdict := p.Choose(start, retry)
	assert.Assert(t, verdict == Chosen && c.Upstream.ID == "p1")
}

// TestIsolatedRequestsKeepLimits checks that isolation does not bypass a rate limit.
func TestIsolatedRequestsKeepLimits(t *testing.T) {
	p, _ := limitedPlacer(testView(0, 1), map[string]float64{"p0": 2, "p1": 3}, map[string]int{"p1": 1})
	isolated := plainRequest()
	isolated.Isolation = Isolation{Key: 7, EndedInstances: []string{"gone"}}
	c, verdict := p.Choose(start, isolated)
	assert.Assert(t, verdict == Chosen && c.Upstream.ID == "p1")
	_, verdict = p.Choose(start, isolated)
	assert.Equal(t, verdict, Busy)
}

// TestSuspectLimitsHoldUpNothing guards against requests that wait for the rate limit of an upstream that
// is in backoff, where another in backoff can be tried.
func TestSuspectLimitsHoldUpNothing(t *testing.T) {
	p, limits := limitedPlacer(testView(0, 1), map[string]float64{"p0": 2}, map[string]int{})
	for _, id := range []string{"p0", "p1"} {
		p.targetByInstance(id).markUnreachable(start)
	}
	c, verdict := p.Choose(start, plainRequest())
	assert.Equal(t, verdict, Chosen)
	assert.Equal(t, c.Upstream.ID, "p1")
	assert.Equal(t, len(limits.wanted), 0)
}
