// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package orderer decides what upstreams are ordered to do: which model
// versions and adapters to load and unload and which role to play.
//
// Each upstream has one issuer, the host that holds the lease of its group. The
// fencing number of an order is the lease's epoch. Upstreams that check it
// refuse an issuer that was replaced; for those that do not, a new issuer waits
// as long as the old one could still act, and an issuer looks at its lease
// again right before it sends. Orders say what must be, not what to change, and
// may be repeated.
//
// Loading weights needs a slot of the weight store. Slots are leases, so that
// no more servers load at once than the store can feed, whoever issues.
//
// # Usage
//
//	i := orderer.NewIssuer(orderer.Options{...})
//	i.Hold(now, epoch)
//	for _, is := range i.Tick(now, wants, slots) { ... send is.Order to is.Upstream ... }
//
// All of it is free of I/O and clocks.
package orderer
