// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// BenchmarkIdleSecond3000 measures one second of a standby host in an idle fleet of 300 hosts and
// 3,000 upstreams.
func BenchmarkIdleSecond3000(b *testing.B) {
	c := newCluster(300)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	for i := range 3000 {
		c.write(follower.FeedUpstreams, fmt.Sprint("u", i), "ready")
	}
	c.run(3 * time.Second)
	s := c.nodes[0]
	for _, o := range c.nodes {
		if !o.node.topology().selfActive {
			s = o
		}
	}
	now := c.now
	b.ReportAllocs()
	for b.Loop() {
		for range int(time.Second / DefaultTiming().Tick) {
			now = now.Add(DefaultTiming().Tick)
			for _, o := range s.node.hosts.Neighbours() {
				s.node.hosts.RecordContact(now, o)
			}
			s.node.Handle(now, Tick{})
		}
	}
}
