// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/folder"
	"amaranthgate.example/amaranthgate/reporter"
)

const reportStream = reporter.StreamName

// followReports begins to fold the reports; hosts that nobody asks do not.
func (n *Node) followReports(now time.Time) {
	if n.reports == nil {
		n.reports = reporter.NewTable()
		n.follow(now, reportStream, n.reports, reportCommit, func(time.Time, folder.Applied) {})
	}
}

// reportCommit is the least time between appends of reports.
const reportCommit = time.Second

// report appends outcomes. A host that does not fold the reports still reads
// the stream to see its own records back.
func (n *Node) report(now time.Time, entries []folder.Entry) {
	n.followReports(now)
	n.streams[reportStream].queue.Add(entries...)
}

// Report returns the service report as far as this host has read it, and false
// if it has not read all of it yet.
func (n *Node) Report(now time.Time) (reporter.Report, bool) {
	n.followReports(now)
	return n.reports.Report(), n.streams[reportStream].fold.Ready()
}
