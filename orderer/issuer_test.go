// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package orderer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/wire"
)

var start = time.Unix(1000, 0)

// free is a number of slots that are free in every store.
type free int

// Free implements Slots.
func (f free) Free(string) int { return int(f) }

func model(version, adapter string) wire.LoadedModel {
	return wire.LoadedModel{Name: "m", Version: version, Adapter: adapter}
}

func TestTick(t *testing.T) {
	for _, c := range []struct {
		name   string
		want   Want
		slots  free
		after  time.Duration // after is the time since the lease was taken.
		orders []wire.Order
	}{
		{"loads what is missing", Want{ChecksFencing: true, Models: []wire.LoadedModel{model("v1", "")}}, 3, time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderLoad, Model: "m", Version: "v1"}}},
		{"one at a time", Want{ChecksFencing: true, Models: []wire.LoadedModel{model("v1", ""), model("v2", "")}}, 3, time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderLoad, Model: "m", Version: "v1"}}},
		{"an adapter after its model", Want{ChecksFencing: true, Models: []wire.LoadedModel{model("v1", ""), model("v1", "legal")}, Loaded: []wire.LoadedModel{model("v1", "")}}, 3, time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderLoad, Model: "m", Version: "v1", Adapter: "legal"}}},
		{"changes the role", Want{ChecksFencing: true, Role: "Prefill", HasRole: "Decode"}, 3, time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderRole, Role: "Prefill"}}},
		{"no slot", Want{ChecksFencing: true, Models: []wire.LoadedModel{model("v1", "")}}, 0, time.Second, nil},
		{"waits out the issuer before, where nobody checks", Want{Models: []wire.LoadedModel{model("v1", "")}}, 3, 4 * time.Second, nil},
		{"and then orders", Want{Models: []wire.LoadedModel{model("v1", "")}}, 3, 5 * time.Second,
			[]wire.Order{{Fencing: 7, Kind: wire.OrderLoad, Model: "m", Version: "v1"}}},
		{"keeps what is wanted", Want{ChecksFencing: true, Models: []wire.LoadedModel{model("v1", "")}, Loaded: []wire.LoadedModel{model("v1", "")}}, 3, time.Second, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := NewIssuer(Options{Lease: 3 * time.Second, LongestDelivery: 2 * time.Second, UnloadAfter: time.Minute})
			i.Hold(start, 7)
			now := start.Add(c.after)
			c.want.Upstream, c.want.Seen = "u", now
			var got []wire.Order
			for _, is := range i.Tick(now, []Want{c.want}, c.slots) {
				got = append(got, is.Order)
			}
			assert.DeepEqual(t, got, c.orders)
			assert.Equal(t, len(i.Tick(now.Add(time.Millisecond), []Want{c.want}, c.slots)), 0) // not again at once
		})
	}
}

// TestUnloadWaits for the runs that may still use the old version.
func TestUnloadWaits(t *testing.T) {
	i := NewIssuer(Options{UnloadAfter: time.Minute})
	i.Hold(start, 7)
	w := Want{Upstream: "u", ChecksFencing: true, Models: []wire.LoadedModel{model("v2", "")}, Loaded: []wire.LoadedModel{model("v1", ""), model("v2", "")}}
	tick := func(after time.Duration) []Issue {
		w.Seen = start.Add(after)
		return i.Tick(start.Add(after), []Want{w}, free(3))
	}
	assert.Equal(t, len(tick(time.Second)), 0)
	assert.Equal(t, len(tick(60*time.Second)), 0)
	got := tick(61 * time.Second)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Order.Kind, wire.OrderUnload)
	assert.Equal(t, got[0].Order.Version, "v1")
}

// TestStaleSight gives no order on what was seen before the lease was taken.
func TestStaleSight(t *testing.T) {
	i := NewIssuer(Options{})
	i.Hold(start, 7)
	w := Want{Upstream: "u", ChecksFencing: true, Models: []wire.LoadedModel{model("v1", "")}, Seen: start.Add(-time.Second)}
	assert.Equal(t, len(i.Tick(start.Add(time.Second), []Want{w}, free(3))), 0)
	i.Hold(start.Add(time.Second), 0)
	w.Seen = start.Add(2 * time.Second)
	assert.Equal(t, len(i.Tick(start.Add(2*time.Second), []Want{w}, free(3))), 0)
}
