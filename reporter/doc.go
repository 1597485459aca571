// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package reporter tells who got what, when, and what was refused, by workspace
// and class.
//
// Each host gathers outcomes and appends them in batches to a stream of the
// platform's log; every host that is asked for a report folds that stream. A
// batch carries a number, so that batches which never arrived are shown as a
// gap and not as zero.
//
// # Usage
//
//	b := reporter.NewBatch("host-1#17")
//	b.Record(reporter.Outcome{Workspace: "notary", Class: "Booking", ...})
//	entry, ok := b.Flush(now)
//
//	table := reporter.NewTable() // a folder.State
//	rows := table.Rows()
package reporter
