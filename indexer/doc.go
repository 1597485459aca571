// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package indexer indexes the KV caches of engines and manages the stores to which their
// contents are offloaded.
//
// A prompt is divided into blocks of text. The name of a block is a keyed hash of workspace,
// model, weight version and all text up to the end of the block, so that requests cannot name,
// and hence cannot read, blocks of another workspace or version. The store of an upstream holds
// runs of blocks as segments. A segment is identified by the name of its last block and a
// generation.
//
// The package has two state machines, which do no I/O and read no clock:
//
//   - Index records for one host which upstream holds which blocks. The contents of
//     accelerator memory are estimated from recent placements. The contents of stores are
//     reported by the host that issues orders to the upstream, the issuer.
//   - Store plans for the issuer what one upstream exports to its store and what it frees.
//
// # States of a segment
//
// The states are Writing, Sealed, Freeing and Freed, in this order. The issuer reports only
// sealed segments. A host may refer to reported segments until KeptLease after it sent its
// query, by its own clock. The issuer orders an upstream to free a segment only after the
// segment has been Freeing for KeptLease plus the longest read, when no request can still
// refer to it. The generation distinguishes a segment from earlier ones of the same name.
//
// # Usage
//
//	chain := indexer.NewChain(indexer.Salt(secret, workspace, model, version), text)
//	var found indexer.Lookup
//	index.Lookup(now, chain, &found)
//	index.AddPlacement(now, upstream, chain)
package indexer
