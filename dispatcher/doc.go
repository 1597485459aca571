// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package dispatcher is the way of a request that all protocols share: filters
// first, then attempts at upstreams until one answers or none may follow, then an
// ending that says truthfully whether the request ran.
//
// The packages that serve a protocol (server for the completions API, exchanger
// for the users' platform) bring what differs: how an upstream is chosen, how an
// attempt is sent, how an answer is passed on, and how an ending is put into words.
//
// # Usage
//
//	handle := dispatcher.Chain(forward, identify, limit)
//	...
//	tries := dispatcher.Run(ctx, dispatcher.Policy{Repeatable: true, Runs: 2, Attempts: 4}, way)
//	if !tries.Done() {
//		refuse(tries.Ending(ctx), tries.Ran())
//	}
package dispatcher
