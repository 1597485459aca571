// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package server answers callers over HTTP.
//
// A request passes a chain of filters: identify, limit, claim, wait, forward;
// the outcome comes back through the same chain and is recorded. The chain and the
// attempts at upstreams are those of package dispatcher. Each filter
// is one function with one job and the outcome is a value. The filters read
// the newest snapshot and take part in no agreement themselves; what needs
// agreement is asked of a Claims.
//
// # Usage
//
//	s := server.New(server.Options{Publisher: pub, Forwarder: fwd, ...})
//	go http.Serve(listener, s.Handler())
//	...
//	s.Drain(ctx) // refuses nothing that callers still bring, ends when idle
//
// # What callers see
//
// POST /v1/completions and /v1/chat/completions follow the usual completions
// API, with server-sent events for streams. /services/{Service}/ passes plain
// calls on. GET /v1/addresses tells which hosts to use. Every error is a
// problem document (RFC 9457) whose member Ran says whether the request ran.
package server
