// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// apartAsk is askFor with a place apart.
func apartAsk(key uint64, ends ...string) *Ask {
	ask := askFor("shared", fmt.Sprint("own", key))
	ask.Apart = Apart{Key: key, Ends: ends}
	return ask
}

func chosen(t *testing.T, p *Placer, ask *Ask) string {
	c, verdict := p.Choose(start, ask)
	assert.Equal(t, verdict, Chosen)
	c.Ticket.Done(start, ResultCaller)
	return c.Upstream.ID
}

// TestApart: hosts that believe different things send copies of a suspect to the same engine,
// different suspects to different ones, none to an engine that ended under it, and past one
// that takes nothing to the next in the same order.
func TestApart(t *testing.T) {
	v := testView(8, 1)
	a, b := testPlacer(v), testPlacer(v)
	for range 20 { // b has short prompts of its own under way
		ask := askFor("other", "mine")
		ask.Prompt.Parts = []Part{{"other", 300}, {"mine", 80}}
		_, verdict := b.Choose(start, ask)
		assert.Equal(t, verdict, Chosen)
	}
	places := make(map[string]int)
	for key := range uint64(64) {
		key *= 0x9e3779b97f4a7c15
		at := chosen(t, a, apartAsk(key, "gone"))
		assert.Equal(t, chosen(t, b, apartAsk(key, "gone")), at)
		places[at]++

		next := chosen(t, a, apartAsk(key, at))
		assert.Assert(t, next != at)
		excluded := apartAsk(key, "gone")
		excluded.Exclude = []string{at}
		assert.Equal(t, chosen(t, a, excluded), next)
	}
	assert.Equal(t, len(places), 8)

	at := chosen(t, a, apartAsk(7, "gone"))
	a.of(at).unreached(start)
	assert.Equal(t, chosen(t, a, apartAsk(7, "gone")), chosen(t, a, apartAsk(7, at)))
}

// TestNoPlaceApart: a suspect waits where all engines are full, and is told where there is none.
func TestNoPlaceApart(t *testing.T) {
	p := testPlacer(testView(2, 1))
	for range 6 { // three prompts of 16,800 tokens fill an engine of 60,000
		_, _ = p.Choose(start, askFor("shared", "own"))
	}
	_, verdict := p.Choose(start, apartAsk(1, "gone"))
	assert.Equal(t, verdict, Busy)
	_, verdict = testPlacer(testView(2, 1)).Choose(start, apartAsk(1, "e0", "e1"))
	assert.Equal(t, verdict, None)
}
