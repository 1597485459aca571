// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/tracker"
)

// listingCase is a case of testdata/listings.jsonc.
type listingCase struct {
	Name  string
	Hosts int
	All   bool // All reports whether all hosts end and start, not only the reader.
	Feed  follower.Feed
	Key   string
	Value string
	Again *string // Again, if set, is written under the same key after Value.
}

// TestListingHidesNoRecords guards against pages that lack what their reader knew from its listing before it read them.
func TestListingHidesNoRecords(t *testing.T) {
	data, err := os.ReadFile("testdata/listings.jsonc")
	assert.NilError(t, err)
	var cases []listingCase
	_, faults := strictjson.Decode(data, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, want := range cases {
		t.Run(want.Name, func(t *testing.T) {
			c := newCluster(want.Hosts)
			c.write(follower.FeedOperator, "config", "version 1")
			for _, key := range []string{"a@a", "b@b", "y@b", "z@a"} {
				c.write(follower.FeedUpstreams, key, "ready")
			}
			c.run(3 * time.Second)
			reader := c.reader(want.Feed)
			ends, span := []*simNode{reader}, 2*time.Second
			if want.All {
				ends, span = c.nodes, 4*time.Second
			}
			for _, s := range ends {
				c.act("kill", s)
			}
			c.run(300 * time.Millisecond)
			c.betweenPages = func(f follower.Feed) {
				if f != want.Feed {
					return
				}
				c.betweenPages = nil
				c.write(f, want.Key, want.Value)
				if want.Again != nil {
					c.write(f, want.Key, *want.Again)
				}
			}
			for _, s := range ends {
				c.act("start", s)
			}
			c.run(span)
			assert.Assert(t, c.betweenPages == nil, "no host made a listing")
			fresh := startAlone(c)
			for _, s := range c.nodes {
				assert.Equal(t, s.version, fresh.version, "%s, read by %s", s.name, reader.name)
				assert.DeepEqual(t, s.node.view.Accepting("s"), fresh.node.view.Accepting("s"))
			}
		})
	}
}

// TestPagesWithoutTheirRecords guards against hosts that move past records which a page covers and lacks.
func TestPagesWithoutTheirRecords(t *testing.T) {
	for _, hosts := range []int{2, 6, 40} {
		c := newCluster(hosts)
		c.write(follower.FeedOperator, "config", "version 1")
		c.run(8 * time.Second)
		emptied := 0
		c.onMessage = func(m PeerMessage) {
			for i := range m.Message.FeedPages {
				if p := &m.Message.FeedPages[i]; !p.FromMemory && !p.Full && len(p.Records) > 0 {
					p.Records = nil
					emptied++
				}
			}
		}
		c.write(follower.FeedOperator, "config", "version 2")
		c.run(2 * time.Second)
		assert.Assert(t, emptied > 0)
		for _, s := range c.nodes {
			assert.Equal(t, s.version, uint64(2), "%s of %d", s.name, hosts)
		}
	}
}

// TestChangeBesideMuteReader guards against hosts that wait for a reader which reads and is not heard.
func TestChangeBesideMuteReader(t *testing.T) {
	for _, hosts := range []int{2, 6, 40} {
		c := newCluster(hosts)
		c.write(follower.FeedOperator, "config", "version 1")
		c.run(8 * time.Second)
		c.mute = map[string]bool{c.reader(follower.FeedOperator).name: true}
		c.write(follower.FeedOperator, "config", "version 2")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.Equal(t, s.version, uint64(2), "%s of %d", s.name, hosts)
		}
	}
}

// TestUnlistedHostFollows guards against hosts that are up, unknown to all others, and get no pages.
func TestUnlistedHostFollows(t *testing.T) {
	for _, hosts := range []int{3, 6} {
		c := newCluster(hosts)
		c.write(follower.FeedOperator, "config", "version 1")
		c.run(3 * time.Second)
		unlisted := c.nodes[hosts-1]
		c.partition = map[string]bool{unlisted.name: true}
		c.isolated = true
		c.act("kill", unlisted)
		c.run(5 * time.Second)
		c.act("start", unlisted)
		c.run(3 * time.Second)
		c.write(follower.FeedOperator, "config", "version 2")
		c.run(2 * time.Second)
		for _, s := range c.nodes {
			assert.Equal(t, s.version, uint64(2), "%s of %d", s.name, hosts)
		}
	}
}

// reader returns the first host in rank as a reader of a feed.
func (c *cluster) reader(f follower.Feed) *simNode {
	for _, s := range c.nodes {
		if tracker.RankIndex(s.node.topology().active, s.name, readerKey(f)) == 0 {
			return s
		}
	}
	return nil
}

// startAlone returns a host that has learned all from the store.
func startAlone(c *cluster) *simNode {
	alone := startCluster(1, false)
	alone.logs, alone.era = c.logs, c.era
	alone.run(time.Second)
	return alone.nodes[0]
}
