// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package introducer decides when a host that starts calls the platform's store, to find the
// other hosts and to be found by them.
//
// Announcements are appended to one partition of the store, which takes them one at a time:
// some 250 a second, and none while 2 s of them wait. Hosts that start together must not all
// append, nor append again at a fixed pace: 985 hosts that did so kept the partition full, each
// gave its call up before its turn came, appended once more, and none ever read of another.
//
// So a host reads before it writes, and announces itself only while few others are announced:
// whoever reads of one of these greets it, and hosts tell each other of the rest. Hosts that all
// start for the first time read at times drawn at random. Pauses after failures grow and are
// drawn at random as well. The number of appends so depends on the number of introducers, not
// on that of hosts.
//
// The package is pure: it does no I/O and reads no clock.
//
// # Usage
//
//	in := introducer.New(introducer.Options{Host: name, Peers: address, Seed: seed})
//	switch in.Next(now) {
//	case introducer.CallFind:
//		page, err := store.Announced(ctx, in.After())
//		in.Found(now, introducer.Page{Hosts: hosts, Next: page.Next}, err)
//	case introducer.CallAnnounce:
//		in.Announced(now, store.Announce(ctx, name, card))
//	}
//	in.Met() // another host has spoken
package introducer
