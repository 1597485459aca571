// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package issuer

import (
	"time"

	"amaranthgate.example/amaranthgate/internal/wire"
)

// UpstreamState is the desired and the last observed state of an upstream.
type UpstreamState struct {
	Upstream      string
	WeightStore   string
	ChecksFencing bool
	WantModels    []wire.LoadedModel // WantModels are the versions and adapters to load.
	WantRole      string             // WantRole is the role to assume; empty for any.

	ObservedAt time.Time // ObservedAt is the time of the last load report.
	Loaded     []wire.LoadedModel
	Role       string
}

// AddressedOrder is an order with the upstream that gets it.
type AddressedOrder struct {
	Upstream string
	Order    wire.Order
}

// Slots limits concurrent loads from weight stores.
type Slots interface {
	// Free returns the number of loads from a store that this host may start now.
	Free(store string) int
}

// Options configure an issuer.
type Options struct {
	Lease           time.Duration // Lease bounds how long the previous issuer may act on its lease.
	DeliveryTimeout time.Duration // DeliveryTimeout bounds the delivery of an order to an upstream.
	UnloadDelay     time.Duration // UnloadDelay is how long an unwanted version stays for running requests.
	RetryInterval   time.Duration // RetryInterval is the time until an order is repeated; default 2 s.
}

const defaultRetryInterval = 2 * time.Second

// Issuer issues orders to one group of upstreams. It is a state machine.
type Issuer struct {
	opts          Options
	epoch         uint64
	acquiredAt    time.Time
	sentAt        map[orderKey]time.Time // sentAt is when each order was last issued.
	unwantedSince map[orderKey]time.Time // unwantedSince is since when a loaded version has been unwanted.
}

// orderKey identifies an order to an upstream, without its fencing number.
type orderKey struct {
	upstream string
	kind     wire.OrderKind
	model    string
	version  string
	adapter  string
}

// NewIssuer returns an issuer that holds no lease.
func NewIssuer(opts Options) *Issuer {
	if opts.RetryInterval == 0 {
		opts.RetryInterval = defaultRetryInterval
	}
	return &Issuer{opts: opts, sentAt: make(map[orderKey]time.Time), unwantedSince: make(map[orderKey]time.Time)}
}

// SetUnloadDelay replaces Options.UnloadDelay.
func (i *Issuer) SetUnloadDelay(d time.Duration) { i.opts.UnloadDelay = d }

// SetEpoch sets the epoch of the lease that the issuer holds; 0 means none.
func (i *Issuer) SetEpoch(now time.Time, epoch uint64) {
	if epoch == i.epoch {
		return
	}
	i.epoch, i.acquiredAt = epoch, now
	clear(i.sentAt)
	clear(i.unwantedSince)
}

// Epoch returns the epoch of the lease that is held.
func (i *Issuer) Epoch() uint64 { return i.epoch }

// MayOrder reports whether an upstream may get orders now: at once if it checks
// fencing numbers, else when orders of the previous issuer can no longer arrive.
func (i *Issuer) MayOrder(now time.Time, checksFencing bool) bool {
	if i.epoch == 0 {
		return false
	}
	return checksFencing || now.Sub(i.acquiredAt) >= i.opts.Lease+i.opts.DeliveryTimeout
}

// Tick returns the orders to send now, from the difference between the desired
// and the observed state of upstreams. States observed before the lease was
// acquired are ignored.
func (i *Issuer) Tick(now time.Time, states []UpstreamState, slots Slots) []AddressedOrder {
	var out []AddressedOrder
	started := make(map[string]int)
	for _, s := range states {
		if !i.MayOrder(now, s.ChecksFencing) || !s.ObservedAt.After(i.acquiredAt) {
			continue
		}
		out = i.load(now, out, s, slots, started)
		out = i.unload(now, out, s)
		if s.WantRole != "" && s.WantRole != s.Role {
			out = i.appendOrder(now, out, s, wire.Order{Kind: wire.OrderRole, Role: s.WantRole})
		}
	}
	return out
}

// load orders missing versions and adapters, one at a time for each upstream.
func (i *Issuer) load(now time.Time, out []AddressedOrder, s UpstreamState, slots Slots, started map[string]int) []AddressedOrder {
	for _, m := range s.Loaded {
		if m.Loading {
			return out
		}
	}
	for _, m := range s.WantModels {
		if contains(s.Loaded, m) {
			continue
		}
		if slots.Free(s.WeightStore)-started[s.WeightStore] <= 0 {
			return out
		}
		n := len(out)
		out = i.appendOrder(now, out, s, wire.Order{Kind: wire.OrderLoad, Model: m.Name, Version: m.Version, Adapter: m.Adapter})
		if len(out) > n {
			started[s.WeightStore]++
		}
		return out
	}
	return out
}

// unload orders the unloading of what has been unwanted for UnloadDelay.
func (i *Issuer) unload(now time.Time, out []AddressedOrder, s UpstreamState) []AddressedOrder {
	for _, m := range s.Loaded {
		k := orderKey{upstream: s.Upstream, kind: wire.OrderUnload, model: m.Name, version: m.Version, adapter: m.Adapter}
		if m.Loading || contains(s.WantModels, m) || !replacementsLoaded(s, m) {
			delete(i.unwantedSince, k)
			continue
		}
		since, ok := i.unwantedSince[k]
		if !ok {
			i.unwantedSince[k] = now
			continue
		}
		if now.Sub(since) >= i.opts.UnloadDelay {
			out = i.appendOrder(now, out, s, wire.Order{Kind: wire.OrderUnload, Model: m.Name, Version: m.Version, Adapter: m.Adapter})
		}
	}
	return out
}

// replacementsLoaded reports whether all wanted versions and adapters of m's model
// are loaded.
func replacementsLoaded(s UpstreamState, m wire.LoadedModel) bool {
	for _, want := range s.WantModels {
		if want.Name == m.Name && !contains(s.Loaded, want) {
			return false
		}
	}
	return true
}

// contains reports whether m is in the list and not loading.
func contains(list []wire.LoadedModel, m wire.LoadedModel) bool {
	for _, o := range list {
		if o.Name == m.Name && o.Version == m.Version && o.Adapter == m.Adapter && !o.Loading {
			return true
		}
	}
	return false
}

// appendOrder adds an order unless it was issued within the retry interval.
func (i *Issuer) appendOrder(now time.Time, out []AddressedOrder, s UpstreamState, o wire.Order) []AddressedOrder {
	k := orderKey{upstream: s.Upstream, kind: o.Kind, model: o.Model, version: o.Version, adapter: o.Adapter}
	if last, ok := i.sentAt[k]; ok && now.Sub(last) < i.opts.RetryInterval {
		return out
	}
	i.sentAt[k] = now
	o.Fencing = i.epoch
	return append(out, AddressedOrder{Upstream: s.Upstream, Order: o})
}

// PendingLoads returns the number of loads from a store that were ordered within the
// retry interval and have not been observed to start or end.
func (i *Issuer) PendingLoads(now time.Time, store string, states []UpstreamState) int {
	n := 0
	for _, s := range states {
		if s.WeightStore != store {
			continue
		}
		for _, m := range s.WantModels {
			k := orderKey{upstream: s.Upstream, kind: wire.OrderLoad, model: m.Name, version: m.Version, adapter: m.Adapter}
			at, ok := i.sentAt[k]
			if ok && now.Sub(at) < i.opts.RetryInterval && !loadingOrLoaded(s.Loaded, m) {
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
