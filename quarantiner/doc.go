// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package quarantiner keeps requests that end the upstreams that run them away from further
// ones.
//
// Hosts remember of an upstream that it broke, and of a request nothing once its caller has
// an answer. A request that ends each upstream that begins it, and that its caller repeats
// at whichever host, would so end one upstream after the other: 45 to 61 of 18 engines, each
// back after some seconds, in a quarter of a minute, with up to 29 other requests each time.
//
// A Ledger remembers, by the Identity of a request, under which starts of upstreams it was
// under way when they ended. A request with one end or two is a suspect: it goes where all
// hosts send it and no other suspect, so that copies of it end one upstream and not several,
// and what stands beside it by chance is not met by the next end as well. With Bar ends it
// is barred.
//
// What ran beside a bad request has the same to tell as the bad one. So an end counts only
// until the same request is served well, at whichever host: a bad one never is. A request that a
// host served a while ago is not suspected by it at all.
//
// A request that was given up, as by a caller who leaves, may end its upstream a little later
// with nothing under way there. It counts if that start ends within a second.
//
// Hosts tell each other Words, each the whole record of one identity. Merging them is a union
// in which what is cleared stays cleared, so that their order and repeats do not matter.
//
// # Usage
//
//	l := quarantiner.New(quarantiner.Options{Changed: spread})
//	id := quarantiner.Identify(quarantiner.Parts{Workspace: "w", Host: h, Target: t, Body: b})
//	if v := l.Standing(now, id); v.Standing == quarantiner.Barred { ... }
//	l.Ended(now, id, upstream.Start(), sent)
//	for _, w := range l.News(now) { ... } // for the other hosts, which call Hear
package quarantiner
