// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package router decides which upstream gets a request.
//
// The decision takes the upstream with the least estimated cost: time waiting
// in its queue, time to compute what it does not hold, time to restore what
// lies in its store over a link with other users, each part weighed by the
// configuration. All estimates come from a lagging load report corrected by
// what this host has sent since. The decision is a pure function of its
// arguments; it reads no clock and draws from an explicit random source.
//
// # Usage
//
//	r := router.New(rand.New(rand.NewPCG(seed, 0)))
//	d, ok := r.Route(pool, &router.Request{Key: key, Tokens: 2048, Weights: weights})
//	if ok {
//		target := &pool[d.Target]
//	}
//
// A prompt that no upstream is known to hold goes to the upstream that ranks
// first for its key by rendezvous hashing (Thaler and Ravishankar, 1998), as
// long as that is not much busier than the others: every host computes the
// same ranking, so that a host that knows nothing still finds what another
// host has placed. Among nearly equal costs the better of two random choices
// (Mitzenmacher, 2001) is taken, so that hosts that read the same stale report
// do not all choose the same upstream.
package router
