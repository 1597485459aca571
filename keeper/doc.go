// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package keeper knows where computed context is and decides what to keep of
// it.
//
// Context is cut into blocks of text. A block's name is a keyed hash over
// workspace, model, weight version and all text up to its end, so that a block
// of another workspace or version cannot be named, let alone read. Runs of
// blocks are kept in an upstream's store as segments, each named by its last
// block and numbered by a generation.
//
// Two parts, both free of I/O and clocks:
//
//   - Index is one host's knowledge of which upstream holds what. What is in
//     accelerator memory is a guess, who computed it last; what is kept in a store
//     is told by the upstream's issuer and may be used only for a short time
//     after it was asked for.
//   - Store is the issuer's plan for one upstream: what to export, what to free.
//
// # The life of a segment
//
// Writing ▸ Sealed ▸ Freeing ▸ Freed. Only sealed segments are told to hosts.
// A host uses what it was told for at most KeptLease after it asked, measured
// on its own clock; a segment is ordered to be freed only when it has been
// Freeing for KeptLease and the longest read on top. So no host, late or
// paused, still refers to it, and no pins need be counted. The generation
// guards against a name that is kept anew.
//
// # Usage
//
//	chain := keeper.NewChain(keeper.Salt(secret, workspace, model, version), text)
//	found := index.Lookup(now, chain)
//	index.Placed(now, upstream, chain)
package keeper
