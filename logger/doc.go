// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package logger names the lines that hosts log, and bounds how many of them there
// are under load.
//
// A line is one JSON object on standard output. Its member "message" is a kind from
// the list in this package; docs/LOGS.md says what each means and which members it
// has. A request has a line for each upstream that was chosen for it and one for its
// end; what a host believes has a line at each change.
//
// # Usage
//
//	lines := logger.New(os.Stdout, "info")
//	lines.Info().Str("Host", name).Msg(logger.Started)
//	lines.Routine().Str("RequestID", id).Msg(logger.UpstreamChosen)
//
// # Volume
//
// Lines of requests that go well are routine: beyond RoutineLines a second they are
// left out. Lines of requests that failed have a bound of their own, so that no flood
// of good requests hides them. What was left out is counted, and said once a second.
package logger
