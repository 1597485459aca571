// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// evacuatedView returns a view of upstreams in the zones "east" (even numbers) and "west".
func evacuatedView(n int) *follower.View {
	v := testView(n, 1)
	i := 0
	return changeAll(v, func(u *follower.Upstream) {
		u.AvailabilityZone = "west"
		if i%2 == 0 {
			u.AvailabilityZone = "east"
		}
		i++
	})
}

// TestEvacuatedZone checks that upstreams of an evacuated zone are neither chosen nor used as
// sources, and that None is returned if all zones are evacuated.
func TestEvacuatedZone(t *testing.T) {
	v := evacuatedView(4)
	p := testPlacer(v)
	first, verdict := p.Choose(start, askFor("shared", "own"))
	assert.Equal(t, verdict, Chosen)
	serve(p, start, first)
	evacuated := *v
	evacuated.Evacuated = map[string]bool{first.Upstream.AvailabilityZone: true}
	p.Update(&evacuated)
	for i := range 20 {
		c, verdict := p.Choose(start, askFor("shared", fmt.Sprint("own", i)))
		assert.Equal(t, verdict, Chosen)
		assert.Assert(t, !v.Evacuated[c.Upstream.AvailabilityZone])
		if c.Fetch != nil {
			assert.Assert(t, c.Fetch[0] != first.Upstream.Address)
		}
		c.Ticket.Done(start, ResultServed)
	}
	v.Evacuated = map[string]bool{"east": true, "west": true}
	p.Update(v)
	_, verdict = p.Choose(start, askFor("shared", "own"))
	assert.Equal(t, verdict, None)
}
