// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// Ended reports that an upstream terminated while a request was in progress there, which
// need not be the cause: the same is reported for every request in progress.
type Ended struct {
	RequestID string
	Identity  quarantiner.Identity
	Upstream  follower.Upstream
	Parts     []string // Parts are the parts of the prompt but the last, which no other request has.
	Begun     bool     // Begun reports that the upstream had begun its answer.
}

// identify sets the identity of the request; the workspace must be known.
func (e *exchange) identify() {
	parts := quarantiner.Parts{Method: e.request.Method, Host: e.request.Host, Target: e.request.Target, Body: e.request.Body}
	if e.workspace != nil {
		parts.Workspace = e.workspace.Name
	}
	e.outcome.Identity = quarantiner.Identify(parts)
	isolated := ""
	if e.workspace != nil && e.workspace.Isolated {
		isolated = e.workspace.Name
	}
	for _, id := range e.sharedParts() {
		e.parts = append(e.parts, quarantiner.IdentifyPart(isolated, e.request.Prompt.Model, id))
	}
}

// evidence returns what an attempt shows about the cause if its upstream has ended. A part of the prompt is no cause
// once the answer has begun.
func (d *delivery) evidence(a *attempt) quarantiner.Evidence {
	ev := quarantiner.Evidence{Request: d.outcome.Identity}
	if !a.events {
		ev.Parts = d.parts
	}
	return ev
}

// recordBegun records that an upstream has begun to answer the request. The host that sends a request to an upstream
// does it.
func (d *delivery) recordBegun(a *attempt) {
	if a.choice.host == nil {
		d.opts.Quarantine.Begun(d.opts.Timer.Now(), d.parts)
	}
}

// connectionBroke reports whether the connection broke while the request was in progress.
func connectionBroke(ctx context.Context, r dispatcher.Result) bool {
	if r.Failure == nil || r.Verdict != dispatcher.MayHaveRun || ctx.Err() != nil {
		return false
	}
	return r.Failure.Cause == forwarder.CauseLost || r.Failure.Cause == forwarder.CauseCut
}

// upstreamEnded reports whether the upstream terminated while the request was in progress.
// A broken connection counts only if the upstream also refuses a new one.
func (d *delivery) upstreamEnded(ctx context.Context, u follower.Upstream, r dispatcher.Result) bool {
	return d.opts.Refuses != nil && connectionBroke(ctx, r) && d.opts.Refuses(u.Address)
}

// recordResult records in quarantine what the result of an attempt shows about the
// request, and returns the result for placement.
func (d *delivery) recordResult(ctx context.Context, a *attempt, r dispatcher.Result) placer.Result {
	u := a.choice.Upstream
	if d.upstreamEnded(ctx, u, r) {
		d.opts.Quarantine.Ended(d.opts.Timer.Now(), d.evidence(a), u.InstanceID(), a.sent)
		if d.opts.Ended != nil {
			d.opts.Ended(Ended{RequestID: d.request.ID, Identity: d.outcome.Identity, Upstream: u, Parts: d.sharedParts(), Begun: a.events})
		}
		return placer.ResultUnreachable
	}
	switch {
	case r.Failure != nil && r.Failure.NoListener:
		d.opts.Quarantine.InstanceEnded(d.opts.Timer.Now(), u.InstanceID())
	case d.abandoned(ctx, r):
		d.opts.Quarantine.Abandoned(d.opts.Timer.Now(), d.evidence(a), u.InstanceID())
		d.watcher.watch(u)
	case d.succeeded(r):
		d.opts.Quarantine.Served(d.opts.Timer.Now(), d.outcome.Identity)
		d.recordBegun(a)
	}
	return placementResult(ctx, r)
}

// maxSharedParts bounds the parts of a prompt that are considered.
const maxSharedParts = 64

// sharedParts returns the IDs of the parts of the prompt that other requests may have.
func (e *exchange) sharedParts() []string {
	p := e.request.Prompt
	if p == nil || len(p.Parts) < 2 {
		return nil
	}
	var ids []string
	for _, part := range p.Parts[:min(len(p.Parts)-1, maxSharedParts)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// partsAllowed reports whether the request may be sent with the parts of its prompt. A request for which a bar is
// suspended keeps that until its next attempt has been sent.
func (d *delivery) partsAllowed() bool {
	if d.triesPart {
		return true
	}
	standing, part := d.opts.Quarantine.PartsStanding(d.opts.Timer.Now(), d.parts)
	switch standing {
	case quarantiner.Barred:
		d.placementReason, d.outcome.BarredPart = ReasonBarred, d.partName(part)
		return false
	case quarantiner.Suspect:
		d.triesPart = true
	}
	return true
}

// partName returns the ID of a part of the prompt by its identity.
func (e *exchange) partName(id quarantiner.Identity) string {
	i := slices.Index(e.parts, id)
	if i < 0 {
		return ""
	}
	return e.request.Prompt.Parts[i].ID
}

// abandoned reports whether this host canceled the attempt while it may have been in
// progress: the caller left, the deadline passed, or the upstream stalled.
func (d *delivery) abandoned(ctx context.Context, r dispatcher.Result) bool {
	if d.outcome.Reason == ReasonCallerGone {
		return true
	}
	return r.Verdict == dispatcher.MayHaveRun && r.Failure != nil && (ctx.Err() != nil || r.Failure.Cause == forwarder.CauseTimeout)
}

// succeeded reports whether the caller got a complete answer with a 2xx status. Error
// answers don't show that the request was executed.
func (d *delivery) succeeded(r dispatcher.Result) bool {
	complete := r.Verdict == dispatcher.Done && d.outcome.Reason == ReasonNone && d.framing != forwarder.FramingConnection
	return complete && d.outcome.Status >= http.StatusOK && d.outcome.Status < http.StatusMultipleChoices
}

// allowed reports whether the request may be sent to an upstream. For a suspect request
// it asks for isolation from other suspects, so that a request which terminates its
// upstreams does not take down one after another as callers retry it.
func (d *delivery) allowed(ask *placer.PlacementRequest) bool {
	id := d.outcome.Identity
	if !d.partsAllowed() {
		return false
	}
	switch v := d.opts.Quarantine.Standing(d.opts.Timer.Now(), id); v.Standing {
	case quarantiner.Barred:
		d.placementReason = ReasonBarred
		return false
	case quarantiner.Suspect:
		ask.Isolation = placer.Isolation{Key: id.Key(), EndedInstances: v.Ends}
		ask.Due = time.Time{} // suspect requests do not wait for the prefill of another
	}
	return true
}
