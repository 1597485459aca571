// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package throttler enforces the rate limits that upstreams declare for all hosts together.
//
// A limit is divided among its owners, the first hosts in rendezvous order for the upstream's
// instance. Each owner has a token bucket with an equal share of the rate. A host sends a request to
// the upstream only with a token: an owner takes its own, any other host asks owners for theirs
// while requests wait. Owners hand tokens to the hosts that ask, and to their own requests, in turn.
//
// A limit has at most one owner for each request a second, so that the tokens that owners save up stay
// below the limit. Hosts with different views of the fleet may choose different owners. A host that
// becomes an owner begins with an empty bucket, so that each owner too many adds its share of the rate
// and one token at most. Tokens that are handed out expire within permitTTL. In any time t, each owner of
// a rate r lets pass at most
//
//	1 + r * (t + permitTTL + maxIdle)
//
// requests, so that in 4 s all hosts together send less than 1.5 times the limit allows and 5 more, also
// with one owner too many.
//
// Hosts tell each other of limits. A statement replaces another if its upstream made it later, as
// shown by an answer to a request that was sent after the earlier one was known.
//
// # Usage
//
//	t := throttler.New(throttler.Options{Host: "host-1", Waiting: queue.Len})
//	t.SetHosts(now, []string{"host-1", "host-2"}, 2)
//	t.Declare(now, sent, instance, 2.7) // from an answer
//	if t.Allows(now, instance) && t.Take(now, instance) {
//		// send the request
//	} else {
//		t.Want(now, instance) // and wait
//	}
//	for _, m := range t.Step(now) {
//		// send m to the host m.To
//	}
package throttler
