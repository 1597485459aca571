// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package reserver bounds what the callers of a listener hold together: open connections, and the bytes of heads and bodies.
//
// Each connection has a Claim, which reserves bytes as they arrive: a length that a caller declares reserves nothing. A Claim
// passes through phases. What it holds is given back as its request ends, but for the connection itself.
//
// If a reservation finds no room, the budget takes back what the claim holds that has made no progress for longest, provided
// that its request is not whole and that it has stalled for MinStall. Otherwise the reservation fails, and the caller is to be
// refused at once. A request of more than SmallBytes may fill only a part of the budget, so that ordinary ones find room beside
// many large ones.
//
// If there are too many connections, the one that has waited longest is closed: first those that are only read until their
// callers close them, then those whose head is not whole, then idle ones. A connection with a request in progress is never
// closed for another one.
//
// A Budget has no clock: times are arguments, and must not go back. Timeouts are those of Sweep, and count only time in which
// sweeps take place, so that a process that was suspended does not close the connections of callers that it did not read from.
//
// # Usage
//
//	b := reserver.New(reserver.Options{Bytes: 32 << 20, Connections: 1000})
//	c := b.Open(now, func(e reserver.Eviction) { ... })
//	if c == nil {
//		_ = conn.Close()
//		return
//	}
//	defer c.Close()
//	c.Begin(now)
//	if !c.Grow(now, n) {
//		refuse(c)
//	}
//	c.Run()
//	...
//	c.Rest(now)
package reserver
