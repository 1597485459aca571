// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package tracker maintains the membership of hosts and upstreams: which are
// live, silent or leaving.
//
// Membership follows SWIM (Das, Gupta and Motivala, 2002): each host sends
// heartbeats to a few neighbours. A neighbour that receives none in time
// suspects the host and gossips the suspicion, which the host refutes with a
// higher version. New records are flooded, and differences that remain are
// repaired by comparing digests. The platform's host list, which lags, only
// introduces hosts and confirms that they are gone.
//
// An upstream gets no new requests from the first sign that it is leaving,
// whichever host noticed it and from which source. It is taken as live again
// only with a new incarnation, or when its watchers have seen it live for a
// while.
//
// The package does no I/O and takes the time as an argument.
//
// # Usage
//
//	h := tracker.NewHosts(self, tracker.HostOptions{SuspectAfter: 2 * time.Second})
//	changed := h.Merge(now, record)
//	changed, forwarded := h.Tick(now)
package tracker
