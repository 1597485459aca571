// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"math"
	"time"
)

// pendingSave is a part that was sent to a store and is not yet reported as held.
type pendingSave struct {
	tokens int
	at     time.Time
}

const (
	// pendingSaveTimeout is how long a save counts as pending. Some saves are never reported.
	// Stores report the others after 60 ms.
	pendingSaveTimeout = 3 * time.Second
	// maxFillShare is the share of a store's capacity that is filled; other hosts' pending saves
	// are not known.
	maxFillShare = 0.97
)

// saveTarget returns the store that a part is to be saved to, or nil if one holds it, a save of it
// is pending, or none has room. All hosts choose alike, by rendezvous hashing weighted by the
// stores' link rates and free room. By room alone, stores with 28 Gbit/s got 83 of 100 parts beside
// some with 71 Gbit/s, and requests waited for their links. wait reports that a store takes none yet, as fetches may
// still rest on what it held before.
func (p *Placer) saveTarget(now time.Time, req *PlacementRequest, name PartName, tokens int) (best *store, wait bool) {
	var maxWeight float64
	for _, st := range p.stores {
		if s, ok := st.pendingSaves[name]; ok && now.Sub(s.at) < pendingSaveTimeout {
			return nil, false
		}
		if st.held[name] > 0 {
			return nil, false
		}
		if !p.allowedIn(req, st.service.AvailabilityZone) {
			continue
		}
		if !st.up || st.evacuated || !st.hasRoom(now, tokens) {
			continue
		}
		if !p.savable(now, st, name) {
			wait = true
			continue
		}
		weight := weightedRank(rendezvous(keyOf(name), st.hash), st.weight())
		if best == nil || weight > maxWeight {
			best, maxWeight = st, weight
		}
	}
	return best, wait && best == nil
}

// weightedRank scales a rank so that each candidate wins in proportion to its weight.
func weightedRank(rank uint64, weight float64) float64 {
	draw := (float64(rank>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(draw)
}

// weight returns the weight of a store among those with room: its link rate times its free share,
// since nearly full stores lose saves of other hosts. Stores without a link rate have the same
// rate.
func (st *store) weight() float64 {
	free := 1 - float64(st.used)/float64(max(st.service.CapacityTokens, 1))
	return max(st.service.LinkMbps, 1) * free
}

// hasRoom reports whether a part fits beside this host's pending saves.
func (st *store) hasRoom(now time.Time, tokens int) bool {
	used := st.used
	for name, s := range st.pendingSaves {
		if now.Sub(s.at) > pendingSaveTimeout {
			delete(st.pendingSaves, name)
			continue
		}
		used += s.tokens
	}
	return float64(used+tokens) < maxFillShare*float64(st.service.CapacityTokens)
}
