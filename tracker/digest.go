// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash over the versions of all records of hosts that may be there. Hosts
// whose digests differ exchange their records.
func (h *Hosts) Digest() uint64 {
	var sum uint64
	for _, part := range h.sums {
		sum += part
	}
	return sum
}

// digest leaves out hosts that are gone: each host forgets them in its own time, and one
// that had done so was told of them again by another that had not, without end.
func (r HostRecord) digest() uint64 {
	if r.State == HostJoining || r.State == HostGone {
		return 0
	}
	x := xxhash.Sum64String(r.Host) ^ r.Incarnation*31 ^ r.Version*17 ^ uint64(severity[r.State])
	return x * 0x9e3779b97f4a7c15
}

// buckets is the number of parts into which the records of all hosts are divided by
// name, so that hosts that differ in a few exchange these only.
const buckets = 64

func (r HostRecord) bucket() int { return int(xxhash.Sum64String(r.Host) % buckets) }

// Buckets returns a digest for each part of the records.
func (h *Hosts) Buckets() []uint64 { return slices.Clone(h.sums[:]) }

// Differing returns the records of the parts for which another host has another digest.
func (h *Hosts) Differing(theirs []uint64) []HostRecord {
	ours := h.Buckets()
	if len(theirs) != len(ours) {
		return h.All() // of another version
	}
	var out []HostRecord
	for _, r := range h.All() {
		if b := r.bucket(); ours[b] != theirs[b] {
			out = append(out, r)
		}
	}
	return out
}
