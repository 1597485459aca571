// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"time"

	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/registrar"
)

// Origins knows where streams began. It must be safe for concurrent use.
type Origins interface {
	// Record records where a stream began, or goes on, before its first event of a request is forwarded. deadline is
	// that of the request.
	Record(key registrar.Key, o registrar.Origin, deadline time.Time)
	// Find returns where a stream began. It may ask other hosts until ctx is done.
	Find(ctx context.Context, key registrar.Key) registrar.Finding
}

const (
	// retryAfterSilence is when a caller may retry whose stream a host knows that has not answered.
	retryAfterSilence = 300 * time.Millisecond
	// retryAfterReturn is when an upstream that has crashed may have restarted.
	retryAfterReturn = time.Second
	// lingerTime is how long after its removal an upstream may still begin streams for hosts that have not heard of it.
	lingerTime = 10 * time.Second
	// soleSpan is how long a service must have had one software version for a stream without a record to have begun at it.
	// The deadline of the try that takes it up says nothing of when the stream began.
	soleSpan = registrar.MaxLife + lingerTime
	// findShare is the share of the time left to a request for which other hosts are asked.
	findShare = 0.25
)

// streamKey returns the key of a stream of this request's workspace.
func (e *exchange) streamKey(requestID string) registrar.Key {
	workspace := ""
	if e.workspace != nil {
		workspace = e.workspace.Name
	}
	return registrar.KeyOf(workspace, requestID)
}

// bind binds the request to the origin of the stream that its caller takes up. It refuses the request and returns
// false if the stream cannot go on, as its origin is not known or the route does not lead there any more.
func (d *delivery) bind(ctx context.Context) bool {
	if d.route.Kind != matcher.KindStream || d.request.LastEvent == "" {
		return true
	}
	start := d.opts.Timer.Now()
	d.outcome.Resumed, d.outcome.Finding = true, d.findOrigin(ctx)
	d.outcome.Finding.Took = d.opts.Timer.Now().Sub(start)
	d.origin = d.outcome.Finding.Origin
	d.outcome.Origin = d.origin
	switch {
	case !d.origin.Known():
		d.refuseUnknown(ctx)
		return false
	case !d.route.Serves(d.origin.Service):
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonSoftwareGone})
		return false
	}
	d.service = d.origin.Service
	d.outcome.Service = d.service
	return true
}

// findOrigin returns where the stream that the caller takes up began.
func (d *delivery) findOrigin(ctx context.Context) registrar.Finding {
	switch {
	case d.request.Origin.Known():
		return registrar.Finding{Origin: d.request.Origin, Source: registrar.SourcePassed}
	case d.request.StreamID == "":
		return d.soleOrigin(registrar.Finding{})
	}
	left := d.deadline.Sub(d.opts.Timer.Now())
	ctx, cancel := context.WithTimeout(ctx, time.Duration(findShare*float64(left)))
	defer cancel()
	f := d.opts.Origins.Find(ctx, d.streamKey(d.request.StreamID))
	if f.Known() || f.Ambiguous || f.Answered < f.Asked {
		return f
	}
	return d.soleOrigin(f)
}

// soleOrigin adds to what was found, for a stream that nobody knows, the only origin that it can have: that of all
// upstreams that could have begun it.
func (d *delivery) soleOrigin(f registrar.Finding) registrar.Finding {
	if d.opts.SoleSoftware == nil || len(d.route.Services) != 1 {
		return f
	}
	if version, ok := d.opts.SoleSoftware(d.opts.Timer.Now(), d.service, soleSpan); ok {
		f.Origin, f.Source = registrar.Origin{Service: d.service, Software: version}, registrar.SourceSole
	}
	return f
}

// refuseUnknown refuses a request that takes up a stream of unknown origin. Another try helps only if a host that may
// know the stream has not answered.
func (d *delivery) refuseUnknown(ctx context.Context) {
	r := Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonOriginUnknown}
	if f := &d.outcome.Finding; !f.Ambiguous && f.Answered < f.Asked {
		r.RetryAfter = retryAfterSilence
	}
	switch {
	case context.Cause(ctx) == errStopped:
		r.Reason, r.RetryAfter = ReasonStopped, retryAfterFull
	case ctx.Err() == context.Canceled:
		r.Reason = ReasonCallerGone
	}
	d.refuse(r)
}

// recordOrigin records where the caller's stream began, as its first event is about to be forwarded. The host to which
// the caller is connected does it.
func (d *delivery) recordOrigin(o registrar.Origin) {
	d.origin, d.outcome.Origin = o, o
	if d.passedOn() || !d.route.Resumable || !o.Known() {
		return
	}
	d.opts.Origins.Record(d.streamKey(d.request.ID), o, d.deadline)
	if d.request.LastEvent != "" && d.request.StreamID != "" {
		d.opts.Origins.Record(d.streamKey(d.request.StreamID), o, d.deadline)
	}
}

// noteSoftwareGone records that no upstream has the software version at which the stream began.
func (d *delivery) noteSoftwareGone() {
	if !d.origin.Known() {
		return
	}
	serves, mayReturn := d.opts.Placer.Serves(d.opts.Timer.Now(), d.service, d.origin.Software)
	if serves {
		return // it has been tried
	}
	d.placementReason, d.retryAfter = ReasonSoftwareGone, 0
	if mayReturn {
		d.retryAfter = retryAfterReturn
	}
}
