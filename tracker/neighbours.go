// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"math"
	"slices"
)

// Neighbours returns the hosts that this one keeps connections to: all of them
// in a small system, else its successors on a ring by hash, which keeps the
// graph connected, and some picks by rendezvous, which keep it shallow. A host that
// serves callers keeps connections to all others that do as well.
func (h *Hosts) Neighbours() []string {
	if h.near == nil {
		h.near = h.neighbours()
	}
	return h.near
}

func (h *Hosts) neighbours() []string {
	var there []*hostEntry
	for _, e := range h.records {
		if e.record.State != HostGone && e.record.Peers != "" {
			there = append(there, e)
		}
	}
	if len(there) < h.opts.FullMesh {
		h.edge = widest
		return names(there)
	}
	ring, rest := first(there, h.opts.Neighbours/2, func(e *hostEntry) uint64 { return e.ring })
	picks, rest := first(rest, h.opts.Neighbours-len(ring), func(e *hostEntry) uint64 { return e.pick })
	near := append(names(ring), names(picks)...)
	h.edge = edge{ring: ring[len(ring)-1].ring, pick: picks[len(picks)-1].pick}
	if !h.active[h.self.Host] {
		return near
	}
	for _, e := range rest {
		if h.active[e.record.Host] {
			near = append(near, e.record.Host)
		}
	}
	return near
}

// edge is how far the last neighbour is away, on the ring and by rendezvous. A host beyond it is
// none: each of 985 hosts that is news need not be weighed against all others.
type edge struct{ ring, pick uint64 }

// widest lets any host be a neighbour.
var widest = edge{ring: math.MaxUint64, pick: math.MaxUint64}

func (e edge) reaches(o *hostEntry) bool { return o.ring <= e.ring || o.pick <= e.pick }

// first divides entries into the n with the least keys, in order, and the others.
func first(entries []*hostEntry, n int, key func(*hostEntry) uint64) (chosen, rest []*hostEntry) {
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
