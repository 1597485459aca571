// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import "slices"

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
		return names(there)
	}
	ring, rest := first(there, h.opts.Neighbours/2, func(e *hostEntry) uint64 { return e.ring })
	picks, rest := first(rest, h.opts.Neighbours-len(ring), func(e *hostEntry) uint64 { return e.pick })
	near := append(names(ring), names(picks)...)
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
