// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package dispatcher implements the request processing common to all protocols:
// a chain of filters, attempts at upstreams until one answers or no other attempt
// is allowed, and an ending that says whether the request may have run.
//
// The packages that serve a protocol (server for the completions API, exchanger
// for the users' platform) choose upstreams, send attempts, forward answers and
// report endings.
//
// # Usage
//
//	handle := dispatcher.Chain(forward, identify, limit)
//	...
//	tries := dispatcher.Run(ctx, dispatcher.Policy{Repeatable: true, Runs: 2, Attempts: 4}, attempter)
//	if !tries.Done() {
//		refuse(tries.Ending(ctx), tries.Ran())
//	}
package dispatcher
