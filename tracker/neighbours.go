// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"math"
	"slices"
)

// Neighbours returns the hosts that this one keeps connections to: all in a small fleet; else its
// successors on a hash ring, which keep the graph connected, and some hosts chosen by rendezvous
// hashing, which keep its diameter small. Hosts that serve callers are also neighbours of each other.
// The caller must not change the slice.
func (h *Hosts) Neighbours() []string {
	if h.neighbourCache == nil {
		h.neighbourCache = h.computeNeighbours()
	}
	return h.neighbourCache
}

func (h *Hosts) computeNeighbours() []string {
	var candidates []*hostEntry
	for _, e := range h.records {
		if e.record.State != HostGone && e.record.Peers != "" {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) < h.opts.FullMesh {
		h.neighbourBounds = unbounded
		return names(candidates)
	}
	successors, rest := smallest(candidates, h.opts.Neighbours/2, func(e *hostEntry) uint64 { return e.distance })
	nearest, rest := smallest(rest, h.opts.Neighbours-len(successors), func(e *hostEntry) uint64 { return e.order })
	selected := append(names(successors), names(nearest)...)
	h.neighbourBounds = bounds{distance: successors[len(successors)-1].distance, order: nearest[len(nearest)-1].order}
	if !h.active[h.self.Host] {
		return selected
	}
	for _, e := range rest {
		if h.active[e.record.Host] {
			selected = append(selected, e.record.Host)
		}
	}
	return selected
}

// bounds holds the ring distance and rendezvous order of the last neighbours. A new host beyond both
// is no neighbour, so that the neighbours need not be computed again.
type bounds struct{ distance, order uint64 }

// unbounded admits any host.
var unbounded = bounds{distance: math.MaxUint64, order: math.MaxUint64}

func (e bounds) admit(o *hostEntry) bool { return o.distance <= e.distance || o.order <= e.order }

// smallest splits entries into the n with the smallest keys, sorted, and the others. It reorders
// entries.
func smallest(entries []*hostEntry, n int, key func(*hostEntry) uint64) (chosen, rest []*hostEntry) {
	n = min(n, len(entries))
	for i := range n {
		for j := i + 1; j < len(entries); j++ {
			if key(entries[j]) < key(entries[i]) {
				entries[i], entries[j] = entries[j], entries[i]
			}
		}
	}
	return entries[:n], entries[n:]
}

func names(entries []*hostEntry) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.record.Host)
	}
	slices.Sort(out)
	return out
}
