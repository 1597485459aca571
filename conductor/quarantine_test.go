// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/messenger"
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
				s.node.opts.Quarantine.Ended(c.now, quarantiner.Evidence{Request: id}, fmt.Sprint("start-", i), c.now)
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

// TestPartsAreBarredEverywhere guards against a part of prompts that crashes upstreams at one host after another: each
// host sees one end, and all bar the part, also one that starts later.
func TestPartsAreBarredEverywhere(t *testing.T) {
	for _, hosts := range []int{3, 8, 60} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			c := newCluster(hosts)
			c.idle = true
			c.write("Operator", "config", "version 1")
			c.run(4 * time.Second)
			bad, sound := quarantiner.IdentifyPart("", "m", "bad"), quarantiner.IdentifyPart("", "m", "sound")
			messages, bytes := 0, 0
			c.onMessage = func(m PeerMessage) {
				if len(m.Message.Ended) > 0 {
					messages++
					bytes += len(messenger.Encode(&messenger.Message{Ended: m.Message.Ended}))
				}
			}
			for i := range quarantiner.PartBarThreshold {
				s := c.nodes[i%hosts]
				ev := quarantiner.Evidence{Request: quarantiner.Identify(quarantiner.Parts{Target: fmt.Sprint(i)}), Parts: []quarantiner.Identity{sound, bad}}
				s.node.opts.Quarantine.Ended(c.now, ev, fmt.Sprint("start-", i), c.now)
				c.execute(s, s.node.Handle(c.now, QuarantineChanged{}))
				other := c.nodes[(i+1)%hosts]
				other.node.opts.Quarantine.Begun(c.now, []quarantiner.Identity{sound})
				c.run(200 * time.Millisecond)
			}
			c.run(2 * time.Second)
			t.Logf("%.1f messages and %.0f bytes at a host for each end", float64(messages)/float64(hosts*quarantiner.PartBarThreshold), float64(bytes)/float64(hosts*quarantiner.PartBarThreshold))
			c.start(c.nodes[hosts-1])
			c.run(3 * time.Second)
			for _, s := range c.nodes {
				got, part := s.node.opts.Quarantine.PartsStanding(c.now, []quarantiner.Identity{sound, bad})
				assert.Equal(t, got, quarantiner.Barred, s.name)
				assert.Equal(t, part, bad, s.name)
				got, _ = s.node.opts.Quarantine.PartsStanding(c.now, []quarantiner.Identity{sound})
				assert.Equal(t, got, quarantiner.Free, s.name)
			}
		})
	}
}
