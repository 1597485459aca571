// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// isolatedRequest returns a request that asks for isolation.
func isolatedRequest(key uint64, ends ...string) *PlacementRequest {
	req := askFor("shared", fmt.Sprint("own", key))
	req.Isolation = Isolation{Key: key, EndedInstances: ends}
	return req
}

func chosen(t *testing.T, p *Placer, req *PlacementRequest) string {
	c, verdict := p.Choose(start, req)
	assert.Equal(t, verdict, Chosen)
	c.Ticket.Done(start, ResultCallerGone)
	return c.Upstream.ID
}

// TestIsolatedRequests checks that hosts with different load data send copies of a suspect
// request to the same engine, different suspects to different engines, and none to an engine that
// ended under it; if the engine takes no requests, to the next in rank.
func TestIsolatedRequests(t *testing.T) {
	v := testView(8, 1)
	a, b := testPlacer(v), testPlacer(v)
	for range 20 { // b has short prompts in flight
		req := askFor("other", "mine")
		req.Prompt.Parts = []Part{{"other", 300}, {"mine", 80}}
		_, verdict := b.Choose(start, req)
		assert.Equal(t, verdict, Chosen)
	}
	places := make(map[string]int)
	for key := range uint64(64) {
		key *= 0x9e3779b97f4a7c15
		at := chosen(t, a, isolatedRequest(key, "gone"))
		assert.Equal(t, chosen(t, b, isolatedRequest(key, "gone")), at)
		places[at]++

		next := chosen(t, a, isolatedRequest(key, at))
		assert.Assert(t, next != at)
		excluded := isolatedRequest(key, "gone")
		excluded.Exclude = []string{at}
		assert.Equal(t, chosen(t, a, excluded), next)
	}
	assert.Equal(t, len(places), 8)

	at := chosen(t, a, isolatedRequest(7, "gone"))
	a.targetByInstance(at).markUnreachable(start)
	assert.Equal(t, chosen(t, a, isolatedRequest(7, "gone")), chosen(t, a, isolatedRequest(7, at)))
}

// TestNoUpstreamForIsolatedRequest checks that a suspect request waits if all engines are full,
// and gets None if all are excluded.
func TestNoUpstreamForIsolatedRequest(t *testing.T) {
	p := testPlacer(testView(2, 1))
	for range 6 { // three prompts of 16,800 tokens fill an engine of 60,000
		_, _ = p.Choose(start, askFor("shared", "own"))
	}
	_, verdict := p.Choose(start, isolatedRequest(1, "gone"))
	assert.Equal(t, verdict, Busy)
	_, verdict = testPlacer(testView(2, 1)).Choose(start, isolatedRequest(1, "e0", "e1"))
	assert.Equal(t, verdict, None)
}
