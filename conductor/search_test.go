// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/tracker"
)

// convergenceTime is the time within which hosts must know each other.
const convergenceTime = 3 * time.Second

// startIsolated starts hosts of which the last ones have read only their own announcement, and the
// others only each other's.
func startIsolated(connected, isolated int) *cluster {
	c := newCluster(connected)
	c.isolated = true
	for i := range isolated {
		s := &simNode{name: fmt.Sprintf("host-%d", connected+i+1), zone: fmt.Sprintf("zone-%d", i%3), access: accessOK}
		c.nodes = append(c.nodes, s)
		c.byName[s.name] = s
		c.start(s)
	}
	return c
}

// TestIsolatedHostsFindEachOther: hosts that have read only their own announcement soon share the
// quarantine, and then know each other.
func TestIsolatedHostsFindEachOther(t *testing.T) {
	for _, tt := range []struct{ connected, isolated int }{{0, 2}, {2, 1}, {0, 8}, {7, 1}, {59, 1}, {100, 1}} {
		t.Run(fmt.Sprint(tt.connected, " and ", tt.isolated), func(t *testing.T) {
			c := startIsolated(tt.connected, tt.isolated)
			bad := quarantiner.Identify(quarantiner.Parts{Target: "bad"})
			for i := range quarantiner.BarThreshold {
				at := c.now.Add(time.Duration(i) * time.Second)
				c.nodes[0].node.opts.Quarantine.Ended(at, quarantiner.Evidence{Request: bad}, fmt.Sprint(i), at)
			}
			c.run(convergenceTime)
			for _, s := range c.nodes {
				assert.Equal(t, s.node.opts.Quarantine.Standing(c.now, bad).Standing, quarantiner.Barred, s.name)
			}
			c.run(convergenceTime)
			for _, s := range c.nodes {
				assert.Equal(t, len(s.node.hosts.Live()), tt.connected+tt.isolated, s.name)
			}
		})
	}
}

// TestHostsRejoinAfterLongPartition: hosts that have forgotten each other during a long partition
// know each other soon after it ends.
func TestHostsRejoinAfterLongPartition(t *testing.T) {
	for _, hosts := range []int{2, 8, 30} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := newCluster(hosts)
			c.run(5 * time.Second)
			c.partition = make(map[string]bool)
			for _, s := range c.nodes[:hosts/2] {
				c.partition[s.name] = true
			}
			c.run(2 * DefaultTiming().ForgetAfter)
			for _, s := range c.nodes {
				_, known := s.node.hosts.Lookup(c.nodes[hosts/2].name)
				assert.Equal(t, known, !c.partition[s.name], s.name)
			}
			c.healPartition()
			c.run(convergenceTime)
			for _, s := range c.nodes {
				assert.Equal(t, len(s.node.hosts.Live()), hosts, s.name)
			}
		})
	}
}

// TestSearchesAreRare: only one host searches for unknown ones, at growing intervals, and
// announcements of ended hosts do not add live ones.
func TestSearchesAreRare(t *testing.T) {
	const gone, doubling = 100, 5 // doubling is the number of searches before the interval is longest
	for _, tt := range []struct{ live, minutes int }{{8, 5}, {60, 1}} {
		t.Run(fmt.Sprint(tt.live), func(t *testing.T) {
			c := newCluster(tt.live)
			c.announceGone(gone)
			c.run(time.Duration(tt.minutes) * time.Minute)
			assert.Assert(t, c.searches <= tt.minutes*int(time.Minute/maxSearchInterval)+doubling, "%d searches", c.searches)
			assert.Assert(t, c.searches > 0)
			for _, s := range c.nodes[:tt.live] {
				assert.Equal(t, len(s.node.hosts.Live()), tt.live)
			}
		})
	}
}

// announceGone adds announcements of n ended hosts.
func (c *cluster) announceGone(n int) {
	for i := range n {
		s := &simNode{name: fmt.Sprintf("gone-%d", i), down: true}
		c.nodes, c.byName[s.name] = append(c.nodes, s), s
		c.announce(tracker.HostRecord{Host: s.name, Incarnation: 1, State: tracker.HostLive, Peers: s.name})
	}
}

// TestAnnouncementsOfGoneHostsAreDropped: only announcements of hosts unknown for long are removed.
func TestAnnouncementsOfGoneHostsAreDropped(t *testing.T) {
	const live, gone = 3, 100
	c := newCluster(live)
	c.announceGone(gone)
	c.run(announcementTTL - time.Minute)
	assert.Equal(t, len(c.announcements), live+gone)
	c.run(3 * time.Minute)
	assert.Equal(t, len(c.announcements), live)
}

// TestPartitionedHostsAnnounceAgain: both sides of a long partition remove each other's
// announcements. Enough remain for the sides to find each other afterwards, even if no connection
// is retried.
func TestPartitionedHostsAnnounceAgain(t *testing.T) {
	c := newCluster(4)
	c.partition = map[string]bool{c.nodes[0].name: true, c.nodes[1].name: true}
	c.run(announcementTTL + 2*time.Minute)
	c.partition = nil
	c.run(maxSearchInterval + convergenceTime)
	for _, s := range c.nodes {
		assert.Equal(t, len(s.node.hosts.Live()), 4, s.name)
	}
}

// TestIntroducersAreReplenished: when most announcements are gone, hosts announce themselves until
// there are as many introducers as starting hosts need, and no more.
func TestIntroducersAreReplenished(t *testing.T) {
	const live = 2 * introducer.MinAnnouncements
	c := newCluster(live)
	c.idle = true
	for _, s := range c.nodes[:live-5] {
		delete(c.announcements, s.name)
	}
	c.run(2 * firstSearchDelay)
	assert.Equal(t, len(c.announcements), introducer.MinAnnouncements)
	changes := c.announcementsEnd
	c.run(maxSearchInterval)
	assert.Equal(t, c.announcementsEnd, changes)
}
