// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash over the versions of the records of all hosts that are not joining or gone.
// Hosts whose digests differ exchange their records.
func (h *Hosts) Digest() uint64 {
	var sum uint64
	for _, part := range h.bucketDigests {
		sum += part
	}
	return sum
}

// digest is 0 for gone hosts: hosts remove such records at different times, and their digests must
// not differ meanwhile. It is 0 for joining hosts as well, which are known from the host list only.
func (r HostRecord) digest() uint64 {
	if r.State == HostJoining || r.State == HostGone {
		return 0
	}
	x := xxhash.Sum64String(r.Host) ^ r.Incarnation*31 ^ r.Version*17 ^ uint64(hostSeverity[r.State])
	return x * 0x9e3779b97f4a7c15
}

// bucketCount is the number of buckets by hash of the name, so that hosts whose views differ in a few
// records exchange only the buckets with these.
const bucketCount = 64

func (r HostRecord) bucket() int { return int(xxhash.Sum64String(r.Host) % bucketCount) }

// Buckets returns the digest of each bucket of records.
func (h *Hosts) Buckets() []uint64 { return slices.Clone(h.bucketDigests[:]) }

// Differing returns the records of the buckets whose digests differ from those of another host.
func (h *Hosts) Differing(theirs []uint64) []HostRecord {
	ours := h.Buckets()
	if len(theirs) != len(ours) {
		return h.Told() // the peer runs another version
	}
	var out []HostRecord
	for _, r := range h.Told() {
		if b := r.bucket(); ours[b] != theirs[b] {
			out = append(out, r)
		}
	}
	return out
}
