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

// countBarred returns how many live hosts have barred a request.
func (c *cluster) countBarred(id quarantiner.Identity) int {
	n := 0
	for _, s := range c.nodes {
		if !s.down && s.node.opts.Quarantine.Standing(c.now, id).Standing == quarantiner.Barred {
			n++
		}
	}
	return n
}

// TestEndsAreKnownEverywhere: ends of upstreams that different hosts have seen become known to all
// hosts, also to one that starts, to one that was paused, and after lost messages. Hosts send
// nothing when there is nothing new.
func TestEndsAreKnownEverywhere(t *testing.T) {
	for _, hosts := range []int{3, 8, 40} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			c := newCluster(hosts)
			c.write("Operator", "config", "version 1")
			messages := 0
			c.onMessage = func(m PeerMessage) {
				if len(m.Message.Ended) > 0 {
					messages++
				}
			}
			c.run(4 * time.Second)
			assert.Equal(t, messages, 0)

			id := quarantiner.Identify(quarantiner.Parts{Target: "/bad"})
			paused, late := c.nodes[hosts-1], c.nodes[hosts-2]
			paused.paused = true
			for i := range quarantiner.BarThreshold {
				s := c.nodes[i%(hosts-2)]
				s.node.opts.Quarantine.Ended(c.now, id, fmt.Sprint("start-", i), c.now)
				c.execute(s, s.node.Handle(c.now, QuarantineChanged{}))
				c.run(100 * time.Millisecond)
			}
			c.run(time.Second)
			if hosts <= activator.MaxAllActive {
				assert.Equal(t, c.countBarred(id), hosts-1)
			}
			c.run(3 * time.Second) // in a large fleet the paused host may be a relay
			assert.Equal(t, c.countBarred(id), hosts-1)
			paused.paused = false
			c.start(late)
			c.run(3 * time.Second)
			assert.Equal(t, c.countBarred(id), hosts)

			lost := quarantiner.Identify(quarantiner.Parts{Target: "/lost"})
			c.nodes[0].node.opts.Quarantine.Merge(c.now, []quarantiner.Entry{{Identity: lost, Ends: []string{"a", "b", "c"}}})
			c.run(3 * time.Second)
			assert.Equal(t, c.countBarred(lost), hosts)

			messages = 0
			c.run(2 * time.Second)
			assert.Equal(t, messages, 0, "hosts with equal quarantines send nothing")
		})
	}
}
