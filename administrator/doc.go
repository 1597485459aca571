// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package administrator serves operators: the administration API, a console of HTML forms,
// the state dump and metrics.
//
// The console keeps a pending change in the page, not on the host: a form carries the base
// revision and the change as a merge patch. Any host can therefore process the next request,
// and a change that conflicts can be rebased on the revision in force.
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
//	GET  /v1/changes/{id}         the result of a change
//	GET  /v1/hosts                hosts and the revision in force on each
//	GET  /v1/report               the service report
//	GET  /debug/state             the state dump
//	GET  /debug/pprof/            profiles, as go tool pprof reads them
//	GET  /metrics                 metrics in the Prometheus text format
//	GET  /                        the console
//
// Operators authenticate with a token, as bearer token or as the password of basic
// authentication. The user name is recorded as the author of changes.
package administrator
