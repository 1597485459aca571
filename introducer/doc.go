// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package introducer decides when a starting host calls the platform's store, to discover the
// other hosts and to be discovered by them.
//
// Announcements are appended to one partition of the store, which processes them one at a time,
// some 250 a second, and rejects them while its queue is 2 s long. Hosts that start together must
// neither all append nor retry at a fixed interval, as they would keep the partition overloaded:
// each of 985 hosts that did so gave up its append before its turn, and none read of another.
//
// A host therefore reads before it writes, and announces itself only while few others are
// announced: hosts that read an announcement contact its host, and learn of the rest by gossip.
// Hosts that all start for the first time add jitter to their first read, and failed calls are
// retried with exponential backoff and jitter. The number of appends thus depends on the number
// of announced hosts that are needed, not on the size of the fleet.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	in := introducer.New(introducer.Options{Host: name, Peers: address, Seed: seed})
//	switch in.Next(now) {
//	case introducer.CallRead:
//		page, err := store.Announced(ctx, in.After())
//		in.ReadDone(now, introducer.Page{Hosts: hosts, Next: page.Next}, err)
//	case introducer.CallAnnounce:
//		in.AnnounceDone(now, store.Announce(ctx, name, record))
//	}
//	in.Contacted() // another host was contacted
package introducer
