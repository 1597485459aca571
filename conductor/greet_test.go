// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// A host that was started again knew seven of forty others, for as long as it ran: those that had
// greeted it before it read the announcements. It took the fleet for a small one and itself for one
// that serves. Hosts of a large fleet tell whom they greet of themselves only, and were asked for
// the rest by none that took the fleet for a small one. The evidence: what the host was sent, in a
// model of 40 hosts that were started again in a series.

// TestGreetedHostLearnsOfAll: a host that starts and is greeted before it has read of others soon
// knows all of them.
func TestGreetedHostLearnsOfAll(t *testing.T) {
	c := newCluster(40)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(5 * time.Second)
	c.apart = true
	s := c.nodes[17]
	c.start(s)
	s.inbox = append(s.inbox, PeerUp{Host: c.nodes[3].name, Address: c.nodes[3].name})
	c.run(2 * time.Second)
	assert.Equal(t, len(s.node.hosts.Live()), 40)
}
