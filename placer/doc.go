// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package placer chooses the upstream of a request.
//
// For an engine it estimates the time to the first token: prompt tokens that
// wait there to be read, tokens of this prompt that the engine does not keep,
// and the transfer of those that somebody else keeps. It is chosen only if it has
// memory for the request and little left to read; until one has, the request waits at
// its host. For a plain service it estimates the wait for a slot. What other hosts have
// under way counts as this host's own; they say so several times a second.
//
// A prompt is named by its parts. A part is known by its ID and a salt that keeps
// weight versions and isolated workspaces apart. It is of use only where all parts
// before it are kept as well.
//
// # Usage
//
//	p := placer.New(placer.Options{Seed: 1})
//	p.Update(view)
//	choice, verdict := p.Choose(now, &placer.Ask{Service: "engines", Prompt: prompt})
//	if verdict == placer.Busy { ... } // try again when Options.Eased was called
//	choice.Ticket.First(now) // the first token has come
//	choice.Ticket.Done(now, placer.ResultServed)
package placer
