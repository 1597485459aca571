// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package administrator is what operators see of a host: the administration
// API, a console of forms, the state dump and the metrics.
//
// The console's forms make one validated document. A change is kept in the
// page, not on the host: the form carries the revision it is based on and the
// change itself as a merge patch, so that any host can take the next step and
// a change that lost a race can be put on the revision that won.
//
// # Usage
//
//	a := administrator.New(administrator.Options{Control: control, Digests: digests})
//	http.Serve(listener, a.Handler())
//
// # Paths
//
//	GET  /v1/configuration        the revision in force and its document
//	POST /v1/configuration        publish a document on a base revision
//	GET  /v1/changes/{id}         what became of a change
//	GET  /v1/hosts                hosts and the revision in force on each
//	GET  /v1/report               service delivered
//	GET  /debug/state             the state dump
//	GET  /debug/pprof/            profiles, as go tool pprof reads them
//	GET  /metrics                 metrics in the Prometheus text format
//	GET  /                        the console
//
// Operators prove themselves by a token, as bearer token or as the password of
// basic authentication; the user name is recorded as the author of changes.
package administrator
