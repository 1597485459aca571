// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package exchanger takes one request from its reading to its final answer,
// whatever protocol callers and upstreams speak.
//
// A codec on the callers' side decodes a Request and gives a Responder; a codec
// on the upstreams' side is a Sender. In between, filters match the route, prove
// the workspace and bound the time; then attempts are made until one gives an
// answer or no other may be made.
//
// What may be said of a request follows from its attempts. Each ends as not run,
// may have run, or ran. Only while all have not run may the caller be told so,
// and only then may a request that must run at most once be sent again. An
// answer is passed on whole or is seen to be broken; a stream that may be resumed
// goes on at another upstream after the last event that the caller has.
//
// # Usage
//
//	x := exchanger.New(exchanger.Options{Beliefs: beliefs, Placer: placer, Sender: sender, Budget: budget})
//	outcome := x.Handle(ctx, request, responder)
package exchanger
