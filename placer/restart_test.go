// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// TestUpstreamRestart checks that a new instance of an engine starts without cache and work, that
// reports on the former instance do not apply to it, and that requests in flight at the former
// one are given up.
func TestUpstreamRestart(t *testing.T) {
	v := changeFirst(testView(1, 1), func(u *follower.Upstream) { u.Born = 100 })
	p := testPlacer(v)
	first, _ := p.Choose(start, askFor("shared", "own"))
	serve(p, start, first)
	open, _ := p.Choose(start, askFor("shared", "own2"))
	assert.Equal(t, open.Basis.PrefillTokens, 4000)
	callbacks := 0
	open.Ticket.OnSilent(func() { callbacks++ })
	former := p.members["e0"].instance

	p.Update(changeFirst(v, func(u *follower.Upstream) { u.Born = 200 }))
	assert.Equal(t, callbacks, 1)
	assert.Equal(t, p.InFlight(p.members["e0"].instance), 0)

	p.ApplyReport(start, "peer", Report{
		Work:   map[string]Work{former: {Requests: 3, Memory: 50000}},
		Placed: []Placement{{Upstream: former, Key: keysOf(nil, saltOf("")(1), []Part{{ID: "shared"}})[0], Tokens: 12800}},
	})
	open.Ticket.Done(start, ResultFailed) // must not change the work of the new instance
	again, verdict := p.Choose(start, askFor("shared", "own3"))
	assert.Equal(t, verdict, Chosen)
	assert.Equal(t, again.Basis.PrefillTokens, 16800)
	assert.Equal(t, again.Basis.Work, Work{})
	assert.Equal(t, p.Report().Work[p.members["e0"].instance].Requests, 1)
	assert.Equal(t, len(p.Changes().Work), 0)
}
