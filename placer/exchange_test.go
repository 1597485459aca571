// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/internal/seeder"
)

func init() { seeder.Fix() }

// TestChangesAddUp checks that any mixture of full and partial reports gives another host the
// exact work at each upstream.
func TestChangesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := testPlacer(testView(5, 1)), testPlacer(testView(5, 1))
		b.ApplyReport(start, "c", Report{Work: map[string]Work{"e2": {Requests: 1, Pending: 10, Memory: 20}}})
		var open []*Ticket
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch do := rapid.SampledFrom([]string{"choose", "choose", "first", "done"}).Draw(t, "do"); {
			case do == "choose":
				if c, verdict := a.Choose(start, askFor(fmt.Sprint("shared", i), "own")); verdict == Chosen {
					open = append(open, c.Ticket)
				}
			case len(open) == 0:
			case do == "first":
				rapid.SampledFrom(open).Draw(t, "ticket").First(start)
			default:
				open[0].Done(start, ResultServed)
				open = open[1:]
			}
			if rapid.IntRange(0, 5).Draw(t, "whole") == 0 {
				b.ApplyReport(start, "a", a.Report())
			} else {
				b.ApplyReport(start, "a", a.Changes())
			}
			for id, t2 := range a.targets {
				want := t2.own
				want.add(b.peers["c"].work[id])
				assert.Equal(t, b.targetByInstance(id).peers, want, "%s after step %d", id, i)
			}
		}
	})
}

// TestChangesAreFew checks that a partial report has only upstreams whose work has changed.
func TestChangesAreFew(t *testing.T) {
	p := testPlacer(testView(20, 1))
	for i := range 15 {
		_, verdict := p.Choose(start, askFor(fmt.Sprint("shared", i), "own"))
		assert.Equal(t, verdict, Chosen)
	}
	assert.Assert(t, len(p.Report().Work) >= 10)
	c, _ := p.Choose(start, askFor("one more", "own"))
	assert.Equal(t, len(p.Changes().Work), 1)
	c.Ticket.Done(start, ResultServed)
	got := p.Changes()
	assert.Assert(t, got.Partial)
	assert.DeepEqual(t, got.Work, map[string]Work{c.Upstream.ID: p.targetByInstance(c.Upstream.ID).own})
	assert.Equal(t, len(p.Changes().Work), 0)
}
