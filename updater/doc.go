// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package updater rolls out weight versions to engines.
//
// One host at a time sends load orders. It holds a lease, a record in the platform's
// store that is written by compare-and-set. The holder counts its term from before it
// sent the write, less a margin; other hosts count from when they first read the
// record, so two hosts never hold the lease at once. Some engines do not check fencing
// tokens, so orders of two hosts to one engine must be at least HandoverGap apart: a new
// holder waits for the term and HandoverGap, unless the previous holder reported that it
// has stopped and when it ordered which engines.
//
// The number of engines that load concurrently is bounded, since the weight store slows
// down under more. The least busy engines are ordered first. Engines that are loading or
// will be ordered soon are announced to all hosts, which route new work elsewhere.
//
// A version whose load ends engines is tried on one engine at a time.
//
// The package does no I/O, starts no goroutines, and takes the time as an argument.
//
// # Usage
//
//	up := updater.New(updater.Options{Host: "host-1", Term: 2 * time.Second, HandoverGap: 3 * time.Second})
//	for _, c := range up.Step(now, updater.Input{View: view, HostIndex: 0}) {
//		switch c := c.(type) {
//		case updater.ReadLease: ... // then up.LeaseRead
//		case updater.WriteLease: ... // then up.LeaseWritten
//		case updater.Order: ... // then up.OrderAnswered
//		case updater.QueryVersion: ... // then up.VersionReported
//		case updater.Renewed: ... // the engine has new weights
//		}
//	}
package updater
