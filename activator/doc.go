// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package activator decides which hosts of a large fleet serve callers while the
// others stand by.
//
// What hosts must tell each other of their work grows with the square of their number,
// and each host that places work unheard makes all others' knowledge worse. A fleet
// that is sized for its worst day needs few of its hosts on an ordinary one: those few
// can know each other's work exactly. A host that stands by knows configuration,
// upstreams and hosts, costs little, and serves as soon as it is named to callers.
//
// The decision is a function of what all hosts know alike, so that no one has to be
// asked: hosts that are known to be live, and what the hosts of an availability zone
// use, which one of them tells. When hosts die, the next in order are active as soon as
// that is known.
//
// # Usage
//
//	chosen := activator.Select(hosts, use)        // on every host
//	if use, changed := gauge.Update(now, sum); changed {
//		// tell the other hosts
//	}
package activator
