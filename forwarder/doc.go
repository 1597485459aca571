// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package forwarder sends one attempt of a request to one upstream and returns its
// answer.
//
// It has an HTTP/1.1 client with a limited pool of connections to each upstream.
// Every attempt has its own nonce, and an answer with another nonce is rejected. A
// stream is complete only with a finish reason, a matching token count, and its end
// marker or the regular end of the body. A failure says whether the request may
// have run: RanNo only if it was not sent, or not whole as the upstream did not ask
// for the rest, or the upstream says so.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{ConnsPerUpstream: 64})
//	resp, fail := f.Open(ctx, attempt)
//	if fail != nil { ... fail.Ran ... }
//	result := resp.Stream(sink)
//
// Unlike http.Transport, which sends some requests again when an idle connection
// turns out to be closed, Pool never sends a request twice.
package forwarder
