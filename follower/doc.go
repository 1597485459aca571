// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package follower maintains a host's view of the platform: the configuration in
// force, the weight versions that operators have put in force, the availability zones
// that they evacuate, and the upstreams with their states.
//
// The platform has two feeds of keyed records, one written by operators and one by
// upstreams. Records come from the platform's store or, while the store rejects this
// host's calls, from other hosts. State does no I/O and takes the time as an argument.
//
// The configuration and the weight versions are monotonic within one process. An
// upstream that reports that it is leaving, or whose entry is removed, gets no new
// requests from then on. An entry that lapsed while the store was unavailable stays in
// use for a grace period after the store has recovered, because the upstream could not
// renew it. A start of an upstream is identified by its ID and start time; what is known
// of one start does not apply to the next.
//
// # Usage
//
//	state := follower.New()
//	state.StoreAnswered(now)              // a call to the store succeeded
//	state.Apply(now, change, offset)      // apply a decoded record
//	view := state.View()                  // immutable snapshot for request handling
package follower
