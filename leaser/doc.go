// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package leaser folds leases from the platform's log and decides for one host
// when to acquire, renew and release them.
//
// A lease is held from the offset of its Acquire on; that offset is its epoch
// and serves as fencing number. Acquire names the epoch and the renewal that
// it replaces, so that a renewal that lands first makes it void. A contender
// waits the whole lease time after it last read a change; the holder counts
// from the moment before it sent its renewal and takes a margin off. So the
// holder stops before anybody else can begin, if clocks run at nearly the same
// rate, and no reader needs another's clock.
//
// # Usage
//
//	table := leaser.NewTable()
//	h := leaser.NewHolder("host-1#17", table, leaser.Options{Duration: 3 * time.Second})
//	entries := h.Tick(now, wanted) // to be appended
//	h.Applied(now, record)         // after table applied it
//	if epoch, ok := h.Valid(now, "Orders-store-1"); ok { ... }
package leaser
