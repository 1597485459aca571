// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// evacuationBound is the time within which all hosts of a large fleet must stop using an evacuated
// zone, including those that the store refuses.
const evacuationBound = 3 * time.Second

func evacuationCluster(hosts int) *cluster {
	c := newCluster(hosts)
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "a@east", "ready")
	c.write(follower.FeedUpstreams, "b@west", "ready")
	c.run(3 * time.Second)
	return c
}

func (c *cluster) wantUpstreams(t *testing.T, when string, want ...string) {
	t.Helper()
	for _, s := range c.nodes {
		if !s.down {
			got := s.node.view.Accepting("s")
			assert.Assert(t, slices.Equal(got, want), "%s, %s of %d: %v", when, s.name, len(c.nodes), got)
		}
	}
}

// TestEvacuation: no host sends requests to an evacuated zone, including hosts that the store
// refuses and hosts that have just started. The zone is used again once the evacuation is revoked,
// even if its record was removed while no host could read the feed.
func TestEvacuation(t *testing.T) {
	for _, hosts := range []int{1, 5, 40} {
		c := evacuationCluster(hosts)
		c.wantUpstreams(t, "before", "a@east", "b@west")
		last := c.nodes[hosts-1]
		if hosts > 1 {
			c.set(c.nodes[0], accessRefuse)
		}
		c.write(follower.FeedOperator, "evacuate/east", "{}")
		c.run(evacuationBound)
		c.wantUpstreams(t, "evacuated", "b@west")

		c.start(last)
		c.run(3 * time.Second)
		c.wantUpstreams(t, "after a start", "b@west")

		c.write(follower.FeedOperator, "evacuate/east", "")
		c.write(follower.FeedOperator, "evacuate/west", "{}")
		for f, log := range c.logs {
			c.oldest[f] = int64(len(log)) // drop the history before any host has read it
		}
		c.run(evacuationBound)
		c.wantUpstreams(t, "the other zone", "a@east")
		assert.Assert(t, !last.node.view.EvacuationsEnded["east"].IsZero() || hosts == 1)
		c.write(follower.FeedOperator, "evacuate/west", "")
		c.run(evacuationBound)
		c.wantUpstreams(t, "taken back", "a@east", "b@west")
	}
}
