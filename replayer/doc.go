// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package replayer replays a stream of the platform's append-only log into replicated state.
//
// A record carries its writer and a sequence number. Records are applied in the order of
// their offsets; a record whose sequence number is not above the last one applied for its
// writer is a duplicate and is dropped. Replay must be deterministic, so that all hosts
// compute the same state: of conflicting entries, the one at the lowest offset wins.
//
// The log expires old records. A checkpoint entry holds the whole state up to an offset; a
// reader that starts late restores a checkpoint and applies the records from the checkpoint's
// offset on.
//
// # Usage
//
//	s := replayer.NewStream("Leases", leaser.NewTable())
//	for page := range pages {
//		applied := s.Feed(page)
//		...
//	}
//	if s.Ready() { ... }
package replayer
