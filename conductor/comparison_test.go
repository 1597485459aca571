// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// missedCase is a case of testdata/missed.jsonc.
type missedCase struct {
	Name    string
	Hosts   int
	Lacking int
	Refused bool
	Feed    follower.Feed
	Key     string
	Value   string
	Within  duration.Duration
}

// TestHostsNoticeWhatTheyLack guards against hosts that take themselves for current by their position.
func TestHostsNoticeWhatTheyLack(t *testing.T) {
	data, err := os.ReadFile("testdata/missed.jsonc")
	assert.NilError(t, err)
	var cases []missedCase
	_, faults := strictjson.Decode(data, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, want := range cases {
		t.Run(want.Name, func(t *testing.T) {
			c := comparedCluster(want.Hosts)
			c.write(want.Feed, want.Key, want.Value)
			lacking, others := c.nodes[:want.Lacking], c.nodes[want.Lacking:]
			c.passOver(lacking, others, want.Feed)
			if want.Refused {
				for _, s := range lacking {
					c.set(s, accessRefuse)
				}
			}
			c.run(want.Within.Std())
			c.wantAlike(t)
			missed := 0
			for _, s := range lacking {
				missed += s.node.feeds[want.Feed].missed
			}
			assert.Equal(t, missed, want.Lacking, "records that hosts had passed without them")
		})
	}
}

// TestRemovalsThatNobodyRemembers guards against hosts that keep for good what all others know to be removed but no longer
// have as a record.
func TestRemovalsThatNobodyRemembers(t *testing.T) {
	c := comparedCluster(3)
	c.write(follower.FeedOperator, "evacuate/a", "")
	c.passOver(c.nodes[:1], c.nodes[1:], follower.FeedOperator)
	c.act("forget", nil)
	for _, s := range c.nodes[1:] {
		c.start(s)
	}
	c.run(8 * time.Second)
	c.wantAlike(t)
}

// TestRecordsThatAllHostsLack guards against a fleet that takes itself for current although no host has a record.
func TestRecordsThatAllHostsLack(t *testing.T) {
	for _, r := range []follower.Record{{Key: "config", Value: []byte("version 2")}, {Key: "evacuate/a"}, {Key: "evacuate/b", Value: []byte("yes")}} {
		c := comparedCluster(5)
		c.write(follower.FeedOperator, r.Key, string(r.Value))
		c.passOver(c.nodes, nil, follower.FeedOperator)
		c.run(minCheckInterval + 2*time.Second)
		c.wantAlike(t)
	}
}

// TestSteadyFleetComparesNothing guards against hosts that differ while nothing is amiss, and read the feeds for it.
func TestSteadyFleetComparesNothing(t *testing.T) {
	for _, hosts := range []int{3, 40} {
		c := comparedCluster(hosts)
		for i := range 30 {
			c.write(follower.FeedUpstreams, "y@b", []string{"ready", "leaving", ""}[i%3])
			c.write(follower.FeedUpstreams, "a@a", "ready")
			if i%10 == 0 {
				c.write(follower.FeedOperator, "config", "version 2")
			}
			c.run(300 * time.Millisecond)
		}
		for _, s := range c.nodes {
			for name, f := range s.node.feeds {
				assert.Assert(t, f.difference.since.IsZero(), "%s of %d, %s", s.name, hosts, name)
			}
		}
	}
}

// comparedCluster returns a cluster that has run for a while with a configuration, an evacuation and upstreams.
func comparedCluster(hosts int) *cluster {
	c := newCluster(hosts)
	c.write(follower.FeedOperator, "config", "version 1")
	c.write(follower.FeedOperator, "evacuate/a", "yes")
	for _, key := range []string{"a@a", "b@b", "y@b", "z@a"} {
		c.write(follower.FeedUpstreams, key, "ready")
	}
	c.run(8 * time.Second)
	return c
}

// passOver moves hosts past all records of a feed without them, once others know these.
func (c *cluster) passOver(lacking, others []*simNode, name follower.Feed) {
	for _, s := range lacking {
		s.paused = true
	}
	end := int64(len(c.logs[name]))
	for slices.ContainsFunc(others, func(s *simNode) bool { return s.node.feeds[name].next.Offset < end }) {
		c.run(clusterTick)
	}
	for _, s := range lacking {
		f := s.node.feeds[name]
		f.next.Offset, f.reading = end, false
		s.waiting = slices.DeleteFunc(s.waiting, func(w *simRead) bool { return w.read.Feed == name })
		s.paused, s.inbox = false, nil
	}
}

// wantAlike fails the test unless all hosts have what one learns that starts now.
func (c *cluster) wantAlike(t *testing.T) {
	t.Helper()
	fresh := startAlone(c)
	for _, s := range c.nodes {
		assert.Equal(t, s.version, fresh.version, s.name)
		assert.DeepEqual(t, s.node.view.Accepting("s"), fresh.node.view.Accepting("s"))
	}
}
