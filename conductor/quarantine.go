// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/messenger"
)

// Hosts broadcast at once under which requests upstreams have ended, and send all they know when
// they greet a host. Digests in heartbeats reveal lost messages. The digest of an empty quarantine
// is 0, so nothing is sent then.

const (
	// quarantineSettleTime is how long two hosts may differ before one sends the other everything.
	// Broadcasts settle most differences earlier.
	quarantineSettleTime = 150 * time.Millisecond
	// quarantineSendInterval is the least time between two such messages to one host.
	quarantineSendInterval = time.Second
)

// quarantineDiffs tracks the hosts whose quarantine differs from this one's.
type quarantineDiffs map[string]quarantineDiff

type quarantineDiff struct {
	since  time.Time
	sentAt time.Time // sentAt is when the host was last sent everything.
}

// broadcastQuarantine sends all hosts this one's changes. In a large fleet neighbours get them
// directly as well, since a relay may be stalled.
func (n *Node) broadcastQuarantine() {
	entries := n.opts.Quarantine.TakeChanges(n.now)
	if len(entries) == 0 {
		return
	}
	m := &messenger.Message{Ended: entries}
	if !n.topology().small {
		n.sendToNeighbours("", m)
	}
	n.broadcast(m)
}

// receiveQuarantine applies what another host knows, and sends it everything if it differs.
func (n *Node) receiveQuarantine(now time.Time, from string, m *messenger.Message) {
	if len(m.Ended) > 0 {
		// Bars are gossiped to neighbours too: they are few and urgent.
		if barred := n.opts.Quarantine.Merge(now, m.Ended); len(barred) > 0 && !n.topology().small {
			n.sendAll(n.hosts.Neighbours(), from, &messenger.Message{Ended: barred})
		}
		n.broadcastQuarantine() // a host that has served such a request reports it
	}
	if m.Digest == 0 {
		return
	}
	if m.EndedDigest == n.opts.Quarantine.Digest() {
		delete(n.quarantineDiffs, from)
		return
	}
	d, ok := n.quarantineDiffs[from]
	if !ok {
		d.since = now
	}
	if now.Sub(d.since) >= quarantineSettleTime && now.Sub(d.sentAt) >= quarantineSendInterval {
		d.sentAt = now
		if entries := n.opts.Quarantine.Entries(now); len(entries) > 0 {
			n.send(from, &messenger.Message{Ended: entries})
		}
	}
	n.quarantineDiffs[from] = d
}
