// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"time"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/placer"
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
	if r.Failure == nil || r.Verdict != dispatcher.MayHaveRun || ctx.Err() != nil {
		return false
	}
	return r.Failure.Cause == forwarder.CauseLost || r.Failure.Cause == forwarder.CauseCut
}

// upstreamEnded tells that an upstream has ended with the request under way. A connection
// that breaks says so only if the upstream takes no new one either: resets, lost answers and
// broken bodies of an upstream that lives are no sign of what its requests do to it.
func (d *delivery) upstreamEnded(ctx context.Context, u follower.Upstream, r dispatcher.Result) bool {
	return d.opts.Refuses != nil && broke(ctx, r) && d.opts.Refuses(u.Address)
}

// learn takes in what an attempt that was sent at a time shows of the request, and returns
// what it shows of the upstream.
func (d *delivery) learn(ctx context.Context, u follower.Upstream, sent time.Time, r dispatcher.Result) placer.Result {
	if d.upstreamEnded(ctx, u, r) {
		d.opts.Quarantine.Ended(d.opts.Timer.Now(), d.outcome.Identity, u.Start(), sent)
		if d.opts.Ended != nil {
			d.opts.Ended(Ended{RequestID: d.request.ID, Identity: d.outcome.Identity, Upstream: u})
		}
		return placer.ResultUnreached
	}
	switch {
	case r.Failure != nil && r.Failure.NoListener:
		d.opts.Quarantine.Gone(d.opts.Timer.Now(), u.Start())
	case d.abandoned(ctx, r):
		d.opts.Quarantine.Left(d.opts.Timer.Now(), d.outcome.Identity, u.Start())
		d.watcher.left(u)
	case d.succeeded(r):
		d.opts.Quarantine.Served(d.opts.Timer.Now(), d.outcome.Identity)
	}
	return forPlacement(ctx, r)
}

// abandoned tells that this host has given the attempt up while it may have been under way:
// its caller has left, its time is over, or the upstream fell silent.
func (d *delivery) abandoned(ctx context.Context, r dispatcher.Result) bool {
	if d.outcome.Reason == ReasonCallerGone {
		return true
	}
	return r.Verdict == dispatcher.MayHaveRun && r.Failure != nil && (ctx.Err() != nil || r.Failure.Cause == forwarder.CauseTimeout)
}

// succeeded tells that the request was answered whole and well. A failure, though whole, does
// not say that the request was begun: an upstream may fail all it gets at once.
func (d *delivery) succeeded(r dispatcher.Result) bool {
	whole := r.Verdict == dispatcher.Done && d.outcome.Reason == ReasonNone && d.framed
	return whole && d.outcome.Status >= http.StatusOK && d.outcome.Status < http.StatusMultipleChoices
}

// allowed tells whether the request may be sent to an upstream at all, and asks for a place
// of its own where it may end the upstream. That is what keeps a request that ends whatever
// runs it from ending one upstream after the other: the answer to its caller ends what is
// known of a request otherwise, and the caller sends it again elsewhere.
func (d *delivery) allowed(ask *placer.Ask) bool {
	id := d.outcome.Identity
	switch v := d.opts.Quarantine.Standing(d.opts.Timer.Now(), id); v.Standing {
	case quarantiner.Barred:
		d.unplaced = ReasonBarred
		return false
	case quarantiner.Suspect:
		ask.Apart = placer.Apart{Key: id.Key(), Ends: v.Ends}
		ask.Due = time.Time{} // it waits for no reading of another request
	}
	return true
}
