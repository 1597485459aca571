// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package leaser implements leases on the platform's log. A Table holds the state of all
// leases; a Holder decides for one host when to acquire, renew and release them.
//
// The epoch of a lease is the offset of its Acquire entry plus one and serves as fencing
// number. Acquire names the epoch and the number of renewals that it replaces, so that a
// renewal that is appended first invalidates it.
//
// A contender waits for the lease duration after it read the last change of a lease. The
// holder counts the duration from before it sent its entry, less a margin. The holder
// therefore stops before another host begins, provided that their clocks run at nearly the
// same rate; the clocks need not agree.
//
// # Usage
//
//	table := leaser.NewTable()
//	h := leaser.NewHolder("host-1#17", table, leaser.Options{Duration: 3 * time.Second})
//	entries := h.Tick(now, wanted) // entries to append
//	h.Applied(now, record)         // after table has applied the record
//	if epoch, ok := h.Valid(now, "Orders-store-1"); ok { ... }
package leaser
