// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// TestRests checks who is chosen while upstreams want no requests, and that of several rests of one
// upstream the longest holds.
func TestRests(t *testing.T) {
	p := testPlacer(testView(0, 1))
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	choose := func(now time.Time) (string, Verdict, *PlacementRequest) {
		req := plainRequest()
		c, verdict := p.Choose(now, req)
		if verdict != Chosen {
			return "", verdict, req
		}
		c.Ticket.Done(now, ResultServed)
		return c.Upstream.ID, verdict, req
	}
	assert.Assert(t, p.Rest(start, "p0", at(5)))
	for range 10 {
		id, _, _ := choose(at(1))
		assert.Equal(t, id, "p1")
	}
	assert.Assert(t, !p.Rest(at(1), "p0", at(3))) // a shorter one later
	id, _, _ := choose(at(4))
	assert.Equal(t, id, "p1")
	assert.Assert(t, p.Rest(at(1), "p1", at(4)))
	assert.Assert(t, !p.Rest(at(2), "p1", at(9))) // a longer one is no news
	_, verdict, req := choose(at(2))
	assert.Equal(t, verdict, None)
	assert.Equal(t, req.RestEnds, at(5))
	assert.Equal(t, p.RestEnds(at(2), plainRequest()), at(5))
	assert.Equal(t, len(p.EndRests(at(4))), 0)
	assert.Equal(t, p.Resting(), 2)
	assert.DeepEqual(t, p.EndRests(at(6)), []string{"p0"})
	assert.Equal(t, p.Resting(), 1)
	id, _, _ = choose(at(6))
	assert.Equal(t, id, "p0")
}

// TestRestEndsWithInstance checks that a restart ends a rest and what the upstream said of its leaving.
func TestRestEndsWithInstance(t *testing.T) {
	v := testView(1, 1)
	p := testPlacer(v)
	p.Rest(start, "e0", start.Add(time.Hour))
	assert.Assert(t, p.MarkLeaving("e0") && !p.MarkLeaving("e0"))
	assert.Equal(t, p.Leaving(), 1)
	_, verdict := p.Choose(start, askFor("x", "own"))
	assert.Equal(t, verdict, None)
	p.Update(changeFirst(v, func(u *follower.Upstream) { u.Slots = 4 })) // the same instance
	_, verdict = p.Choose(start, askFor("x", "own"))
	assert.Equal(t, verdict, None)
	p.Update(changeFirst(v, func(u *follower.Upstream) { u.Born = 77 }))
	_, verdict = p.Choose(start, askFor("x", "own"))
	assert.Equal(t, verdict, Chosen)
	assert.Equal(t, p.Leaving(), 0)
}

// TestMarksOutliveEntries guards against an upstream whose entry lapses while the store is away and comes
// back, and that then gets requests again though it is leaving or resting.
func TestMarksOutliveEntries(t *testing.T) {
	v := testView(1, 1)
	p := testPlacer(v)
	p.Rest(start, "p0", start.Add(time.Hour))
	p.Rest(start, "p1", start.Add(time.Hour))
	p.MarkLeaving("e0")
	lapsed := *v
	lapsed.Upstreams = follower.ListOf()
	p.Update(&lapsed)
	p.EndRests(start)
	p.Update(v)
	p.EndRests(start.Add(time.Minute))
	_, verdict := p.Choose(start, askFor("x", "own"))
	assert.Equal(t, verdict, None)
	_, verdict = p.Choose(start, plainRequest())
	assert.Equal(t, verdict, None)
	p.Update(&lapsed)
	p.EndRests(start.Add(2 * time.Minute))
	p.EndRests(start.Add(2*time.Minute + markTTL + time.Second))
	assert.Equal(t, len(p.marks), 0)
}
