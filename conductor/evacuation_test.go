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

// evacuationTime is the time within which nothing may be sent to a zone any more, also by
// a host of a large fleet that the store refuses; the users' bound is 5 s.
const evacuationTime = 3 * time.Second

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
			got := s.node.view.Taking("s")
			assert.Assert(t, slices.Equal(got, want), "%s, %s of %d: %v", when, s.name, len(c.nodes), got)
		}
	}
}

// TestEvacuation: a zone that is evacuated gets nothing new from any host, those that the
// store refuses and those that have just started included, and comes back with the
// operators' word, also if its record was dropped while nobody could read the feed.
func TestEvacuation(t *testing.T) {
	for _, hosts := range []int{1, 5, 40} {
		c := evacuationCluster(hosts)
		c.wantUpstreams(t, "before", "a@east", "b@west")
		last := c.nodes[hosts-1]
		if hosts > 1 {
			c.set(c.nodes[0], accessRefuse)
		}
		c.write(follower.FeedOperator, "evacuate/east", "{}")
		c.run(evacuationTime)
		c.wantUpstreams(t, "evacuated", "b@west")

		c.start(last)
		c.run(3 * time.Second)
		c.wantUpstreams(t, "after a start", "b@west")

		c.write(follower.FeedOperator, "evacuate/east", "")
		c.write(follower.FeedOperator, "evacuate/west", "{}")
		for f, log := range c.logs {
			c.first[f] = int64(len(log)) // the history is forgotten before anybody has read it
		}
		c.run(evacuationTime)
		c.wantUpstreams(t, "the other zone", "a@east")
		assert.Assert(t, !last.node.view.Returned["east"].IsZero() || hosts == 1)
		c.write(follower.FeedOperator, "evacuate/west", "")
		c.run(evacuationTime)
		c.wantUpstreams(t, "taken back", "a@east", "b@west")
	}
}
