// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package quarantiner stops requests that crash the upstreams that run them, and parts of prompts that do.
//
// A caller may repeat such a request at any host, and each try could end another
// upstream. A Ledger therefore records, by the Identity of a request, the upstream
// instances that ended while running it. A request with fewer than BarThreshold ends is a
// suspect: all hosts send it to the same upstream, without any other suspect, so that
// copies of a bad request end only one upstream, and requests that ran beside it by
// chance are not affected again. A request with BarThreshold ends is barred.
//
// An end counts only until the same request is answered in full at any host. Requests
// that a host served recently are never suspects there.
//
// An upstream may also end shortly after a request was abandoned, for example because
// its caller left. The end counts for that request within a short time.
//
// A part of prompts may crash each upstream that begins to answer, in requests of which no two are alike. The ends of
// upstreams therefore count for the parts of the prompt as well, except the last one, which no other request has.
// They count only if the answer had not begun, and not for a part with which an answer has begun lately at that host. A
// part is barred after PartBarThreshold ends under different requests, unless all were at once; an answer that begins
// clears it. Ends that a barred request or another barred part explains do not count: of two parts that come together
// only requests with both are refused, until an answer or another end tells them apart. A bar is suspended for one request after a minute, and once more after an
// hour.
//
// Hosts exchange Entries, each the whole record of one identity. Merging is a union in
// which cleared ends stay cleared, so it is commutative and idempotent.
//
// # Usage
//
//	l := quarantiner.New(quarantiner.Options{Changed: spread})
//	id := quarantiner.Identify(quarantiner.Parts{Workspace: "w", Host: h, Target: t, Body: b})
//	if v := l.Standing(now, id); v.Standing == quarantiner.Barred { ... }
//	if s, part := l.PartsStanding(now, parts); s == quarantiner.Barred { ... }
//	l.Ended(now, quarantiner.Evidence{Request: id, Parts: parts}, upstream.InstanceID(), sent)
//	l.Begun(now, parts)
//	for _, e := range l.TakeChanges(now) { ... } // for the other hosts, which call Merge
package quarantiner
