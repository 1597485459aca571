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

// TestStandbysSendFewMessages: in an idle fleet standby hosts send few messages, and no host is
// suspected.
func TestStandbysSendFewMessages(t *testing.T) {
	c := newCluster(120)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(5 * time.Second)
	c.sent = make(map[string]int)
	before := c.calls
	const seconds = 5
	c.run(seconds * time.Second)
	active := c.nodes[0].node.topology().serving.Active
	for _, s := range c.nodes {
		for _, r := range s.node.hosts.All() {
			assert.Equal(t, r.State, tracker.HostLive, "%s as %s sees it", r.Host, s.name)
		}
		if !active[s.name] {
			assert.Assert(t, c.sent[s.name] <= 16*seconds, "%s sent %d messages in %d s", s.name, c.sent[s.name], seconds)
		}
	}
	assert.Assert(t, c.calls-before <= 8*seconds, "%d store calls in %d s", c.calls-before, seconds)
}

// TestStandbysReplaceActiveHosts: all active hosts of a zone end at once. Within 2 s all hosts
// select others of the zone, which know the configuration and receive all load reports.
func TestStandbysReplaceActiveHosts(t *testing.T) {
	c := newCluster(60)
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(5 * time.Second)
	before := c.nodes[0].node.topology().serving
	for _, name := range before.Zones["zone-1"] {
		c.act("kill", c.byName[name])
	}
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		if s.down {
			continue
		}
		after := s.node.topology().serving
		assert.Assert(t, len(after.Zones["zone-1"]) >= 3, "%s: %v", s.name, after.Zones)
		for _, name := range after.Zones["zone-1"] {
			assert.Assert(t, !c.byName[name].down, "%s still selects %s", s.name, name)
		}
		assert.DeepEqual(t, after.Zones["zone-0"], before.Zones["zone-0"])
	}
	c.run(time.Second)
	for _, name := range c.nodes[0].node.topology().serving.Zones["zone-1"] {
		s := c.byName[name]
		assert.Equal(t, s.version, uint64(1), name)
		for _, o := range c.nodes {
			_, received := s.reports[o.name]
			assert.Assert(t, received || o == s || o.down, "%s has no report of %s", name, o.name)
		}
	}
}

// TestUnchangedEntriesAreNotForwarded: upstreams rewrite their entries all the time. Unchanged
// entries are not forwarded, and a change reaches all hosts at once.
func TestUnchangedEntriesAreNotForwarded(t *testing.T) {
	c := newCluster(20)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	forwarded := 0
	c.onMessage = func(ev PeerMessage) {
		for _, page := range ev.Message.FeedPages {
			if page.Feed == follower.FeedUpstreams && !page.Full {
				forwarded += len(page.Records)
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
	limit := 20 * upstreams * 2
	assert.Assert(t, forwarded <= limit, "%d records were forwarded, at most %d are expected", forwarded, limit)
	c.write(follower.FeedUpstreams, "u3", "leaving")
	c.run(time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, len(s.node.view.Accepting("s")), upstreams-1, s.name)
	}
}

// TestFirstStartMakesFewStoreCalls: hosts that start for the first time find each other before they
// read the feeds, so that only active ones read whole listings.
func TestFirstStartMakesFewStoreCalls(t *testing.T) {
	c := startCluster(60, true)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "u", "ready")
	c.run(4 * time.Second)
	for _, s := range c.nodes {
		assert.Assert(t, s.node.view.Ready(), s.name)
	}
	active := len(c.nodes[0].node.topology().active)
	limit := 2*active + 2*4*int(time.Second/DefaultTiming().ReadIntervalLarge)
	assert.Assert(t, c.calls <= limit, "%d store calls, at most %d are expected", c.calls, limit)
}

// TestStartReadsFewListings: when a fleet starts, for the first time or after all hosts ended, two
// hosts read each whole feed. The others get it from hosts of their own zone, so that few listings
// cross zones.
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
					c.firstStart, c.listingReads = false, 0
					for _, s := range c.nodes {
						c.start(s)
					}
				}
				across := 0
				c.onMessage = func(ev PeerMessage) {
					for _, page := range ev.Message.FeedPages {
						if page.Full && page.Feed == follower.FeedUpstreams && c.recipient.zone != c.byName[ev.From].zone {
							across++
						}
					}
				}
				c.run(6 * time.Second)
				for _, s := range c.nodes {
					assert.Assert(t, s.node.view.Ready(), s.name)
				}
				assert.Assert(t, c.listingReads <= 2*initialReaders, "%d listings", c.listingReads)
				active := len(c.nodes[0].node.topology().active)
				assert.Assert(t, across <= 2*active, "%d listings to hosts of other zones", across)
			})
		}
	}
}

// TestStoreOutageInLargeFleet: hosts make few calls to a store that refuses them, and a change
// reaches all hosts within 1.5 s of its recovery.
func TestStoreOutageInLargeFleet(t *testing.T) {
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
	assert.Assert(t, c.calls-before < 70*seconds, "%d store calls in %d s", c.calls-before, seconds)
	for _, s := range c.nodes {
		c.set(s, accessOK)
	}
	c.write(follower.FeedOperator, "config", "version 2")
	c.run(1500 * time.Millisecond)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(2), s.name)
	}
}

// TestActiveHostsAnnounceReady: active hosts broadcast that they are ready, and standby hosts when
// they become active.
func TestActiveHostsAnnounceReady(t *testing.T) {
	c := newCluster(40)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "u", "ready")
	c.run(8 * time.Second)
	ready := func(s *simNode) (active, others int) {
		serving := s.node.topology().serving.Active
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
	first := c.nodes[0].node.topology().active
	for _, s := range c.nodes {
		active, others := ready(s)
		assert.Equal(t, active, len(first), s.name)
		assert.Assert(t, others <= 16, "%s knows %d more", s.name, others) // while few hosts are known, all serve
	}
	for _, name := range first {
		c.byName[name].down = true
	}
	c.run(8 * time.Second)
	for _, s := range c.nodes {
		if !s.down {
			active, _ := ready(s)
			assert.Equal(t, active, len(s.node.topology().active), s.name)
		}
	}
}
