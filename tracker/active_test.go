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

// fleet returns the view of host-0 on a fleet of n hosts.
func fleet(now time.Time, n int) *Hosts {
	h := NewHosts(HostRecord{Host: "host-0", Incarnation: 1, State: HostLive, Peers: "host-0"}, HostOptions{Suspect: time.Second, SuspectStandby: 4 * time.Second})
	for i := 1; i < n; i++ {
		name := fmt.Sprintf("host-%d", i)
		h.Merge(now, HostRecord{Host: name, Incarnation: 1, State: HostLive, Peers: name})
	}
	return h
}

// TestActiveHostsAreNeighbours: an active host keeps connections to all others that are
// active, besides those that keep the fleet connected; a standby only to the latter.
func TestActiveHostsAreNeighbours(t *testing.T) {
	now := time.Unix(1000, 0)
	h := fleet(now, 100)
	assert.Equal(t, len(h.Neighbours()), 4)
	active := map[string]bool{"host-0": true, "host-7": true, "host-8": true, "host-9": true}
	h.SetActive(now, active)
	for name := range active {
		assert.Equal(t, slices.Contains(h.Neighbours(), name), name != "host-0", name)
		assert.Assert(t, h.Prompt(name))
	}
	assert.Assert(t, !h.Prompt("host-50"))
	h.SetActive(now, map[string]bool{"host-7": true})
	assert.Equal(t, len(h.Neighbours()), 4)
	assert.Assert(t, !h.Prompt("host-7"))
}

// TestSilentActiveHostIsNoticedSooner: a silent active host is suspected after the short
// time by other active ones, counted from when it may have heard of them, and a silent
// standby after the long one.
func TestSilentActiveHostIsNoticedSooner(t *testing.T) {
	now := time.Unix(1000, 0)
	h := fleet(now, 40)
	h.SetActive(now, map[string]bool{"host-0": true, "host-7": true})
	standby := h.Neighbours()[0]
	if standby == "host-7" {
		standby = h.Neighbours()[1]
	}
	suspected := make(map[string]time.Duration)
	for since := time.Duration(0); since < 6*time.Second; since += 100 * time.Millisecond {
		for _, r := range h.Tick(now.Add(since)) {
			if _, before := suspected[r.Host]; !before {
				suspected[r.Host] = since
			}
		}
	}
	assert.Equal(t, suspected["host-7"], introduction+1100*time.Millisecond)
	assert.Equal(t, suspected[standby], 4100*time.Millisecond)
}

// TestDifferingParts: hosts whose views differ in one record exchange a small part of
// all records, and it has that one.
func TestDifferingParts(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := fleet(now, 300), fleet(now, 300)
	assert.Equal(t, len(a.Differing(b.Buckets())), 0)
	changed, _ := b.Lookup("host-77")
	changed.Version++
	b.Merge(now, changed)
	part := b.Differing(a.Buckets())
	assert.Assert(t, len(part) < 30, "%d records", len(part))
	assert.Assert(t, slices.Contains(part, changed))
}
