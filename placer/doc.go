// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package placer chooses the upstream of a request.
//
// For an engine it estimates the time to the first token: the prefill of its backlog, the
// prefill of the tokens of this prompt that the engine has not cached, and the transfer of
// those that a store or another engine has cached. An engine is eligible if it has memory
// for the request and a small backlog; until one is, the request waits at its host. For a
// plain service it estimates the wait for a slot. Load from other hosts is included, as they
// report it several times a second.
//
// A prompt is a sequence of parts. A part is identified by its ID and a salt that separates
// weight versions and isolated workspaces. A cached part is usable only if all parts before
// it are cached as well.
//
// # Usage
//
//	p := placer.New(placer.Options{Seed: 1})
//	p.Update(view)
//	choice, verdict := p.Choose(now, &placer.PlacementRequest{Service: "engines", Prompt: prompt})
//	if verdict == placer.Busy { ... } // retry after Options.OnRoom is called
//	choice.Ticket.First(now) // the first token has arrived
//	choice.Ticket.Done(now, placer.ResultServed)
package placer
