// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newFleet returns the view of host-0 of a fleet of n hosts.
func newFleet(now time.Time, n int) *Hosts {
	h := NewHosts(HostRecord{Host: "host-0", Incarnation: 1, State: HostLive, Peers: "host-0"}, HostOptions{SuspectAfter: time.Second, SuspectStandbyAfter: 4 * time.Second})
	for i := 1; i < n; i++ {
		name := fmt.Sprintf("host-%d", i)
		h.Merge(now, HostRecord{Host: name, Incarnation: 1, State: HostLive, Peers: name})
	}
	return h
}

// TestActiveHostsAreNeighbours: an active host is a neighbour of all other active hosts, besides its
// neighbours by hash; a standby has only the latter.
func TestActiveHostsAreNeighbours(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newFleet(now, 100)
	assert.Equal(t, len(h.Neighbours()), 4)
	active := map[string]bool{"host-0": true, "host-7": true, "host-8": true, "host-9": true}
	h.SetActive(now, active)
	for name := range active {
		assert.Equal(t, slices.Contains(h.Neighbours(), name), name != "host-0", name)
		assert.Assert(t, h.FrequentHeartbeats(name))
	}
	assert.Assert(t, !h.FrequentHeartbeats("host-50"))
	h.SetActive(now, map[string]bool{"host-7": true})
	assert.Equal(t, len(h.Neighbours()), 4)
	assert.Assert(t, !h.FrequentHeartbeats("host-7"))
}

// TestSilentActiveHostIsSuspectedSooner: active hosts suspect a silent active host after the short
// timeout, counted from the end of its activation grace period, and a silent standby after the long one.
func TestSilentActiveHostIsSuspectedSooner(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newFleet(now, 40)
	h.SetActive(now, map[string]bool{"host-0": true, "host-7": true})
	standby := h.Neighbours()[0]
	if standby == "host-7" {
		standby = h.Neighbours()[1]
	}
	suspected := make(map[string]time.Duration)
	for since := time.Duration(0); since < 6*time.Second; since += 100 * time.Millisecond {
		changed, _ := h.Tick(now.Add(since))
		for _, r := range changed {
			if _, before := suspected[r.Host]; !before {
				suspected[r.Host] = since
			}
		}
	}
	assert.Equal(t, suspected["host-7"], activationGracePeriod+1100*time.Millisecond)
	assert.Equal(t, suspected[standby], 4100*time.Millisecond)
}

// TestDifferingBuckets: hosts whose views differ in one record exchange only its bucket.
func TestDifferingBuckets(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newFleet(now, 300), newFleet(now, 300)
	assert.Equal(t, len(a.Differing(b.Buckets())), 0)
	changed, _ := b.Lookup("host-77")
	changed.Version++
	b.Merge(now, changed)
	differing := b.Differing(a.Buckets())
	assert.Assert(t, len(differing) < 30, "%d records", len(differing))
	assert.Assert(t, slices.Contains(differing, changed))
}
