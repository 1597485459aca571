// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package router decides which upstream gets a request.
//
// It takes the upstream with the lowest estimated cost: the time in its queue, the
// time to prefill the tokens that are not cached, and the time to restore tokens
// from its store over a link with other users, each weighted by the
// configuration. Estimates come from the last load report, corrected by what this
// host has sent since. The decision is a pure function of its arguments and of an
// explicit random source; it reads no clock.
//
// # Usage
//
//	r := router.New(rand.New(rand.NewPCG(seed, 0)))
//	d, ok := r.Route(pool, &router.Request{Key: key, Tokens: 2048, Weights: weights})
//	if ok {
//		target := &pool[d.Target]
//	}
//
// A prompt that no upstream is known to have cached goes to the upstream that
// ranks first for its key by rendezvous hashing (Thaler and Ravishankar, 1998),
// unless that is much busier than the others. All hosts compute the same ranking,
// so that a host finds prompts that another one has placed. Among nearly equal
// costs the better of two random choices (Mitzenmacher, 2001) is taken, so that
// hosts with the same stale report do not all choose the same upstream.
package router
