// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package server answers callers over HTTP.
//
// A request passes a chain of filters: identify, limit, resolve, claim,
// awaitCapacity and forward. The outcome is a value that is returned through the
// same chain and recorded. Package dispatcher provides the chain and the attempts
// at upstreams. The filters read the latest snapshot; requests that may run only
// once are coordinated with other hosts through Claims.
//
// # Usage
//
//	s := server.New(server.Options{Publisher: pub, Forwarder: fwd, ...})
//	go http.Serve(listener, s.Handler())
//	...
//	s.Drain(ctx) // still serves new requests, returns when idle
//
// # What callers see
//
// POST /v1/completions and /v1/chat/completions follow the usual completions
// API, with server-sent events for streams. /services/{Service}/ forwards calls
// to plain services. GET /v1/addresses returns the hosts to use. Every error is a
// problem document (RFC 9457) whose member Ran says whether the request ran.
package server
