// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package orderer

import (
	"time"

	"amaranthgate.example/amaranthgate/internal/wire"
)

// Want is what one upstream must be, and what it was last seen to be.
type Want struct {
	Upstream      string
	WeightStore   string
	ChecksFencing bool
	Models        []wire.LoadedModel // Models must be loaded.
	Role          string             // Role must be played; empty for any.

	Seen    time.Time // Seen is when it was last seen.
	Loaded  []wire.LoadedModel
	HasRole string
}

// Issue is one order on its way to an upstream.
type Issue struct {
	Upstream string
	Order    wire.Order
}

// Slots tells how many more servers of a weight store may begin to load now.
type Slots interface {
	// Free returns the number of loads that this host may begin from a store.
	Free(store string) int
}

// Options set the times of an issuer.
type Options struct {
	Lease           time.Duration // Lease is how long the issuer before may still believe in its lease.
	LongestDelivery time.Duration // LongestDelivery bounds the way of an order to an upstream.
	UnloadAfter     time.Duration // UnloadAfter is how long a version that is not wanted stays, for the runs that still use it.
	Again           time.Duration // Again is when an order without effect is repeated; default 2 s.
}

// defaultAgain is the default of Options.Again.
const defaultAgain = 2 * time.Second

// Issuer gives orders to one group of upstreams. It is a state machine.
type Issuer struct {
	opts     Options
	epoch    uint64
	since    time.Time
	sent     map[target]time.Time // sent is when each order was last given.
	unwanted map[target]time.Time // unwanted is since when a loaded version is not wanted.
}

// target names one thing that is ordered of one upstream.
type target struct {
	upstream string
	kind     wire.OrderKind
	model    string
	version  string
	adapter  string
}

// NewIssuer returns an issuer that holds nothing.
func NewIssuer(opts Options) *Issuer {
	if opts.Again == 0 {
		opts.Again = defaultAgain
	}
	return &Issuer{opts: opts, sent: make(map[target]time.Time), unwanted: make(map[target]time.Time)}
}

// SetUnloadAfter replaces the time for which unwanted versions stay.
func (i *Issuer) SetUnloadAfter(d time.Duration) { i.opts.UnloadAfter = d }

// Hold tells the issuer which lease it holds; epoch 0 means none.
func (i *Issuer) Hold(now time.Time, epoch uint64) {
	if epoch == i.epoch {
		return
	}
	i.epoch, i.since = epoch, now
	clear(i.sent)
	clear(i.unwanted)
}

// Epoch returns the epoch of the lease that is held.
func (i *Issuer) Epoch() uint64 { return i.epoch }

// MayOrder reports whether an upstream may be given orders now: at once if it
// checks fencing numbers, else when the issuer before can no longer act.
func (i *Issuer) MayOrder(now time.Time, checksFencing bool) bool {
	if i.epoch == 0 {
		return false
	}
	return checksFencing || now.Sub(i.since) >= i.opts.Lease+i.opts.LongestDelivery
}

// Tick returns the orders to give now: the difference between what upstreams
// must be and what they were seen to be since the lease was taken.
func (i *Issuer) Tick(now time.Time, wants []Want, slots Slots) []Issue {
	var out []Issue
	begun := make(map[string]int)
	for _, w := range wants {
		if !i.MayOrder(now, w.ChecksFencing) || !w.Seen.After(i.since) {
			continue
		}
		out = i.load(now, out, w, slots, begun)
		out = i.unload(now, out, w)
		if w.Role != "" && w.Role != w.HasRole {
			out = i.issue(now, out, w, wire.Order{Kind: wire.OrderRole, Role: w.Role})
		}
	}
	return out
}

// load orders what is missing, one version at a time for each upstream.
func (i *Issuer) load(now time.Time, out []Issue, w Want, slots Slots, begun map[string]int) []Issue {
	for _, m := range w.Loaded {
		if m.Loading {
			return out
		}
	}
	for _, m := range w.Models {
		if find(w.Loaded, m) {
			continue
		}
		if slots.Free(w.WeightStore)-begun[w.WeightStore] <= 0 {
			return out
		}
		n := len(out)
		out = i.issue(now, out, w, wire.Order{Kind: wire.OrderLoad, Model: m.Name, Version: m.Version, Adapter: m.Adapter})
		if len(out) > n {
			begun[w.WeightStore]++
		}
		return out
	}
	return out
}

// unload orders away what has not been wanted for long enough.
func (i *Issuer) unload(now time.Time, out []Issue, w Want) []Issue {
	for _, m := range w.Loaded {
		t := target{upstream: w.Upstream, kind: wire.OrderUnload, model: m.Name, version: m.Version, adapter: m.Adapter}
		if m.Loading || find(w.Models, m) || !replaced(w, m) {
			delete(i.unwanted, t)
			continue
		}
		since, ok := i.unwanted[t]
		if !ok {
			i.unwanted[t] = now
			continue
		}
		if now.Sub(since) >= i.opts.UnloadAfter {
			out = i.issue(now, out, w, wire.Order{Kind: wire.OrderUnload, Model: m.Name, Version: m.Version, Adapter: m.Adapter})
		}
	}
	return out
}

// replaced reports whether everything that is wanted is there, so that what is
// not wanted can go.
func replaced(w Want, m wire.LoadedModel) bool {
	for _, want := range w.Models {
		if want.Name == m.Name && !find(w.Loaded, want) {
			return false
		}
	}
	return true
}

func find(list []wire.LoadedModel, m wire.LoadedModel) bool {
	for _, o := range list {
		if o.Name == m.Name && o.Version == m.Version && o.Adapter == m.Adapter && !o.Loading {
			return true
		}
	}
	return false
}

// issue adds an order unless it was given a moment ago.
func (i *Issuer) issue(now time.Time, out []Issue, w Want, o wire.Order) []Issue {
	t := target{upstream: w.Upstream, kind: o.Kind, model: o.Model, version: o.Version, adapter: o.Adapter}
	if last, ok := i.sent[t]; ok && now.Sub(last) < i.opts.Again {
		return out
	}
	i.sent[t] = now
	o.Fencing = i.epoch
	return append(out, Issue{Upstream: w.Upstream, Order: o})
}

// Pending returns the number of loads of a store that were ordered and have not
// been seen to begin or to end.
func (i *Issuer) Pending(now time.Time, store string, wants []Want) int {
	n := 0
	for _, w := range wants {
		if w.WeightStore != store {
			continue
		}
		for _, m := range w.Models {
			t := target{upstream: w.Upstream, kind: wire.OrderLoad, model: m.Name, version: m.Version, adapter: m.Adapter}
			at, ok := i.sent[t]
			if ok && now.Sub(at) < i.opts.Again && !loadingOrLoaded(w.Loaded, m) {
				n++
			}
		}
	}
	return n
}

func loadingOrLoaded(list []wire.LoadedModel, m wire.LoadedModel) bool {
	for _, o := range list {
		if o.Name == m.Name && o.Version == m.Version && o.Adapter == m.Adapter {
			return true
		}
	}
	return false
}
