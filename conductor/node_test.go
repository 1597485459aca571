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
	"amaranthgate.example/amaranthgate/internal/seeder"
	"amaranthgate.example/amaranthgate/tracker"
)

func init() { seeder.Fix() }

// TestChangeReachesAll: the host that reads the feeds is cut off at the moment of a change. All
// other hosts must know the change within 2 s, including one that the store refuses.
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

// TestRecordsSayHowTheyCame checks that each host logs by which way it got a change, and from whom.
func TestRecordsSayHowTheyCame(t *testing.T) {
	c := newCluster(4)
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(3 * time.Second)
	c.write(follower.FeedOperator, "config", "version 2")
	c.run(time.Second)
	readers := 0
	for _, s := range c.nodes {
		assert.Equal(t, s.applied.Key, "config")
		switch s.applied.Way {
		case WayRead:
			readers++
			assert.Equal(t, s.applied.Host, "")
		case WayPage:
			assert.Assert(t, c.byName[s.applied.Host] != nil && s.applied.Host != s.name, "%+v", s.applied)
		default:
			t.Errorf("%s: %+v", s.name, s.applied)
		}
	}
	assert.Assert(t, readers >= 1)
	c.start(c.nodes[1])
	c.set(c.nodes[1], accessRefuse)
	c.run(2 * time.Second)
	assert.Equal(t, c.nodes[1].applied.Way, WayHandover)
}

// TestReplacementReaderContinues: the store refuses the host that reads the feeds. Its replacement
// keeps reading, so that changes reach all hosts within 500 ms, with about as many store calls as
// one or two readers make.
func TestReplacementReaderContinues(t *testing.T) {
	for _, hosts := range []int{5, 40} {
		for reader := range 5 {
			c := newCluster(hosts)
			c.idle = true
			c.write(follower.FeedOperator, "config", "version 1")
			c.run(3 * time.Second)
			c.set(c.nodes[reader], accessRefuse)
			for _, s := range c.nodes {
				if hosts > 5 && tracker.RankIndex(s.node.topology().active, s.name, "reader/"+string(follower.FeedOperator)) == 0 {
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
					assert.Equal(t, s.version, version, "%s of %d, with %s refused", s.name, hosts, c.nodes[reader].name)
				}
				c.run(200 * time.Millisecond)
			}
			assert.Assert(t, c.calls-before < 60, "%d store calls in 4 s", c.calls-before)
		}
	}
}

// TestStoreReturns: the store answers no read for a while. Three seconds after it recovers, a
// change reaches all hosts in the usual time.
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

// TestRefusedHostLearnsFromOthers: a host that starts while the store refuses it gets the feeds
// from the others.
func TestRefusedHostLearnsFromOthers(t *testing.T) {
	c := newCluster(3)
	c.write(follower.FeedOperator, "config", "version 3")
	c.write(follower.FeedUpstreams, "a", "ready")
	c.run(3 * time.Second)
	c.set(c.nodes[1], accessRefuse)
	c.start(c.nodes[1])
	c.run(time.Second)
	assert.Equal(t, c.nodes[1].version, uint64(3))
	assert.DeepEqual(t, c.nodes[1].node.view.Accepting("s"), []string{"a"})
}

// TestRemovalAfterRefusal: after a store outage only one host reads and informs the others.
// They must treat removed upstreams as removed, not as lapsed.
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
		c.set(c.nodes[first], accessOK) // the others have no need to read the store from here on
		c.run(3 * time.Second)
		for _, s := range c.nodes {
			c.set(s, accessOK)
		}
		c.run(4 * time.Second)
		c.write(follower.FeedUpstreams, "a", "")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.Equal(t, len(s.node.view.Accepting("s")), 0, "%s, with %s back first", s.name, c.nodes[first].name)
		}
	}
}

// TestManyHosts: in a large fleet with relays no host is suspected, and a change reaches all hosts
// within 2 s even if all relays have just ended.
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
	relays := append([]string{c.nodes[0].node.topology().relay}, c.nodes[0].node.topology().relays...)
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

// TestForgottenHistory: the store drops old records but keeps the newest of each key. Nothing that
// is in force may be lost.
func TestForgottenHistory(t *testing.T) {
	c := newCluster(3)
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedUpstreams, "a", "ready")
	c.write(follower.FeedUpstreams, "b", "ready")
	c.run(2 * time.Second)
	c.write(follower.FeedUpstreams, "a", "")
	c.write(follower.FeedUpstreams, "c", "ready")
	for f, log := range c.logs {
		c.oldest[f] = int64(len(log))
	}
	c.run(2 * time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, uint64(1))
		assert.DeepEqual(t, s.node.view.Accepting("s"), []string{"b", "c"})
	}
}

// TestUnreadableRecord: a record that cannot be read is skipped.
func TestUnreadableRecord(t *testing.T) {
	for _, want := range []struct {
		forgotten bool // forgotten is set if the store has dropped the readable record.
		version   uint64
	}{{false, 4}, {true, 0}} {
		c := newCluster(2)
		c.write(follower.FeedOperator, "config", "version 4")
		c.write(follower.FeedOperator, "config", "rubbish")
		if want.forgotten {
			c.oldest[follower.FeedOperator] = 2
		}
		c.run(2 * time.Second)
		assert.Equal(t, c.nodes[0].version, want.version)
		c.write(follower.FeedOperator, "config", "version 5")
		c.write(follower.FeedOperator, "config", "rubbish")
		c.run(2 * time.Second)
		assert.Equal(t, c.nodes[0].version, uint64(5))
		assert.Equal(t, c.nodes[1].version, uint64(5))
	}
}

// TestForeignEntries: unreadable entries under new names or under that of an upstream do not affect
// other upstreams. An upstream whose entry was overwritten returns once it writes again. Log lines
// are limited.
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
			assert.DeepEqual(t, s.node.view.Accepting("s"), []string{"a"})
			assert.Assert(t, s.unreadable > 0 && s.unreadable <= 4, "%s wrote %d lines", s.name, s.unreadable)
		}
		c.write(follower.FeedUpstreams, "b", "ready")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.DeepEqual(t, s.node.view.Accepting("s"), []string{"a", "b"})
		}
	}
}

var clusterActions = []string{"write", "write", "write", "silent", "refuse", "ok", "ok", "kill", "start", "pause", "resume", "forget", "upstream"}

// TestRandomFaults: versions never decrease on a host, and two seconds after a change it is known
// to every host that could reach the store for three seconds before it and since. Changes are also written between the calls
// of a listing. Once all works again, all hosts have the newest one, and none had passed a record that it lacked.
func TestRandomFaults(t *testing.T) {
	actions := append(slices.Clone(clusterActions), "writeWhileListed", "writeWhileListed")
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
			case "writeWhileListed":
				c.betweenPages = func(f follower.Feed) {
					if f == follower.FeedOperator {
						c.betweenPages = nil
						write()
					}
				}
			}
			c.run(rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "after"))
			if len(c.violations) > 0 {
				t.Fatalf("broken: %q", c.violations)
			}
		}
		c.betweenPages = nil
		c.checkSettled(t, version)
	})
}

// checkSettled ends all faults and checks that all hosts have the newest configuration, and that none had passed a record
// that it lacked.
func (c *cluster) checkSettled(t *rapid.T, version uint64) {
	for _, s := range c.nodes {
		for _, do := range []string{"ok", "resume", "start"} {
			c.act(do, s)
		}
	}
	c.run(5 * time.Second)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, version, s.name)
		for name, f := range s.node.feeds {
			assert.Equal(t, f.missed, 0, "%s, %s", s.name, name)
		}
	}
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
			c.oldest[f] = int64(len(log))
		}
	case "upstream":
		c.write(follower.FeedUpstreams, "u", "ready")
	}
}

// checkPropagation runs for two seconds after a change and checks which hosts know it.
func (c *cluster) checkPropagation(version uint64) {
	var inTouch []*simNode
	for _, s := range c.nodes {
		if !s.down && !s.paused && s.access == accessOK && c.now.Sub(s.changed) >= 3*time.Second {
			inTouch = append(inTouch, s)
		}
	}
	c.run(2 * time.Second)
	for _, s := range inTouch {
		if s.version < version {
			c.violations = append(c.violations, fmt.Sprintf("%s has version %d, not %d, after 2 s", s.name, s.version, version))
		}
	}
}
