// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/renewer"
)

// TestNothingIsFetchedWhenFreed: stores serve replaced weights for a while, and free
// them when no host can be fetching any more: neither one that heard at once, nor one
// that heard late, nor one that has not heard, nor one that has just started.
func TestNothingIsFetchedWhenFreed(t *testing.T) {
	const step = 50 * time.Millisecond
	freeAfter := New(Options{}).FreeAfter()
	old := PartName{Salt: saltOf("")(1), ID: "x"}
	for _, c := range []struct {
		name    string
		known   time.Duration // known is up to when the host knew the feed, from the naming on.
		hears   time.Duration // hears is when it hears of the new version.
		started bool          // started tells that the host knows the new version from its first listing.
		serves  bool
	}{
		{name: "heard at once", known: -step, hears: 0, serves: true},
		{name: "heard late", known: -step, hears: 5 * time.Second, serves: true},
		{name: "heard last at the end", known: -step, hears: 9 * time.Second, serves: true}, // before it hears
		{name: "was cut off for long", known: -9 * time.Second, hears: time.Second},
		{name: "never hears", known: 0, hears: time.Hour, serves: true},
		{name: "has just started", hears: 0, started: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := follower.New()
			name := func(at time.Time, version uint64) {
				state.Apply(at, follower.Change{Weights: &follower.Weights{Model: "m", Version: version}}, 0)
			}
			if !c.started {
				name(start.Add(-time.Hour), 1)
				state.Current(start.Add(c.known))
			}
			served := false
			for at := time.Duration(0); at < 2*freeAfter; at += step {
				now := start.Add(at)
				v := testView(1, 2, 1)
				if at >= c.hears {
					name(now, 2)
				}
				v.Named = state.View().Named
				p := testPlacer(v)
				p.StoreHeard(now, "s1:1", StoreNews{Epoch: 1, Clock: 1, Changes: []StoreChange{{Part: old, Tokens: 12800}}})
				p.Trust(start.Add(c.known))
				if at >= c.hears {
					p.Trust(now)
				}
				got, verdict := p.Choose(now, askFor("x", "own"))
				assert.Equal(t, verdict, Chosen)
				if got.Fetch != nil {
					served = true
					assert.Assert(t, at+fetchTime <= freeAfter, "fetched %v after the naming", at)
				}
			}
			assert.Equal(t, served, c.serves)
		})
	}
}

// TestExpiredWeights: once no request may begin on replaced weights, engines that still
// have them get nothing while a renewed one is there, also when that one is busy.
func TestExpiredWeights(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration // age is how long ago the new version was named.
		renewed uint64        // renewed is the version of the other engine.
		busy    bool          // busy tells that the other engine has no memory.
		want    Verdict
		engine  string
	}{
		{"the old one helps out at first", 4 * time.Second, 2, true, Chosen, "e0"},
		{"a busy renewed one is waited for", 9 * time.Second, 2, true, Busy, ""},
		{"a renewed one with room gets it", 9 * time.Second, 2, false, Chosen, "e1"},
		{"none is renewed", 9 * time.Second, 1, false, Chosen, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := testView(2, 2, 1, c.renewed)
			v.Named = map[string]follower.Named{"m": {Version: 2, Since: start.Add(-c.age)}}
			p := testPlacer(v)
			if c.busy {
				p.of("e1").peers = Work{Requests: 4, Memory: 59000}
			}
			got, verdict := p.Choose(start, askFor("x", "own"))
			assert.Equal(t, verdict, c.want)
			if c.engine != "" {
				assert.Equal(t, got.Upstream.ID, c.engine)
			}
		})
	}
}

// TestLoadingEngines: an engine that loads weights refuses what it is sent, so it gets
// nothing while another is there, also when that one is busy. One that is next helps out.
func TestLoadingEngines(t *testing.T) {
	for _, c := range []struct {
		phase renewer.Phase
		busy  bool
		want  Verdict
	}{
		{renewer.PhaseLoading, false, Chosen},
		{renewer.PhaseLoading, true, Busy},
		{renewer.PhaseNext, true, Chosen},
	} {
		t.Run(fmt.Sprint(c.phase, " busy ", c.busy), func(t *testing.T) {
			p := testPlacer(testView(2, 1))
			p.Renewing(map[string]renewer.Phase{"e0": c.phase})
			if c.busy {
				p.of("e1").peers = Work{Requests: 4, Memory: 59000}
			}
			got, verdict := p.Choose(start, askFor("x", "own"))
			assert.Equal(t, verdict, c.want)
			if !c.busy {
				assert.Equal(t, got.Upstream.ID, "e1")
			}
		})
	}
}
