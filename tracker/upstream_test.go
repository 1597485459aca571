// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/wire"
)

var now = time.Unix(1000, 0)

// TestLoadWithoutModelsNeedsKnownModels: a host that gets a digest without models for an unknown
// upstream must not take it for one that has no models.
func TestLoadWithoutModelsNeedsKnownModels(t *testing.T) {
	u := NewUpstreams(UpstreamOptions{})
	assert.Assert(t, !u.MergeLoad(now, LoadDigest{Upstream: "u", Watcher: "a", Stamp: 5, Same: true}))
	full := LoadDigest{Upstream: "u", Watcher: "b", Stamp: 1, Models: []wire.LoadedModel{{Name: "m", Version: "v"}}}
	assert.Assert(t, u.MergeLoad(now, full))
	assert.Assert(t, u.MergeLoad(now, LoadDigest{Upstream: "u", Watcher: "a", Stamp: 6, Running: 3, Same: true}))
	_, d, _ := u.Lookup("u")
	assert.Equal(t, d.Running, 3)
	assert.DeepEqual(t, d.Models, full.Models)
}

// TestLeavingIsSticky: one live report must not make a leaving upstream live, a new incarnation does.
func TestLeavingIsSticky(t *testing.T) {
	u := NewUpstreams(UpstreamOptions{})
	live := wire.LoadReport{Incarnation: 7, State: wire.LoadLive}
	u.Reported(now, "a", "u", live)
	_, changed := u.Leave("u")
	assert.Assert(t, changed)
	u.Reported(now.Add(time.Second), "a", "u", live)
	r, _, _ := u.Lookup("u")
	assert.Equal(t, r.State, UpstreamLeaving)
	u.Reported(now.Add(2*time.Second), "a", "u", wire.LoadReport{Incarnation: 8, State: wire.LoadLive})
	r, _, _ = u.Lookup("u")
	assert.Equal(t, r.State, UpstreamLive)
}

// TestListedAsLeaving: gossip from hosts that have not read the host list must not override it.
func TestListedAsLeaving(t *testing.T) {
	u := NewUpstreams(UpstreamOptions{})
	u.Listed("u", true)
	u.Merge(UpstreamRecord{Upstream: "u", Incarnation: 9, State: UpstreamLive})
	r, _, _ := u.Lookup("u")
	assert.Equal(t, r.State, UpstreamLeaving)
}

// TestRefute: a suspected host refutes the suspicion with a higher version.
func TestRefute(t *testing.T) {
	h := NewHosts(HostRecord{Host: "a", Incarnation: 1, State: HostLive}, HostOptions{SuspectAfter: time.Second})
	updates := h.Merge(now, HostRecord{Host: "a", Incarnation: 1, Version: 1, State: HostSuspect})
	assert.Equal(t, len(updates), 1)
	assert.Equal(t, updates[0].State, HostLive)
	assert.Equal(t, updates[0].Version, uint64(2))
	assert.Equal(t, len(h.Merge(now, HostRecord{Host: "a", Incarnation: 1, Version: 1, State: HostGone})), 0)
}

// TestMeshIsConnected: the graph of neighbours is connected and has a small diameter.
func TestMeshIsConnected(t *testing.T) {
	const n = 410
	names := make([]string, n)
	for i := range names {
		names[i] = "host-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
	}
	graph := make(map[string][]string)
	for _, self := range names {
		h := NewHosts(HostRecord{Host: self, State: HostLive}, HostOptions{SuspectAfter: time.Second})
		for _, o := range names {
			if o != self {
				h.Merge(now, HostRecord{Host: o, Incarnation: 1, Version: 1, State: HostLive, Peers: o})
			}
		}
		neighbours := h.Neighbours()
		assert.Equal(t, len(neighbours), 4)
		graph[self] = neighbours
	}
	depth := map[string]int{names[0]: 0}
	queue := []string{names[0]}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, o := range graph[at] {
			if _, seen := depth[o]; !seen {
				depth[o] = depth[at] + 1
				queue = append(queue, o)
			}
		}
	}
	assert.Equal(t, len(depth), n)
	deepest := 0
	for _, d := range depth {
		deepest = max(deepest, d)
	}
	assert.Assert(t, deepest <= 10, "%d hops", deepest)
}
