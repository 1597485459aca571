// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/seeder"
	"amaranthgate.example/amaranthgate/tracker"
)

func init() { seeder.Fix() }

// TestChangeReachesAll: the host that reads for all is cut off silently at the
// moment of a change. All others must know it within 2 s, and so must those
// that the store refuses.
func TestChangeReachesAll(t *testing.T) {
	for _, a := range []access{accessOK, accessRefuse, accessSilent} {
		t.Run(string(a), func(t *testing.T) {
			for reader := range 5 {
				c := newCluster(5)
				c.write(follower.FeedOperator, "config", "version 1")
				c.run(3 * time.Second)
				c.set(c.nodes[reader], a)
				c.set(c.nodes[(reader+1)%5], accessRefuse)
				c.write(follower.FeedOperator, "config", "version 2")
				c.write(follower.FeedUpstreams, "u", "leaving")
				c.run(2 * time.Second)
				for _, s := range c.nodes {
					assert.Equal(t, s.version, uint64(2), "%s, with %s cut", s.name, c.nodes[reader].name)
				}
			}
		})
	}
}

// TestSubstituteGoesOn: the store turns away the host that reads for all. Whoever takes
// its place keeps reading, so that further changes are known within half a second, and
// the number of questions stays that of one reader or two.
func TestSubstituteGoesOn(t *testing.T) {
	for _, hosts := range []int{5, 40} {
		for reader := range 5 {
			c := newCluster(hosts)
			c.idle = true
			c.write(follower.FeedOperator, "config", "version 1")
			c.run(3 * time.Second)
			c.set(c.nodes[reader], accessRefuse)
			for _, s := range c.nodes {
				if hosts > 5 && tracker.Place(s.node.paths().active, s.name, "reader/"+string(follower.FeedOperator)) == 0 {
					c.set(s, accessRefuse)
				}
			}
			c.run(3 * time.Second)
			before := c.calls
			const changes = 6
			for i := range changes {
				version := uint64(i + 2)
				c.write(follower.FeedOperator, "config", fmt.Sprint("version ", version))
				c.run(500 * time.Millisecond)
				for _, s := range c.nodes {
					assert.Equal(t, s.version, version, "%s of %d, with %s turned away", s.name, hosts, c.nodes[reader].name)
				}
				c.run(200 * time.Millisecond)
			}
			assert.Assert(t, c.calls-before < 60, "%d questions in 4 s", c.calls-before)
		}
	}
}

// TestStoreReturns: the store swallows all questions for a while. Three seconds
// after it is back, a change reaches all hosts as ever.
func TestStoreReturns(t *testing.T) {
	c := newCluster(4)
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(3 * time.Second)
	for _, s := range c.nodes {
		c.set(s, accessSilent)
	}
	c.run(5 * time.Second)
	for _, s := range c.nodes {
		c.set(s, accessOK)
	}
	c.run(3 * time.Second)
	c.write(follower.FeedOperator, "config", "version 2")
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(2), s.name)
	}
}

// TestRefusedHostLearnsFromOthers: a host that starts while the store turns it
// away gets what it lacks from the others.
func TestRefusedHostLearnsFromOthers(t *testing.T) {
	c := newCluster(3)
	c.write(follower.FeedOperator, "config", "version 3")
	c.write(follower.FeedUpstreams, "a", "ready")
	c.run(3 * time.Second)
	c.set(c.nodes[1], accessRefuse)
	c.start(c.nodes[1])
	c.run(time.Second)
	assert.Equal(t, c.nodes[1].version, uint64(3))
	assert.DeepEqual(t, c.nodes[1].node.view.Taking("s"), []string{"a"})
}

// TestRemovalAfterRefusal: after the store turned hosts away for a while, one of
// them reads for all again and the others only hear of it. They must not go on
// taking removed upstreams for ones whose entries lapsed.
func TestRemovalAfterRefusal(t *testing.T) {
	for first := range 3 {
		c := newCluster(3)
		c.write(follower.FeedOperator, "config", "version 1")
		c.write(follower.FeedUpstreams, "a", "ready")
		c.run(3 * time.Second)
		for _, s := range c.nodes {
			c.set(s, accessRefuse)
		}
		c.run(5 * time.Second)
		c.set(c.nodes[first], accessOK) // the others have no need to ask the store from here on
		c.run(3 * time.Second)
		for _, s := range c.nodes {
			c.set(s, accessOK)
		}
		c.run(4 * time.Second)
		c.write(follower.FeedUpstreams, "a", "")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.Equal(t, len(s.node.view.Taking("s")), 0, "%s, with %s back first", s.name, c.nodes[first].name)
		}
	}
}

// TestManyHosts: 40 hosts in three availability zones, which reach each other
// through relays. Nobody is taken for silent, and a change reaches all in 2 s also
// when all relays have just died.
func TestManyHosts(t *testing.T) {
	c := newCluster(40)
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(8 * time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(1), s.name)
		for _, r := range s.node.hosts.All() {
			assert.Equal(t, r.State, tracker.HostLive, "%s as %s sees it", r.Host, s.name)
		}
	}
	before := c.calls
	c.run(10 * time.Second)
	assert.Assert(t, c.calls-before < 80, "%d calls to the store in 10 s", c.calls-before)
	relays := append([]string{c.nodes[0].node.paths().relay}, c.nodes[0].node.paths().relays...)
	for _, name := range relays {
		c.act("kill", c.byName[name])
	}
	c.write(follower.FeedOperator, "config", "version 2")
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		if !s.down {
			assert.Equal(t, s.version, uint64(2), s.name)
		}
	}
}

// TestForgottenHistory: the store drops old records; the newest of each key
// stays, and nothing that is in force may vanish.
func TestForgottenHistory(t *testing.T) {
	c := newCluster(3)
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "a", "ready")
	c.write(follower.FeedUpstreams, "b", "ready")
	c.run(2 * time.Second)
	c.write(follower.FeedUpstreams, "a", "")
	c.write(follower.FeedUpstreams, "c", "ready")
	for f, log := range c.logs {
		c.first[f] = int64(len(log))
	}
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(1))
		assert.DeepEqual(t, s.node.view.Taking("s"), []string{"b", "c"})
	}
}

// TestUnreadableRecord: a record that cannot be read is left out and changes
// nothing.
func TestUnreadableRecord(t *testing.T) {
	c := newCluster(2)
	c.write(follower.FeedOperator, "config", "version 4")
	c.write(follower.FeedOperator, "config", "rubbish")
	c.run(2 * time.Second)
	assert.Equal(t, c.nodes[0].version, uint64(0)) // the listing has only the newest, which says nothing
	c.write(follower.FeedOperator, "config", "version 5")
	c.write(follower.FeedOperator, "config", "rubbish")
	c.run(2 * time.Second)
	assert.Equal(t, c.nodes[0].version, uint64(5))
	assert.Equal(t, c.nodes[1].version, uint64(5))
}

// TestForeignEntries: entries of another writer, under names of their own or under that of
// an upstream, name nobody; the others hold, and so does the upstream once it has written
// again. They are no reason for a line each.
func TestForeignEntries(t *testing.T) {
	for _, hosts := range []int{1, 4, 20} {
		c := newCluster(hosts)
		c.write(follower.FeedOperator, "config", "version 1")
		c.write(follower.FeedUpstreams, "a", "ready")
		c.write(follower.FeedUpstreams, "b", "ready")
		c.run(3 * time.Second)
		for range 50 {
			c.write(follower.FeedUpstreams, "x", "rubbish")
			c.write(follower.FeedUpstreams, "b", "rubbish")
			c.run(50 * time.Millisecond)
		}
		c.run(time.Second)
		for _, s := range c.nodes {
			assert.DeepEqual(t, s.node.view.Taking("s"), []string{"a"})
			assert.Assert(t, s.unreadable > 0 && s.unreadable <= 4, "%s wrote %d lines", s.name, s.unreadable)
		}
		c.write(follower.FeedUpstreams, "b", "ready")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.DeepEqual(t, s.node.view.Taking("s"), []string{"a", "b"})
		}
	}
}

var clusterActions = []string{"write", "write", "write", "silent", "refuse", "ok", "ok", "kill", "start", "pause", "resume", "forget", "upstream"}

// TestRandomFaults: whatever happens, versions never go back on a host, and two
// seconds after a change every host that has been in touch with the store for
// three seconds before it, and stays so, knows it.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 5).Draw(t, "hosts"))
		version := uint64(1)
		c.write(follower.FeedOperator, "config", "version 1")
		c.run(4 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s := rapid.SampledFrom(c.nodes).Draw(t, "host")
			do := rapid.SampledFrom(clusterActions).Draw(t, "do")
			c.act(do, s)
			if do == "write" {
				version++
				c.write(follower.FeedOperator, "config", fmt.Sprint("version ", version))
				c.checkSpread(version)
			}
			c.run(rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "after"))
			if len(c.faults) > 0 {
				t.Fatalf("broken: %q", c.faults)
			}
		}
	})
}

func (c *cluster) act(do string, s *simNode) {
	switch do {
	case "silent":
		c.set(s, accessSilent)
	case "refuse":
		c.set(s, accessRefuse)
	case "ok":
		c.set(s, accessOK)
	case "kill":
		s.down, s.changed = true, c.now
	case "start":
		if s.down {
			c.start(s)
		}
	case "pause":
		s.paused, s.changed = true, c.now
	case "resume":
		s.paused, s.changed = false, c.now
	case "forget":
		for f, log := range c.logs {
			c.first[f] = int64(len(log))
		}
	case "upstream":
		c.write(follower.FeedUpstreams, "u", "ready")
	}
}

// checkSpread lets two seconds pass after a change and looks who knows it.
func (c *cluster) checkSpread(version uint64) {
	var touch []*simNode
	for _, s := range c.nodes {
		if !s.down && !s.paused && s.access == accessOK && c.now.Sub(s.changed) >= 3*time.Second {
			touch = append(touch, s)
		}
	}
	c.run(2 * time.Second)
	for _, s := range touch {
		if s.version < version {
			c.faults = append(c.faults, fmt.Sprintf("%s has version %d, not %d, after 2 s", s.name, s.version, version))
		}
	}
}
