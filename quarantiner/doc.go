// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package quarantiner stops requests that crash the upstreams that run them.
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
// Hosts exchange Entries, each the whole record of one identity. Merging is a union in
// which cleared ends stay cleared, so it is commutative and idempotent.
//
// # Usage
//
//	l := quarantiner.New(quarantiner.Options{Changed: spread})
//	id := quarantiner.Identify(quarantiner.Parts{Workspace: "w", Host: h, Target: t, Body: b})
//	if v := l.Standing(now, id); v.Standing == quarantiner.Barred { ... }
//	l.Ended(now, id, upstream.InstanceID(), sent)
//	for _, e := range l.TakeChanges(now) { ... } // for the other hosts, which call Merge
package quarantiner
