// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// knowEnds returns how many hosts have barred a request.
func (c *cluster) knowEnds(id quarantiner.Identity) int {
	n := 0
	for _, s := range c.nodes {
		if !s.down && s.node.opts.Quarantine.Standing(c.now, id).Standing == quarantiner.Barred {
			n++
		}
	}
	return n
}

// TestEndsAreKnownEverywhere: ends that different hosts have seen are known at all of them
// within a moment; at a host that starts, at one that stood still, and, by the digests of
// heartbeats, where what was told was lost. Where nothing happened nothing is told.
func TestEndsAreKnownEverywhere(t *testing.T) {
	for _, hosts := range []int{3, 8, 40} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			c := newCluster(hosts)
			c.write("Operator", "config", "version 1")
			told := 0
			c.seen = func(m PeerMessage) {
				if len(m.Message.Ended) > 0 {
					told++
				}
			}
			c.run(4 * time.Second)
			assert.Equal(t, told, 0)

			id := quarantiner.Identify(quarantiner.Parts{Target: "/bad"})
			frozen, late := c.nodes[hosts-1], c.nodes[hosts-2]
			frozen.paused = true
			for i := range quarantiner.Bar {
				s := c.nodes[i%(hosts-2)]
				s.node.opts.Quarantine.Ended(c.now, id, fmt.Sprint("start-", i), c.now)
				c.carry(s, s.node.Handle(c.now, EndsFound{}))
				c.run(100 * time.Millisecond)
			}
			c.run(time.Second)
			if hosts <= activator.AllServe {
				assert.Equal(t, c.knowEnds(id), hosts-1)
			}
			c.run(3 * time.Second) // in a large fleet the one that stands still may be a relay
			assert.Equal(t, c.knowEnds(id), hosts-1)
			frozen.paused = false
			c.start(late)
			c.run(3 * time.Second)
			assert.Equal(t, c.knowEnds(id), hosts)

			lost := quarantiner.Identify(quarantiner.Parts{Target: "/lost"})
			c.nodes[0].node.opts.Quarantine.Hear(c.now, []quarantiner.Word{{Identity: lost, Ends: []string{"a", "b", "c"}}})
			c.run(3 * time.Second)
			assert.Equal(t, c.knowEnds(lost), hosts)

			told = 0
			c.run(2 * time.Second)
			assert.Equal(t, told, 0, "hosts that know the same tell each other nothing")
		})
	}
}
