// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package activator decides which hosts of a large fleet are active, that is, serve
// callers, while the others are standbys.
//
// The load that hosts report to each other grows with the square of the number of active
// hosts, and stale reports make placement worse. At ordinary load a few active hosts
// suffice, which can exchange exact reports. A standby follows configuration, upstreams
// and hosts at low cost, and serves as soon as callers are directed to it.
//
// The decision needs no coordination: it is a function of state that all hosts share,
// which is the set of live hosts and the processor use of each availability zone, as
// reported by one of the zone's hosts. When an active host fails, the next in order
// becomes active as soon as the failure is known.
//
// # Usage
//
//	chosen := activator.Select(hosts, use)        // on every host
//	if use, changed := gauge.Update(now, sum); changed {
//		// report use to the other hosts
//	}
package activator
