// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
)

// countListings counts the whole listings of a feed that hosts send each other.
func (c *cluster) countListings(f follower.Feed) *int {
	n := new(int)
	c.onMessage = func(ev PeerMessage) {
		for _, page := range ev.Message.FeedPages {
			if page.Feed == f && page.Full {
				*n++
			}
		}
	}
	return n
}

// TestGapIsFilledWithChanges: a host that missed pages requests the changes since, including
// removals, and gets no whole listing.
func TestGapIsFilledWithChanges(t *testing.T) {
	for victim := range 3 {
		c := newCluster(3)
		c.write(follower.FeedOperator, "config", "version 1")
		for i := range 50 {
			c.write(follower.FeedUpstreams, fmt.Sprint("u", i), "ready")
		}
		c.run(2 * time.Second)
		listings := c.countListings(follower.FeedUpstreams)
		last := c.nodes[victim]
		c.set(last, accessRefuse)
		last.paused = true
		c.write(follower.FeedUpstreams, "u7", "")
		c.write(follower.FeedUpstreams, "u8", "leaving")
		c.write(follower.FeedUpstreams, "u90", "ready")
		c.run(2 * time.Second)
		last.inbox, last.paused = nil, false // drop the messages sent during the pause
		c.write(follower.FeedUpstreams, "u91", "ready")
		c.run(5 * time.Second) // a removal may count as a lapse for 2 s while the store refuses this host
		for _, s := range c.nodes {
			assert.Equal(t, len(s.node.view.Accepting("s")), 50, s.name)
		}
		assert.DeepEqual(t, last.node.view.Accepting("s"), c.nodes[(victim+1)%3].node.view.Accepting("s"))
		assert.Equal(t, *listings, 0)
	}
}

// TestStartOfLargeFleet: hosts that join a running fleet get one listing each and don't request
// another while it is in transit.
func TestStartOfLargeFleet(t *testing.T) {
	c := newCluster(60)
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "a", "ready")
	c.run(4 * time.Second)
	listings := c.countListings(follower.FeedUpstreams)
	for _, s := range c.nodes[30:] {
		c.start(s)
	}
	c.run(3 * time.Second)
	for _, s := range c.nodes {
		assert.Assert(t, s.node.view.Ready(), s.name)
	}
	assert.Assert(t, *listings <= 60, "%d listings for 30 hosts", *listings)
}

// TestSecondReaderForwardsAll: two hosts read the same page, and one receives the other's page
// before its own answer. It still forwards all records that changed the state, and no unchanged
// entries.
func TestSecondReaderForwardsAll(t *testing.T) {
	for _, c := range []struct {
		name      string
		feed      follower.Feed
		key       string
		before    string
		value     string
		forwarded bool
	}{
		{"a configuration", follower.FeedOperator, "config", "version 1", "version 2", true},
		{"an evacuation", follower.FeedOperator, "evacuate/east", "", "{}", true},
		{"an upstream that leaves", follower.FeedUpstreams, "u", "ready", "leaving", true},
		{"an upstream that is gone", follower.FeedUpstreams, "u", "ready", "", true},
		{"a new upstream", follower.FeedUpstreams, "u", "", "ready", true},
		{"an entry that says nothing new", follower.FeedUpstreams, "u", "ready", "ready", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := newCluster(3)
			cl.write(follower.FeedOperator, "config", "version 1")
			cl.write(follower.FeedUpstreams, "v", "ready")
			if c.before != "" {
				cl.write(c.feed, c.key, c.before)
			}
			cl.run(2 * time.Second)
			n := cl.nodes[1].node
			next := n.feeds[c.feed].next.Offset
			page := follower.FeedPage{Feed: c.feed, From: next, Next: next + 1, Records: []follower.Record{{Key: c.key, Value: []byte(c.value), Offset: next}}}
			n.Handle(cl.now, PeerMessage{From: "host-1", Message: &messenger.Message{FeedPages: []follower.FeedPage{page}}})
			forwarded := 0
			for _, a := range n.Handle(cl.now, FeedRead{Page: page, RequestedAt: cl.now}) {
				if s, ok := a.(SendAll); ok {
					for _, page := range s.Message.FeedPages {
						forwarded += len(page.Records)
					}
				}
			}
			assert.Equal(t, forwarded == 1, c.forwarded)
		})
	}
}
