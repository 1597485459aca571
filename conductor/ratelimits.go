// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/throttler"
)

// Hosts broadcast the rate limits that upstreams declare to them. Greetings and heartbeats repeat all
// limits, for hosts that have missed a broadcast; they are empty where no upstream declares any.

// stepRateLimits sends what the throttler has for other hosts.
func (n *Node) stepRateLimits(ev RateLimitsStepped) {
	if len(ev.Changes) > 0 {
		n.broadcast(&messenger.Message{RateLimits: ev.Changes})
	}
	n.sendPermits(ev.Permits)
}

func (n *Node) sendPermits(messages []throttler.Message) {
	for _, m := range messages {
		permits := m.Permits
		n.send(m.To, &messenger.Message{Permits: &permits})
	}
}

// receiveRateLimits applies what another host sent about rate limits.
func (n *Node) receiveRateLimits(now time.Time, from string, m *messenger.Message) {
	if len(m.RateLimits) > 0 {
		adopted := n.opts.Throttler.Merge(now, m.RateLimits)
		if len(adopted) > 0 && !n.topology().small {
			n.sendAll(n.hosts.Neighbours(), from, &messenger.Message{RateLimits: adopted})
		}
	}
	if m.Permits == nil {
		return
	}
	n.opts.Throttler.ReceiveGrants(now, m.Permits.Grants)
	n.sendPermits(n.opts.Throttler.ReceiveAsks(now, from, m.Permits.Asks))
}
