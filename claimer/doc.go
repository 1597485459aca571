// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package claimer ensures that a request marked as not repeatable runs at most once, and that
// its reported outcome is correct.
//
// Idempotency keys are partitioned into ranges. Each range is a stream of the platform's log
// with one owner at a time, which batches the claims of all hosts. A new owner first appends
// Open with the epoch of its lease; all readers ignore later entries of a lower epoch. A
// claimant may dispatch a request only after the owner has read the claim back as valid, so
// that a claim appended by a replaced owner never leads to a run.
//
// The package has three state machines, which do no I/O and read no clock:
//
//   - Table holds the state of a range's keys, computed from its stream.
//   - Owner decides on claims for a range while it holds the range's lease.
//   - Claimant claims keys for the requests of one host and repeats unanswered messages to the
//     current owner.
//
// # Usage
//
//	effects := claimant.Start(now, claimer.Request{Key: key, Digest: digest, Nonce: nonce}, deadline)
//	// send effects.Send; later:
//	effects = claimant.HandleReply(now, reply)
//	for _, s := range effects.Settled { ... s.Verdict ... }
//
// A claim without an outcome becomes Unknown after Policy.Timeout, because its claimant may
// have failed before or after the dispatch. Unknown is final unless the claimant reports the
// outcome later. Only NotRun frees a key.
package claimer
