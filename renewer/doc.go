// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package renewer brings engines to the weight versions that operators name.
//
// One host at a time gives orders, under a lease that lies in the platform's
// store and is written by compare-and-set. The holder counts its term from before
// it asked, less a margin; another host counts from when it first saw the record,
// so that two never believe in it at the same moment. Some engines do not check
// who orders them, and orders of two hosts to one engine must lie a turn apart:
// a new holder waits out term and turn, unless the old one has said that it
// stopped, and which engines it had ordered when.
//
// A few engines load at once, since the weight store slows down beyond that. The
// least busy ones come first; those ordered, and those next in line, are named to
// all hosts so that these send new work elsewhere.
//
// A version under which engines end as they load it is tried with one engine at a time.
//
// Renewer is pure: it does no I/O, starts no goroutine, and takes the time as an
// argument.
//
// # Usage
//
//	r := renewer.New(renewer.Options{Host: "host-1", Term: 2 * time.Second, Turn: 3 * time.Second})
//	for _, c := range r.Step(now, renewer.Input{View: view, Place: 0}) {
//		switch c := c.(type) {
//		case renewer.ReadLease: ... // then r.LeaseRead
//		case renewer.WriteLease: ... // then r.LeaseWritten
//		case renewer.Order: ... // then r.Ordered
//		case renewer.Ask: ... // then r.Told
//		case renewer.Renewed: ... // the engine has new weights
//		}
//	}
package renewer
