// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/messenger"
)

// Hosts tell each other at once under which requests upstreams have ended, and hosts that
// start when they are greeted. What is lost on the way shows in the digests of heartbeats:
// those of hosts that know nothing are 0, so that nothing is spent where nothing happened.

const (
	// endsSettle is how long two hosts may differ before one tells the other all: what is
	// told at once settles most differences by then.
	endsSettle = 150 * time.Millisecond
	// endsAgain is the least time between two such tellings to one host.
	endsAgain = time.Second
)

// endsDiffer remembers hosts that know other ends than this one.
type endsDiffer map[string]difference

type difference struct {
	since time.Time
	told  time.Time // told is when the host was last told all.
}

// tellEnds tells all hosts what this one has just seen. In a large fleet those that serve
// callers, and so may send such a request on, are told directly: a relay that stands still
// would keep it from all others until their heartbeats show that they differ.
func (n *Node) tellEnds() {
	words := n.opts.Quarantine.News(n.now)
	if len(words) == 0 {
		return
	}
	m := &messenger.Message{Ended: words}
	if !n.paths().small {
		n.spread("", m)
	}
	n.broadcast(m)
}

// hearEnds takes in what another host knows, and tells it all if it knows something else.
func (n *Node) hearEnds(now time.Time, from string, m *messenger.Message) {
	if len(m.Ended) > 0 {
		// Bars go from neighbour to neighbour: they are few, and all must know them in time.
		if barred := n.opts.Quarantine.Hear(now, m.Ended); len(barred) > 0 && !n.paths().small {
			n.sendAll(n.hosts.Neighbours(), from, &messenger.Message{Ended: barred})
		}
		n.tellEnds() // a host that has served such a request says so
	}
	if m.Digest == 0 {
		return
	}
	if m.EndedDigest == n.opts.Quarantine.Digest() {
		delete(n.endsDiffer, from)
		return
	}
	d, ok := n.endsDiffer[from]
	if !ok {
		d.since = now
	}
	if now.Sub(d.since) >= endsSettle && now.Sub(d.told) >= endsAgain {
		d.told = now
		if words := n.opts.Quarantine.Words(now); len(words) > 0 {
			n.send(from, &messenger.Message{Ended: words})
		}
	}
	n.endsDiffer[from] = d
}
