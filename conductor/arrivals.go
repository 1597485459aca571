// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// After a stall of a host or a network path, delayed messages arrive together as if just sent.
// Their content holds, but their age is unknown. Without this check, a host that had
// stalled for 3 s took replaced weights to be in force, and fetched their parts from stores while
// these freed them.
const (
	// staleGap is the silence of a host after which its messages may be stale.
	staleGap = 600 * time.Millisecond
	// staleWindow is how long messages after such a silence may be stale.
	staleWindow = 300 * time.Millisecond
	// unknownAge stands for an unknown age; it exceeds every age limit.
	unknownAge = 24 * time.Hour
)

// peerArrivals tracks the last contact with each host, to detect delayed messages.
type peerArrivals map[string]*peerArrival

type peerArrival struct {
	lastContact time.Time
	staleUntil  time.Time
}

// mayBeStale records a message from a host and reports whether it may have been delayed.
func (d peerArrivals) mayBeStale(now time.Time, host string) bool {
	h := d[host]
	if h == nil {
		h = &peerArrival{}
		d[host] = h
	}
	if now.Sub(h.lastContact) > staleGap {
		h.staleUntil = now.Add(staleWindow)
	}
	h.lastContact = now
	return now.Before(h.staleUntil)
}

// withUnknownAge returns pages whose ages are set to unknownAge.
func withUnknownAge(pages []follower.FeedPage) []follower.FeedPage {
	out := make([]follower.FeedPage, len(pages))
	for i, p := range pages {
		p.Age = unknownAge
		out[i] = p
	}
	return out
}
