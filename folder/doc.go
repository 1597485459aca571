// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package folder turns a stream of the platform's append-only log into state
// that is the same on every host.
//
// A record carries its writer and a sequence number. Records are applied in
// the order of their offsets; a record whose sequence number is not above the
// last one applied for its writer is a second copy and is dropped. Because the
// fold is deterministic, the first valid entry at the lowest offset wins, and
// that is all the agreement there is.
//
// Streams lose old records. A checkpoint entry holds the whole state up to an
// offset; a reader that starts late restores the newest checkpoint and applies
// the records after the offset it covers.
//
// # Usage
//
//	s := folder.NewStream("Leases", &leaser.Table{})
//	for page := range pages {
//		applied := s.Feed(page)
//		...
//	}
//	if s.Ready() { ... }
package folder
