// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// TestGreetedHostLearnsAllHosts guards against a restarted host that keeps knowing only the hosts
// that greeted it before it read the announcements.
func TestGreetedHostLearnsAllHosts(t *testing.T) {
	c := newCluster(40)
	c.idle = true
	c.write(follower.FeedOperator, "config", "version 1")
	c.run(5 * time.Second)
	c.isolated = true
	s := c.nodes[17]
	c.start(s)
	s.inbox = append(s.inbox, PeerConnected{Host: c.nodes[3].name, Address: c.nodes[3].name})
	c.run(2 * time.Second)
	assert.Equal(t, len(s.node.hosts.Live()), 40)
}
