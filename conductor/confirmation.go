// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"sync/atomic"
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

const (
	// confirmationTTL is how long a configuration counts as in force after it was known to be.
	confirmationTTL = 2 * time.Second
	// wakeTime is how long after a stall of this process, or a silence of all others, messages from before may still arrive.
	wakeTime = time.Second
)

// Confirmed reports that the configuration was in force at a time, as far as this host can know.
type Confirmed struct{ At time.Time }

func (Confirmed) action() {}

// confirmConfiguration takes the configuration to be in force while other hosts are heard, none of which knows more. So it
// does during an outage of the store, but not when this host has just been suspended, or hears nobody. A host that knows no
// other takes it to be in force unless it has been suspended.
func (n *Node) confirmConfiguration(now time.Time) {
	f := n.feeds[follower.FeedOperator]
	if f == nil || !f.loaded || !f.behindSince.IsZero() || now.Sub(n.stalledAt) < wakeTime || now.Sub(n.silenceEndedAt) < wakeTime {
		return
	}
	if now.Sub(n.heardAt) < confirmationTTL || len(n.hosts.All()) <= 1 {
		n.emit(Confirmed{At: now})
	}
}

// publishCurrent emits up to when the operators' feed is known. It must follow the view of that feed: requests take an earlier
// one for current otherwise.
func (n *Node) publishCurrent() {
	if n.currentAt.After(n.publishedCurrentAt) {
		n.publishedCurrentAt = n.currentAt
		n.emit(FeedCurrent{At: n.currentAt})
	}
}

// noteHeard records that a message of another host is handled.
func (n *Node) noteHeard(now time.Time) {
	if now.Sub(n.heardAt) >= confirmationTTL {
		n.silenceEndedAt = now
	}
	n.heardAt = now
}

// confirmation is when the configuration was last known to be in force. The zero value is ready to use.
type confirmation struct{ at atomic.Pointer[time.Time] }

// note records that the configuration was in force at a time. It must be called by one goroutine at a time.
func (c *confirmation) note(at time.Time) {
	if before := c.at.Load(); before == nil || at.After(*before) {
		c.at.Store(&at)
	}
}

// valid reports whether the configuration counts as in force.
func (c *confirmation) valid(now time.Time) bool {
	at := c.at.Load()
	return at != nil && now.Sub(*at) < confirmationTTL
}
