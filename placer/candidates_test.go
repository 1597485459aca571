// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// zoneView returns a view of n engines in three zones.
func zoneView(n int) *follower.View {
	i := 0
	return changeAll(testView(n, 1), func(u *follower.Upstream) {
		u.AvailabilityZone = fmt.Sprint("zone", i%3)
		i++
	})
}

func zonePlacer(n int) *Placer {
	p := New(Options{AvailabilityZone: "zone0", Seed: 1})
	p.SetCell(0, 1, true)
	p.Update(zoneView(n))
	return p
}

// TestCandidatesAreBounded checks that the number of candidates does not grow with the pool.
func TestCandidatesAreBounded(t *testing.T) {
	const most = cellSamples + remoteSamples + 3 + maxCacheHolders
	for _, n := range []int{300, 10000} {
		p := zonePlacer(n)
		for i := range 200 {
			req := askFor(fmt.Sprint("shared", i%3), fmt.Sprint("own", i))
			req.now, req.round = start, 1
			got := len(p.candidates(p.pools["engines"], req))
			assert.Assert(t, got <= most, "%d candidates among %d", got, n)
			c, _ := p.Choose(start, askFor(fmt.Sprint("shared", i%3), fmt.Sprint("own", i)))
			serve(p, start, c)
		}
	}
}

// TestFewCandidatesFindIdleEngines checks that no request goes to one of the half of the engines
// with a backlog, and that the cache of an idle engine is used.
func TestFewCandidatesFindIdleEngines(t *testing.T) {
	const n = 900
	p := zonePlacer(n)
	first, _ := p.Choose(start, askFor("shared", "own"))
	serve(p, start, first)
	work := make(map[string]Work)
	for i := range n {
		if id := fmt.Sprint("e", i); i%2 == 0 && id != first.Upstream.ID {
			work[id] = Work{Requests: 4, Pending: 20000, Memory: 40000}
		}
	}
	p.ApplyReport(start, "peer", Report{Work: work})
	for i := range 2000 {
		c, verdict := p.Choose(start, askFor("shared", fmt.Sprint("own", i)))
		assert.Equal(t, verdict, Chosen)
		assert.Assert(t, work[c.Upstream.InstanceID()].Requests == 0, c.Upstream.ID)
		assert.Assert(t, c.Basis.PrefillTokens <= 4000, "%d tokens are prefilled again", c.Basis.PrefillTokens)
		c.Ticket.Done(start, ResultServed)
	}
}

// TestFullPoolIsBusy checks that requests wait while all engines are full, and that a minority of
// engines with room is found.
func TestFullPoolIsBusy(t *testing.T) {
	const n = 900
	p := zonePlacer(n)
	full := func(every int) map[string]Work {
		work := make(map[string]Work)
		for i := range n {
			if every == 0 || i%every != 0 {
				work[fmt.Sprint("e", i)] = Work{Requests: 8, Memory: 60000}
			}
		}
		return work
	}
	p.ApplyReport(start, "peer", Report{Work: full(0)})
	_, verdict := p.Choose(start, askFor("shared", "own"))
	assert.Equal(t, verdict, Busy)
	p.ApplyReport(start, "peer", Report{Work: full(5)})
	const tries = 200
	chosen := 0
	for i := range tries {
		if c, verdict := p.Choose(start, askFor("shared", fmt.Sprint("own", i))); verdict == Chosen {
			chosen++
			c.Ticket.Done(start, ResultCallerGone)
		}
	}
	assert.Equal(t, chosen, tries)
}

// TestPoolsFollowUpstreams checks that pools, rings and the cache index match the view after
// arbitrary changes.
func TestPoolsFollowUpstreams(t *testing.T) {
	p := zonePlacer(60)
	v := zoneView(60)
	for round := range 5 {
		var kept []follower.Upstream
		i := 0
		for u := range v.Upstreams.All() {
			u := *u
			i++
			switch {
			case i%7 == round:
				continue
			case i%5 == round:
				u.Standing = follower.StandingLeaving
			case i%11 == round:
				u.Born = int64(round + 1)
			}
			kept = append(kept, u)
		}
		next := *v
		next.Upstreams = follower.ListOf(kept...)
		v = &next
		for j := range 30 {
			c, _ := p.Choose(start, askFor(fmt.Sprint("shared", j), "own"))
			serve(p, start, c)
		}
		p.Update(v)
		p.SetCell(round%2, 2, round%2 == 0)
		assertPools(t, p, v)
	}
}

func assertPools(t *testing.T, p *Placer, v *follower.View) {
	t.Helper()
	assert.Equal(t, len(p.members), v.Upstreams.Len())
	for key, x := range p.targets {
		assert.Assert(t, p.members[x.upstream.ID] == x.member && x.instance == key && x.member.target == x)
	}
	for service, pl := range p.pools {
		want := make(map[string]bool)
		for _, id := range v.Accepting(service) {
			want[id] = true
		}
		assert.Equal(t, len(pl.all), len(want))
		pl.mergeAdded()
		assert.Equal(t, len(pl.ring), len(want))
		for i, x := range pl.all {
			assert.Assert(t, want[x.upstream.ID] && x.index == i)
		}
		for i, x := range pl.cell {
			assert.Assert(t, x.inOwnCell && x.cellIndex == i && want[x.upstream.ID])
		}
		for i, x := range pl.ring[min(1, len(pl.ring)):] {
			assert.Assert(t, pl.ring[i].hash <= x.hash)
		}
	}
	parts := 0
	for key, holders := range p.cacheIndex {
		for _, x := range holders {
			assert.Assert(t, p.targets[x.instance] == x && x.cache.has(key))
			parts++
		}
	}
	for _, x := range p.targets {
		parts -= len(x.cache.parts)
	}
	assert.Equal(t, parts, 0)
}
