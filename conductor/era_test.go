// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/follower"
)

// TestRandomLosses guards against versions that go back or are missed when the store loses records: its offsets
// are given out again at once or later, by records that are written again in another order and by new ones.
func TestRandomLosses(t *testing.T) {
	actions := append(slices.Clone(clusterActions), "lose", "lose", "lose")
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 5).Draw(t, "hosts"))
		version := uint64(1)
		write := func() {
			version++
			c.write(follower.FeedOperator, "config", fmt.Sprint("version ", version))
		}
		c.write(follower.FeedOperator, "config", "version 1")
		c.run(4 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s := rapid.SampledFrom(c.nodes).Draw(t, "host")
			do := rapid.SampledFrom(actions).Draw(t, "do")
			c.act(do, s)
			switch do {
			case "write":
				write()
				c.checkPropagation(version)
			case "lose":
				lost := c.lose(rapid.IntRange(1, 5).Draw(t, "records"))
				c.run(rapid.SampledFrom([]time.Duration{0, 0, 100 * time.Millisecond, 2 * time.Second}).Draw(t, "rewritten after"))
				if rapid.Bool().Draw(t, "new first") {
					write()
				}
				for _, r := range rapid.Permutation(lost).Draw(t, "order") {
					c.write(follower.FeedOperator, r.Key, string(r.Value))
				}
				c.checkPropagation(version)
			}
			c.run(rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "after"))
			if len(c.violations) > 0 {
				t.Fatalf("broken: %q", c.violations)
			}
		}
	})
}

// TestLossInLargeFleet guards against a fleet that reads all that the store has once for each host after a loss, and
// against hosts that stay with what they knew before.
func TestLossInLargeFleet(t *testing.T) {
	for _, hosts := range []int{5, 40, 120} {
		c := newCluster(hosts)
		c.idle = true
		c.write(follower.FeedOperator, "config", "version 1")
		for i := range 50 {
			c.write(follower.FeedUpstreams, fmt.Sprint("u", i), "ready")
		}
		c.run(8 * time.Second)
		c.write(follower.FeedOperator, "config", "version 2")
		c.write(follower.FeedUpstreams, "u7", "leaving")
		c.write(follower.FeedUpstreams, "u8", "")
		c.run(2 * time.Second)
		calls, listings := c.calls, c.listingReads
		c.lose(4)
		c.write(follower.FeedOperator, "config", "version 3")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.Equal(t, s.version, uint64(3), "%s of %d", s.name, hosts)
		}
		c.write(follower.FeedUpstreams, "u48", "ready") // lost with u49
		c.run(3 * time.Second)
		for _, s := range c.nodes {
			got := s.node.view.Accepting("s")
			assert.Equal(t, len(got), 50-len([]string{"u7", "u8", "u49"}), "%s of %d: %v", s.name, hosts, got)
		}
		assert.Assert(t, c.listingReads-listings <= 4, "%d listings read by %d hosts", c.listingReads-listings, hosts)
		assert.Assert(t, c.calls-calls < 120, "%d calls of %d hosts in 5 s", c.calls-calls, hosts)
	}
}

// TestEvacuationOutlivesLoss guards against requests to an evacuated zone while its lost record is not written again.
func TestEvacuationOutlivesLoss(t *testing.T) {
	for _, rewritten := range []bool{true, false} {
		c := evacuationCluster(5)
		c.write(follower.FeedOperator, "evacuate/east", "{}")
		c.run(evacuationBound)
		c.lose(1)
		c.write(follower.FeedUpstreams, "b@west", "ready")
		c.run(rewriteTimeout / 2)
		c.wantUpstreams(t, "the record is lost", "b@west")
		want := []string{"a@east", "b@west"}
		if rewritten {
			c.write(follower.FeedOperator, "evacuate/east", "{}")
			want = want[1:]
		}
		c.run(rewriteTimeout)
		c.wantUpstreams(t, fmt.Sprint("written again: ", rewritten), want...)
	}
}

// TestLostAnnouncementsAreWrittenAgain guards against hosts that start after a loss and find no other.
func TestLostAnnouncementsAreWrittenAgain(t *testing.T) {
	c := newCluster(5)
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(time.Minute)
	c.lose(0)
	clear(c.announcements)
	c.run(firstSearchDelay + 2*time.Second)
	assert.Equal(t, len(c.announcements), len(c.nodes))
}

// TestStartDuringLoss guards against a host that serves without upstreams or configuration because the store lost
// records while it read its first listing.
func TestStartDuringLoss(t *testing.T) {
	c := newCluster(1)
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "a", "ready")
	c.run(3 * time.Second)
	c.lose(0)
	c.start(c.nodes[0])
	n := c.nodes[0].node
	for _, name := range []follower.Feed{follower.FeedOperator, follower.FeedUpstreams} {
		n.Handle(c.now, FeedRead{Page: follower.FeedPage{Feed: name, Full: true, Era: c.era}, RequestedAt: c.now, Err: follower.ErrCompacted})
		assert.Assert(t, !n.feeds[name].loaded)
	}
	c.run(3 * time.Second)
	assert.DeepEqual(t, n.view.Accepting("s"), []string{"a"})
	assert.Equal(t, c.nodes[0].version, uint64(1))
}

// TestLossWhileReadWaits guards against a change that is in force only when a read of the earlier era ends, because the
// log has regrown to exactly the offset that it waits for.
func TestLossWhileReadWaits(t *testing.T) {
	c := newCluster(3)
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedOperator, "config", "version 2")
	c.run(3 * time.Second)
	for _, s := range c.nodes {
		c.set(s, accessSilent)
	}
	c.run(100 * time.Millisecond)
	c.lose(1)
	c.write(follower.FeedOperator, "config", "version 3")
	for _, s := range c.nodes {
		c.set(s, accessOK)
	}
	c.execute(c.nodes[0], c.nodes[0].node.Handle(c.now, Tick{Era: c.era}))
	c.run(500 * time.Millisecond)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(3), s.name)
	}
}
