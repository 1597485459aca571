// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Load is the newest report of an upstream's load.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens int
	Base          Mark // Base is what this host had sent when the report was made.
}

// PeerLoad is what the other hosts said they have under way at an upstream.
type PeerLoad struct {
	Fresh    bool // Fresh tells that all live hosts said so a moment ago.
	Requests int
	Tokens   int // Tokens are prompt tokens not yet computed.
}

// Target is an upstream as routing sees it.
type Target struct {
	Name          string
	Hash          uint64  // Hash is the hash of Name for rendezvous.
	Usable        bool    // Usable is false for upstreams that leave, are down or lack the version.
	Near          bool    // Near tells that it is in this host's availability zone.
	Slots         float64 // Slots is the number of requests it runs at once.
	PrefillRate   float64 // PrefillRate is in tokens per second; 0 for plain services.
	LinkRate      float64 // LinkRate is in bytes per second.
	BytesPerToken float64
	Load          Load
	Peers         PeerLoad
	Meter         *Meter
}

// NameHash returns the value for Target.Hash.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// requests returns the estimated number of requests at t now: what all hosts
// say they have under way, or, where they are silent, the last report of load
// corrected by what this host has sent since.
func (t *Target) requests() float64 { return t.requestsAt(t.Meter.Mark()) }

func (t *Target) requestsAt(now Mark) float64 {
	own := int(now.Started - now.Finished)
	if t.Peers.Fresh {
		return float64(own + t.Peers.Requests)
	}
	n := t.Load.Running + t.Load.Waiting
	n += int(now.Started-t.Load.Base.Started) - int(now.Finished-t.Load.Base.Finished)
	return float64(max(n, own, 0))
}

// backlogAt returns the estimated number of prompt tokens that t has yet to
// compute.
func (t *Target) backlogAt(now Mark) float64 {
	if t.Peers.Fresh {
		return float64(int(now.Tokens-now.Prefilled) + t.Peers.Tokens)
	}
	n := t.Load.WaitingTokens
	n += int(now.Tokens-t.Load.Base.Tokens) - int(now.Prefilled-t.Load.Base.Prefilled)
	return float64(max(n, 0))
}

// queue returns the estimated time until t starts on a new request, in
// seconds.
func (t *Target) queue() float64 {
	now := t.Meter.Mark()
	var s float64
	if t.PrefillRate > 0 {
		s = t.backlogAt(now) / t.PrefillRate
	}
	if over := t.requestsAt(now) + 1 - t.Slots; over > 0 {
		s += over / t.Slots * t.Meter.Hold()
	}
	return s
}

// linkSeconds returns the time to move tokens over the tier link now, behind
// what this host has ordered over it.
func (t *Target) linkSeconds(tokens float64) float64 {
	if t.LinkRate <= 0 {
		return 0
	}
	return (tokens*t.BytesPerToken + float64(t.Meter.linkBytes.Load())) / t.LinkRate
}

// Occupancy returns the estimated number of requests at the usable targets of
// a pool, and their slots.
func Occupancy(pool []Target) (requests, slots float64) {
	for i := range pool {
		if pool[i].Usable {
			requests += pool[i].requests()
			slots += pool[i].Slots
		}
	}
	return requests, slots
}

// OccupancyWithout is Occupancy over the targets that are not excluded.
func OccupancyWithout(pool []Target, exclude []bool) (requests, slots float64) {
	for i := range pool {
		if pool[i].Usable && (i >= len(exclude) || !exclude[i]) {
			requests += pool[i].requests()
			slots += pool[i].Slots
		}
	}
	return requests, slots
}

// Reserved marks the targets that are kept for more urgent requests: as many of
// the usable ones as a share of them, rounded to the nearest, and never all.
// The first in the order of their hashes are taken, so that every host keeps
// the same ones. It returns nil if there are none.
func Reserved(pool []Target, share float64) []bool {
	var usable []int
	for i := range pool {
		if pool[i].Usable {
			usable = append(usable, i)
		}
	}
	n := min(int(share*float64(len(usable))+0.5), len(usable)-1)
	if n <= 0 {
		return nil
	}
	slices.SortFunc(usable, func(a, b int) int { return cmp.Compare(pool[a].Hash, pool[b].Hash) })
	marks := make([]bool, len(pool))
	for _, i := range usable[:n] {
		marks[i] = true
	}
	return marks
}
