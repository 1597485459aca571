// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package logger defines the log events of hosts and limits their rate under load.
//
// A line is one JSON object on standard output. Its member "message" is one of Kinds;
// docs/LOGS.md documents each with its other members. A request has a line for each
// upstream chosen for it and one for its end. Other lines report state changes.
//
// # Usage
//
//	lines := logger.New(os.Stdout, "info")
//	lines.Info().Str("Host", name).Msg(logger.Started)
//	lines.Routine().Str("RequestID", id).Msg(logger.UpstreamChosen)
//
// # Volume
//
// Lines of successful requests beyond RoutineLines a second are omitted. Lines of failed
// requests have a separate limit, so that successful ones do not displace them. Omitted
// lines are counted, and ReportOmitted logs their number.
package logger
