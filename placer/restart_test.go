// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// TestStartedAgain: an engine that starts again under its ID keeps nothing and has no
// work, what others say of its former life is not taken for the new one, and requests that
// the former one had are given up.
func TestStartedAgain(t *testing.T) {
	v := withFirst(testView(1, 1), func(u *follower.Upstream) { u.Born = 100 })
	p := testPlacer(v)
	first, _ := p.Choose(start, askFor("shared", "own"))
	serve(p, start, first)
	open, _ := p.Choose(start, askFor("shared", "own2"))
	assert.Equal(t, open.Basis.Missing, 4000)
	given := 0
	open.Ticket.OnSilent(func() { given++ })
	former := p.members["e0"].key

	p.Update(withFirst(v, func(u *follower.Upstream) { u.Born = 200 }))
	assert.Equal(t, given, 1)
	assert.Equal(t, p.Busy(p.members["e0"].key), 0)

	p.Heard(start, "peer", Report{
		Work:   map[string]Work{former: {Requests: 3, Memory: 50000}},
		Placed: []Placement{{Upstream: former, Key: keysOf(nil, saltOf("")(1), []Part{{ID: "shared"}})[0], Tokens: 12800}},
	})
	open.Ticket.Done(start, ResultFailed) // the former one's work is not taken off the new one's
	again, verdict := p.Choose(start, askFor("shared", "own3"))
	assert.Equal(t, verdict, Chosen)
	assert.Equal(t, again.Basis.Missing, 16800)
	assert.Equal(t, again.Basis.Work, Work{})
	assert.Equal(t, p.Report().Work[p.members["e0"].key].Requests, 1)
	assert.Equal(t, len(p.Changes().Work), 0)
}
