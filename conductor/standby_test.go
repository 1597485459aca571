// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/tracker"
)

// TestStandbysAreQuiet: in a fleet without work, a host that stands by sends few
// messages, and nobody is taken for silent.
func TestStandbysAreQuiet(t *testing.T) {
	c := newCluster(120)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(5 * time.Second)
	c.sent = make(map[string]int)
	before := c.calls
	const seconds = 5
	c.run(seconds * time.Second)
	active := c.nodes[0].node.paths().serving.Active
	for _, s := range c.nodes {
		for _, r := range s.node.hosts.All() {
			assert.Equal(t, r.State, tracker.HostLive, "%s as %s sees it", r.Host, s.name)
		}
		if !active[s.name] {
			assert.Assert(t, c.sent[s.name] <= 16*seconds, "%s sent %d messages in %d s", s.name, c.sent[s.name], seconds)
		}
	}
	assert.Assert(t, c.calls-before <= 8*seconds, "%d questions to the store in %d s", c.calls-before, seconds)
}

// TestStandbysAreCalledIn: all active hosts of a zone die at once. Others of the zone
// are active for every host within 2 s, know the configuration, and hear of the work of
// all others.
func TestStandbysAreCalledIn(t *testing.T) {
	c := newCluster(60)
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(5 * time.Second)
	before := c.nodes[0].node.paths().serving
	for _, name := range before.Zones["zone-1"] {
		c.act("kill", c.byName[name])
	}
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		if s.down {
			continue
		}
		after := s.node.paths().serving
		assert.Assert(t, len(after.Zones["zone-1"]) >= 3, "%s: %v", s.name, after.Zones)
		for _, name := range after.Zones["zone-1"] {
			assert.Assert(t, !c.byName[name].down, "%s still counts on %s", s.name, name)
		}
		assert.DeepEqual(t, after.Zones["zone-0"], before.Zones["zone-0"])
	}
	c.run(time.Second)
	for _, name := range c.nodes[0].node.paths().serving.Zones["zone-1"] {
		s := c.byName[name]
		assert.Equal(t, s.version, uint64(1), name)
		for _, o := range c.nodes {
			_, heard := s.reports[o.name]
			assert.Assert(t, heard || o == s || o.down, "%s has not heard of the work of %s", name, o.name)
		}
	}
}

// TestEntriesAreToldOnce: upstreams write their entries again and again. What says
// nothing new goes to nobody, and a change to all hosts at once.
func TestEntriesAreToldOnce(t *testing.T) {
	c := newCluster(20)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	told := 0
	c.seen = func(ev PeerMessage) {
		for _, news := range ev.Message.News {
			if news.Feed == follower.FeedUpstreams && !news.Full {
				told += len(news.Records)
			}
		}
	}
	const upstreams, seconds = 10, 10
	for range seconds {
		for u := range upstreams {
			c.write(follower.FeedUpstreams, fmt.Sprint("u", u), "ready")
		}
		c.run(time.Second)
	}
	most := 20 * upstreams * 2
	assert.Assert(t, told <= most, "%d records were passed on, at most %d are expected", told, most)
	c.write(follower.FeedUpstreams, "u3", "leaving")
	c.run(time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, len(s.node.view.Taking("s")), upstreams-1, s.name)
	}
}

// TestFirstStartAsksFew: hosts that all start for the first time find each other before
// they ask, so that only active ones ask the store for all that it has.
func TestFirstStartAsksFew(t *testing.T) {
	c := startCluster(60, true)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "u", "ready")
	c.run(4 * time.Second)
	for _, s := range c.nodes {
		assert.Assert(t, s.node.view.Ready(), s.name)
	}
	active := len(c.nodes[0].node.paths().active)
	most := 2*active + 2*4*int(time.Second/DefaultTiming().GatherMany)
	assert.Assert(t, c.calls <= most, "%d questions, at most %d are expected", c.calls, most)
}

// TestStartReadsFewListings: however many hosts start together, for the first time or after all
// were killed, two of them read each feed whole. The others are told by hosts of their own
// availability zone, so that few listings cross zones.
func TestStartReadsFewListings(t *testing.T) {
	for _, n := range []int{60, 200} {
		for _, first := range []bool{true, false} {
			t.Run(fmt.Sprint(n, " ", first), func(t *testing.T) {
				c := startCluster(n, true)
				c.idle = true
				c.write(follower.FeedOperator, "config", "version 1")
				c.write(follower.FeedUpstreams, "u", "ready")
				if !first {
					c.run(8 * time.Second)
					c.firstStart, c.wholes = false, 0
					for _, s := range c.nodes {
						c.start(s)
					}
				}
				across := 0
				c.seen = func(ev PeerMessage) {
					for _, news := range ev.Message.News {
						if news.Full && news.Feed == follower.FeedUpstreams && c.to.zone != c.byName[ev.From].zone {
							across++
						}
					}
				}
				c.run(6 * time.Second)
				for _, s := range c.nodes {
					assert.Assert(t, s.node.view.Ready(), s.name)
				}
				assert.Assert(t, c.wholes <= 2*firstReaders, "%d listings", c.wholes)
				active := len(c.nodes[0].node.paths().active)
				assert.Assert(t, across <= 2*active, "%d listings to hosts of other zones", across)
			})
		}
	}
}

// TestStoreAwayFromLargeFleet: the store turns all hosts away for a while. They ask few
// questions meanwhile, and a change is known to all within 1.5 s of its return.
func TestStoreAwayFromLargeFleet(t *testing.T) {
	c := newCluster(60)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(4 * time.Second)
	for _, s := range c.nodes {
		c.set(s, accessRefuse)
	}
	c.run(2 * time.Second)
	before := c.calls
	const seconds = 8
	c.run(seconds * time.Second)
	assert.Assert(t, c.calls-before < 70*seconds, "%d questions in %d s", c.calls-before, seconds)
	for _, s := range c.nodes {
		c.set(s, accessOK)
	}
	c.write(follower.FeedOperator, "config", "version 2")
	c.run(1500 * time.Millisecond)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(2), s.name)
	}
}

// TestReadyIsToldOfActiveHosts: hosts that serve callers tell that they are ready, those
// that stand by when they are called in.
func TestReadyIsToldOfActiveHosts(t *testing.T) {
	c := newCluster(40)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "u", "ready")
	c.run(8 * time.Second)
	ready := func(s *simNode) (active, others int) {
		serving := s.node.paths().serving.Active
		for _, r := range s.node.hosts.All() {
			switch {
			case r.Ready && serving[r.Host]:
				active++
			case r.Ready && r.State == tracker.HostLive:
				others++
			}
		}
		return active, others
	}
	first := c.nodes[0].node.paths().active
	for _, s := range c.nodes {
		active, others := ready(s)
		assert.Equal(t, active, len(first), s.name)
		assert.Assert(t, others <= 16, "%s knows %d more", s.name, others) // few hosts at the start all serve
	}
	for _, name := range first {
		c.byName[name].down = true
	}
	c.run(8 * time.Second)
	for _, s := range c.nodes {
		if !s.down {
			active, _ := ready(s)
			assert.Equal(t, active, len(s.node.paths().active), s.name)
		}
	}
}
