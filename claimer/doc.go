// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package claimer sees to it that a request marked as not repeatable runs at
// most once, and that what is said of it afterwards is true.
//
// Keys are spread over a few ranges. Each range is a stream of the platform's
// log with one owner at a time, which gathers the claims of all hosts into few
// appends. The order of the log alone decides: a new owner first appends Open
// with its lease's epoch, and entries of a lower epoch that come after it are
// void, for every reader alike. A claimant may dispatch only after the owner
// has read the claim back as valid, so a claim that an old, paused owner
// appends after it was replaced never leads to a run.
//
// Three parts, all free of I/O and clocks:
//
//   - Table is the fold of a range's stream.
//   - Owner decides on claims for the range it holds.
//   - Claimant stands for this host's own requests and repeats what was not
//     acknowledged, to whoever is the owner by then.
//
// # Usage
//
//	out := claimant.Start(now, claimer.Request{Key: key, Digest: digest, Nonce: nonce, Deadline: deadline})
//	// send out.Messages; later:
//	out = claimant.Answer(now, answer)
//	for _, r := range out.Replies { ... r.Verdict ... }
//
// A claim without an outcome is Unknown after its time: its claimant may have
// died on either side of the dispatch. Unknown is final unless the claimant
// itself says what happened. Only NotRun frees a key.
package claimer
