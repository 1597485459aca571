// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package forwarder carries one attempt of a request to one upstream and its
// answer back.
//
// It is a plain net/http client with bounded connections for each upstream.
// Every attempt has its own nonce. An answer that names another nonce is
// dropped; a stream counts as whole only with its finish reason, a token count
// that fits, and its end marker or at least a regular end of the body. A failure says whether the request can have
// run: only when no connection was made, or when the upstream itself says so,
// is the answer "no".
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{ConnsPerUpstream: 64})
//	resp, fail := f.Open(ctx, attempt)
//	if fail != nil { ... fail.Ran ... }
//	result := resp.Stream(sink)
//
// net/http by itself sends a request again on a new connection when an idle
// one turns out to be closed, if the request has an Idempotency-Key header or
// a safe method. A request that may run only once must not be sent twice, so
// neither that header nor a replayable body is given to it.
package forwarder
