// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package router

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Load is the last load report of an upstream.
type Load struct {
	Running       int
	Waiting       int
	WaitingTokens int
	Base          Mark // Base is the reading of this host's meter when the report was requested.
}

// PeerLoad is what the other hosts have in flight at an upstream.
type PeerLoad struct {
	Fresh    bool // Fresh reports whether the counts of all live hosts are recent.
	Requests int
	Tokens   int // Tokens is the number of prompt tokens not yet prefilled.
}

// Target is an upstream as a candidate for routing.
type Target struct {
	Name          string
	Hash          uint64  // Hash is NameHash of Name.
	Usable        bool    // Usable is false for upstreams that are leaving, down or without the version.
	Near          bool    // Near reports whether it is in this host's availability zone.
	Slots         float64 // Slots is the number of requests that it runs concurrently.
	PrefillRate   float64 // PrefillRate is in tokens per second; 0 for plain services.
	LinkRate      float64 // LinkRate is in bytes per second.
	BytesPerToken float64
	Load          Load
	Peers         PeerLoad
	Meter         *Meter
}

// NameHash returns the hash of a name for rendezvous hashing.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// estimatedRequests returns the estimated number of requests at t: the counts of
// all hosts if they are fresh, else the last load report corrected by what this
// host has sent since.
func (t *Target) estimatedRequests() float64 { return t.estimatedRequestsAt(t.Meter.Mark()) }

func (t *Target) estimatedRequestsAt(now Mark) float64 {
	own := int(now.Started - now.Finished)
	if t.Peers.Fresh {
		return float64(own + t.Peers.Requests)
	}
	n := t.Load.Running + t.Load.Waiting
	n += int(now.Started-t.Load.Base.Started) - int(now.Finished-t.Load.Base.Finished)
	return float64(max(n, own, 0))
}

// estimatedBacklogAt returns the estimated number of prompt tokens that t has yet
// to prefill.
func (t *Target) estimatedBacklogAt(now Mark) float64 {
	if t.Peers.Fresh {
		return float64(int(now.Tokens-now.Prefilled) + t.Peers.Tokens)
	}
	n := t.Load.WaitingTokens
	n += int(now.Tokens-t.Load.Base.Tokens) - int(now.Prefilled-t.Load.Base.Prefilled)
	return float64(max(n, 0))
}

// queueSeconds returns the estimated time in seconds until t starts a new request.
func (t *Target) queueSeconds() float64 {
	now := t.Meter.Mark()
	var s float64
	if t.PrefillRate > 0 {
		s = t.estimatedBacklogAt(now) / t.PrefillRate
	}
	if over := t.estimatedRequestsAt(now) + 1 - t.Slots; over > 0 {
		s += over / t.Slots * t.Meter.MeanSeconds()
	}
	return s
}

// linkSeconds returns the time in seconds to move tokens over the tier link, after
// the bytes that this host has pending on it.
func (t *Target) linkSeconds(tokens float64) float64 {
	if t.LinkRate <= 0 {
		return 0
	}
	return (tokens*t.BytesPerToken + float64(t.Meter.linkBytes.Load())) / t.LinkRate
}

// Occupancy returns the estimated number of requests at the usable targets of a
// pool, and the number of their slots.
func Occupancy(pool []Target) (requests, slots float64) {
	for i := range pool {
		if pool[i].Usable {
			requests += pool[i].estimatedRequests()
			slots += pool[i].Slots
		}
	}
	return requests, slots
}

// OccupancyWithout is like Occupancy, without the excluded targets.
func OccupancyWithout(pool []Target, exclude []bool) (requests, slots float64) {
	for i := range pool {
		if pool[i].Usable && (i >= len(exclude) || !exclude[i]) {
			requests += pool[i].estimatedRequests()
			slots += pool[i].Slots
		}
	}
	return requests, slots
}

// Reserved marks a share of the usable targets, rounded to the nearest number and
// never all of them, as reserved for more urgent requests. Targets are taken in the
// order of their hashes, so that all hosts reserve the same ones. It returns nil if
// there are none.
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
