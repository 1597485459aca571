// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package issuer decides which orders upstreams get: to load and unload model
// versions and adapters, and to change roles.
//
// Each upstream has one issuer, the host that holds the lease of its group. The
// fencing number of an order is the epoch of that lease. Upstreams that check it
// reject orders of earlier issuers. For those that do not, a new issuer waits
// until the orders of the previous one can no longer arrive, and an issuer checks
// its lease again just before it sends. Orders are idempotent.
//
// Loading weights requires a slot of the weight store. Slots are leases, so that
// the number of concurrent loads is bounded over all issuers.
//
// # Usage
//
//	i := issuer.NewIssuer(issuer.Options{...})
//	i.SetEpoch(now, epoch)
//	for _, o := range i.Tick(now, states, slots) { ... send o.Order to o.Upstream ... }
//
// The package does no I/O and reads no clock.
package issuer
