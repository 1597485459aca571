// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package issuer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/wire"
)

var start = time.Unix(1000, 0)

// freeSlots is the number of free slots of every store.
type freeSlots int

// Free implements Slots.
func (f freeSlots) Free(string) int { return int(f) }

func model(version, adapter string) wire.LoadedModel {
	return wire.LoadedModel{Name: "m", Version: version, Adapter: adapter}
}

func TestTick(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   UpstreamState
		slots  freeSlots
		after  time.Duration // after is the time since the lease was acquired.
		orders []wire.Order
	}{
		{"loads a missing version", UpstreamState{ChecksFencing: true, WantModels: []wire.LoadedModel{model("v1", "")}}, 3, time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderLoad, Model: "m", Version: "v1"}}},
		{"one at a time", UpstreamState{ChecksFencing: true, WantModels: []wire.LoadedModel{model("v1", ""), model("v2", "")}}, 3, time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderLoad, Model: "m", Version: "v1"}}},
		{"an adapter after its model", UpstreamState{ChecksFencing: true, WantModels: []wire.LoadedModel{model("v1", ""), model("v1", "legal")}, Loaded: []wire.LoadedModel{model("v1", "")}}, 3, time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderLoad, Model: "m", Version: "v1", Adapter: "legal"}}},
		{"changes the role", UpstreamState{ChecksFencing: true, WantRole: "Prefill", Role: "Decode"}, 3, time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderRole, Role: "Prefill"}}},
		{"no slot", UpstreamState{ChecksFencing: true, WantModels: []wire.LoadedModel{model("v1", "")}}, 0, time.Second, nil},
		{"waits for the previous issuer without fencing checks", UpstreamState{WantModels: []wire.LoadedModel{model("v1", "")}}, 3, 4 * time.Second, nil},
		{"orders after the wait without fencing checks", UpstreamState{WantModels: []wire.LoadedModel{model("v1", "")}}, 3, 5 * time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderLoad, Model: "m", Version: "v1"}}},
		{"keeps a wanted version", UpstreamState{ChecksFencing: true, WantModels: []wire.LoadedModel{model("v1", "")}, Loaded: []wire.LoadedModel{model("v1", "")}}, 3, time.Second, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := NewIssuer(Options{Lease: 3 * time.Second, DeliveryTimeout: 2 * time.Second, UnloadDelay: time.Minute})
			i.SetEpoch(start, 7)
			now := start.Add(c.after)
			c.want.Upstream, c.want.ObservedAt = "u", now
			var got []wire.Order
			for _, o := range i.Tick(now, []UpstreamState{c.want}, c.slots) {
				got = append(got, o.Order)
			}
			assert.DeepEqual(t, got, c.orders)
			assert.Equal(t, len(i.Tick(now.Add(time.Millisecond), []UpstreamState{c.want}, c.slots)), 0) // not within the retry interval
		})
	}
}

// TestUnloadWaits checks that a version stays loaded while requests may still use it.
func TestUnloadWaits(t *testing.T) {
	i := NewIssuer(Options{UnloadDelay: time.Minute})
	i.SetEpoch(start, 7)
	s := UpstreamState{Upstream: "u", ChecksFencing: true, WantModels: []wire.LoadedModel{model("v2", "")}, Loaded: []wire.LoadedModel{model("v1", ""), model("v2", "")}}
	tick := func(after time.Duration) []AddressedOrder {
		s.ObservedAt = start.Add(after)
		return i.Tick(start.Add(after), []UpstreamState{s}, freeSlots(3))
	}
	assert.Equal(t, len(tick(time.Second)), 0)
	assert.Equal(t, len(tick(60*time.Second)), 0)
	got := tick(61 * time.Second)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Order.Kind, wire.OrderUnload)
	assert.Equal(t, got[0].Order.Version, "v1")
}

// TestIgnoresStateBeforeLease checks that a state observed before the lease was
// acquired leads to no order.
func TestIgnoresStateBeforeLease(t *testing.T) {
	i := NewIssuer(Options{})
	i.SetEpoch(start, 7)
	s := UpstreamState{Upstream: "u", ChecksFencing: true, WantModels: []wire.LoadedModel{model("v1", "")}, ObservedAt: start.Add(-time.Second)}
	assert.Equal(t, len(i.Tick(start.Add(time.Second), []UpstreamState{s}, freeSlots(3))), 0)
	i.SetEpoch(start.Add(time.Second), 0)
	s.ObservedAt = start.Add(2 * time.Second)
	assert.Equal(t, len(i.Tick(start.Add(2*time.Second), []UpstreamState{s}, freeSlots(3))), 0)
}
