// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package readmitter recognizes refused requests that their callers send again when more arrive than
// upstreams can serve. A request that returns, to any host, keeps the time of its first attempt, so that
// it does not queue behind requests that are younger than it.
//
// # Usage
//
//	l := readmitter.New(readmitter.Options{})
//	l.Refused(now, id, first, deadline)
//	if first, ok := l.Readmit(now, id); ok { ... }
//	message.Returns = l.Take(now)
//
// A Ledger reads no clock and takes no lock.
package readmitter
