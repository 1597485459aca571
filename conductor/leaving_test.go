// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// TestDrainingHostsFollow guards against hosts that drain and decide for callers on open connections by an old configuration,
// and against hosts that follow a reader or relay that drains.
func TestDrainingHostsFollow(t *testing.T) {
	for _, hosts := range []int{2, 6, 40} {
		for first := range min(hosts, 8) {
			c := newCluster(hosts)
			c.write(follower.FeedOperator, "config", "version 1")
			c.run(8 * time.Second)
			draining := c.nodes[first : first+1]
			if first == 0 {
				draining = c.nodes // all at once
			}
			for _, s := range draining {
				s.inbox = append(s.inbox, DrainStarted{})
			}
			c.run(300 * time.Millisecond)
			c.write(follower.FeedOperator, "config", "version 2")
			c.run(2 * time.Second)
			for _, s := range c.nodes {
				assert.Equal(t, s.version, uint64(2), "%s of %d, %d drain, %s first", s.name, hosts, len(draining), draining[0].name)
			}
		}
	}
}
