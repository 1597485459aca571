// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package tracker follows the hosts of the system and the upstreams: who is
// live, who is silent and who is leaving.
//
// Hosts follow the way of SWIM (Das, Gupta and Motivala, 2002): each host sends
// heartbeats to a few neighbours; a neighbour that hears nothing suspects it
// and says so to all, and the host refutes the suspicion with a higher version
// if it can. Records spread by flooding of what is new and are repaired by
// digests from time to time. The platform's host list, which lags, only
// introduces hosts and confirms that they are gone.
//
// An upstream that is leaving gets no new work from the first sign on,
// whichever host noticed it and from which source. That it is back is believed
// only of a new incarnation, or when its watchers have seen it live for a
// while.
//
// All of it is pure: the time is an argument and nothing is sent or read.
//
// # Usage
//
//	h := tracker.NewHosts(self, tracker.HostOptions{Suspect: 2 * time.Second})
//	changed := h.Merge(now, record)
//	changed = h.Tick(now)
package tracker
