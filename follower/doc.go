// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package follower keeps what a host believes of the platform: the
// configuration in force, the weight versions named by operators, the availability
// zones that they evacuate, and the upstreams with their states.
//
// The platform keeps two feeds of keyed records: one written by operators and
// one by upstreams. Records arrive from the platform's store or, while the store
// turns this host away, from other hosts. State is pure: it does no I/O and takes
// the time as an argument, so that the same code runs in tests read from scripts.
//
// Rules it keeps: the configuration and weight versions never go back within one
// process. An upstream that says it leaves, or whose entry is removed, gets no
// new work at once; an entry that lapsed while the store was away stays in use
// until the grace after the store's return is over, because the upstream could
// not renew it. A start of an upstream is its ID with its time of birth: what is known
// of one start does not hold for the next.
//
// # Usage
//
//	state := follower.New()
//	state.Answered(now)                   // the store has answered
//	state.Apply(now, change, offset)      // a record was decoded
//	view := state.View()                  // immutable, for traffic
package follower
