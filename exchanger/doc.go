// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package exchanger processes a request from its decoding to its final answer,
// independently of the protocols of callers and upstreams.
//
// The callers' codec decodes a Request and provides a Responder; the upstreams'
// codec is a Sender. In between, filters match the route, authenticate the
// workspace and set the deadline; then attempts are made until one gives an answer
// or no other attempt is allowed.
//
// An attempt did not run, may have run, or ran. Only if no attempt has run does the
// answer say so, and only then is a request that must run at most once sent again.
// An answer is forwarded completely or visibly aborted; a resumable stream continues
// at another upstream after the last event that the caller has received.
//
// # Usage
//
//	x := exchanger.New(exchanger.Options{Views: views, Placer: placer, Sender: sender, Budget: budget})
//	outcome := x.Handle(ctx, request, responder)
package exchanger
