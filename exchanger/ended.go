// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// Ended says that an upstream has ended while a request was under way there. That alone
// does not say that the request is to blame: all that ran there has the same to tell.
type Ended struct {
	RequestID string
	Identity  quarantiner.Identity
	Upstream  follower.Upstream
}

// identify names what the request asks for, once it is known whose it is.
func (e *exchange) identify() {
	parts := quarantiner.Parts{Method: e.request.Method, Host: e.request.Host, Target: e.request.Target, Body: e.request.Body}
	if e.workspace != nil {
		parts.Workspace = e.workspace.Name
	}
	e.outcome.Identity = quarantiner.Identify(parts)
}

// broke tells that the connection to an upstream broke off with the request under way.
func broke(ctx context.Context, r dispatcher.Result) bool {
	if r.Failure == nil || r.Verdict != dispatcher.Maybe || ctx.Err() != nil {
		return false
	}
	return r.Failure.Cause == forwarder.CauseLost || r.Failure.Cause == forwarder.CauseCut
}

// upstreamEnded tells that an upstream has ended with the request under way. A connection
// that breaks says so only if the upstream takes no new one either: resets, lost answers and
// broken bodies of an upstream that lives are no sign of what its requests do to it.
func (d *delivery) upstreamEnded(ctx context.Context, u follower.Upstream, r dispatcher.Result) bool {
	if d.opts.Refuses == nil || !broke(ctx, r) || !d.opts.Refuses(ctx, u.Address) {
		return false
	}
	if d.opts.Ended != nil {
		d.opts.Ended(Ended{RequestID: d.request.ID, Identity: d.outcome.Identity, Upstream: u})
	}
	return true
}
