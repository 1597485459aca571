// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/replayer"
	"amaranthgate.example/amaranthgate/reporter"
)

const reportStream = reporter.StreamName

// followReports starts folding the stream of reports, when it is first needed.
func (n *Node) followReports(now time.Time) {
	if n.reports == nil {
		n.reports = reporter.NewTable()
		n.follow(now, reportStream, n.reports, reportCommitInterval, func(time.Time, replayer.Applied) {})
	}
}

// reportCommitInterval is the minimum interval of appends of reports.
const reportCommitInterval = time.Second

// report appends outcomes. The host must follow the stream to read its own records
// back.
func (n *Node) report(now time.Time, entries []replayer.Entry) {
	n.followReports(now)
	n.streams[reportStream].queue.Add(entries...)
}

// Report returns the service report as read so far, and whether that is complete.
func (n *Node) Report(now time.Time) (reporter.Report, bool) {
	n.followReports(now)
	return n.reports.Report(), n.streams[reportStream].fold.Ready()
}
