// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// reconnectBound is half of the time within which a host must have a change after it was cut off.
const reconnectBound = 1500 * time.Millisecond

// TestCutHostMisleadsNobody guards against sound hosts that take each other for gone as one comes back that heard from
// nobody.
func TestCutHostMisleadsNobody(t *testing.T) {
	for _, hosts := range []int{3, 6, 16} {
		for _, lasts := range []time.Duration{time.Second, 3400 * time.Millisecond, 6 * time.Second} {
			c := newCluster(hosts)
			c.write(follower.FeedOperator, "config", "version 1")
			c.run(3 * time.Second)
			cut := c.nodes[0]
			c.partition = map[string]bool{cut.name: true}
			c.run(lasts)
			c.healPartition()
			c.run(2 * time.Second)
			for _, s := range c.nodes[1:] {
				for _, name := range s.suspected {
					assert.Equal(t, name, cut.name, "at %s of %d after %v", s.name, hosts, lasts)
				}
				assert.Equal(t, len(s.node.hosts.Live()), hosts, "at %s of %d after %v", s.name, hosts, lasts)
			}
			assert.Equal(t, len(cut.node.hosts.Live()), hosts)
		}
	}
}

// TestChangeBesideEndOfCut guards against hosts that wait long to ask the store again after they were cut off from it and
// from all others.
func TestChangeBesideEndOfCut(t *testing.T) {
	for _, hosts := range []int{2, 6} {
		for _, cut := range []access{accessSilent, accessRefuse} {
			for lasts := 2500 * time.Millisecond; lasts <= 8500*time.Millisecond; lasts += 170 * time.Millisecond {
				c := newCluster(hosts)
				c.write(follower.FeedOperator, "config", "version 1")
				c.run(3 * time.Second)
				s := c.nodes[0]
				c.set(s, cut)
				c.partition = map[string]bool{s.name: true}
				c.run(lasts - 400*time.Millisecond)
				c.write(follower.FeedOperator, "config", "version 2")
				c.run(400 * time.Millisecond)
				c.set(s, accessOK) // other hosts stay out of reach
				c.run(reconnectBound)
				assert.Equal(t, s.version, uint64(2), "1 of %d, store %s for %v", hosts, cut, lasts)
			}
		}
	}
}
