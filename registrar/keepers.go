// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package registrar

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is another host.
type Host struct {
	Name             string
	Address          string // Address is where other hosts connect to it.
	AvailabilityZone string
	Keeps            bool // Keeps reports whether it gets records of streams that begin; all hosts ask for records.
	// Kept reports that it may have got records before: it is about to end, or suspected to have ended.
	Kept bool
}

// maxKeepers bounds the hosts that keep records of others, and with them the connections of each host.
const maxKeepers = 96

// sourcesPerZone is the number of hosts of an availability zone that are asked for a record. The host that
// recorded it passed over itself, so that a keeper may be the second.
const sourcesPerZone = 2

// keeper is a Host with the hash of its name.
type keeper struct {
	Host
	hash uint64
}

// rank returns the rendezvous weight of a keeper for a stream.
func (k *keeper) rank(key uint64) uint64 {
	x := k.hash ^ key
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// keepers are hosts that keep records, other than this one.
type keepers []keeper

func newKeepers(self string, hosts []Host, keeps func(h *Host) bool) keepers {
	var out keepers
	for _, h := range hosts {
		if h.Name != self && keeps(&h) {
			out = append(out, keeper{Host: h, hash: xxhash.Sum64String(h.Name)})
		}
	}
	if len(out) > maxKeepers {
		slices.SortFunc(out, func(a, b keeper) int { return cmp.Compare(a.hash, b.hash) })
		out = out[:maxKeepers]
	}
	return out
}

// of returns the keepers of a stream that begins at this host: the first in rendezvous order, and the first
// of another availability zone, or else the second.
func (k keepers) of(key Key) (out []string) {
	first := k.best(key.hash(), func(*keeper) bool { return true })
	if first == nil {
		return nil
	}
	second := k.best(key.hash(), func(c *keeper) bool { return c.AvailabilityZone != first.AvailabilityZone })
	if second == nil {
		second = k.best(key.hash(), func(c *keeper) bool { return c != first })
	}
	if second == nil {
		return []string{first.Name}
	}
	return []string{first.Name, second.Name}
}

// best returns the keeper that comes first for a stream among those that are admitted; nil if there is none.
func (k keepers) best(key uint64, admits func(c *keeper) bool) *keeper {
	var best *keeper
	var most uint64
	for i := range k {
		c := &k[i]
		if r := c.rank(key); admits(c) && (best == nil || r > most) {
			best, most = c, r
		}
	}
	return best
}

// sources returns the hosts to ask for a stream that began at another host.
func (k keepers) sources(key Key) []string {
	sorted := slices.Clone(k)
	slices.SortFunc(sorted, func(a, b keeper) int { return cmp.Compare(b.rank(key.hash()), a.rank(key.hash())) })
	var out []string
	asked := make(map[string]int)
	for _, c := range sorted {
		if asked[c.AvailabilityZone] < sourcesPerZone {
			asked[c.AvailabilityZone]++
			out = append(out, c.Name)
		}
	}
	return out
}
