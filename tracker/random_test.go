// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/internal/seeder"
)

func init() { seeder.Fix() }

// TestRandomHosts: the caches, digests and sets that are updated incrementally always equal those
// computed from all records.
func TestRandomHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1000, 0)
		h := NewHosts(HostRecord{Host: "host-0", Incarnation: 1, State: HostLive, Peers: "host-0"}, HostOptions{SuspectAfter: time.Second, ForgetAfter: 10 * time.Second})
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint("host-", rapid.IntRange(0, 40).Draw(t, "host"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				h.Tick(at)
			case 1:
				h.SetActive(at, map[string]bool{"host-0": true, name: true})
			case 3:
				h.RecordContact(at, name)
			case 2:
				h.UpdateSelf(func(r *HostRecord) { r.Ready = !r.Ready })
			default:
				state := rapid.SampledFrom([]HostState{HostLive, HostLive, HostLive, HostSuspect, HostLeaving, HostGone}).Draw(t, "state")
				h.Merge(at, HostRecord{Host: name, Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "life")), Version: 1, State: state, Peers: name})
			}
			assertConsistent(t, h)
		}
	})
}

func assertConsistent(t *rapid.T, h *Hosts) {
	all := h.All()
	assert.Equal(t, len(all), len(h.records)+1)
	assert.Assert(t, slices.IsSortedFunc(all, func(a, b HostRecord) int { return strings.Compare(a.Host, b.Host) }))
	var sums [bucketCount]uint64
	for _, r := range h.Told() {
		sums[r.bucket()] += r.digest()
	}
	for _, r := range all {
		known, _ := h.Lookup(r.Host)
		assert.Equal(t, known, r)
		unhealthy := r.State != HostLive && r.State != HostLeaving && r.Host != h.self.Host
		assert.Equal(t, h.unhealthy[r.Host], unhealthy)
	}
	assert.Equal(t, sums, h.bucketDigests)
	assert.DeepEqual(t, slices.Clone(h.Neighbours()), h.computeNeighbours())
}
