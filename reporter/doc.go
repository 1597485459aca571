// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package reporter counts answered and rejected requests by workspace and class.
//
// Each host appends batches of counters to a stream of the platform's log, and
// builds reports from that stream. Batches are numbered, so that a report shows
// lost batches as a gap.
//
// # Usage
//
//	g := reporter.NewGatherer(now)
//	g.Record(reporter.Outcome{Workspace: "notary", Class: "Booking", ...})
//	entry, ok := g.Flush(now)
//
//	table := reporter.NewTable() // a replayer.State
//	rows := table.Report().Rows
package reporter
