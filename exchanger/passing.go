// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/registrar"
)

const (
	// maxUnreached is the number of upstreams without a connection after which a request is passed on.
	maxUnreached = 2
	// maxUnserved is the number of other hosts that cannot serve a request, without those that end, after which it is
	// refused.
	maxUnserved = 2
)

// Relay passes requests on to other hosts. A request is passed on at most once: one that came from another host
// is sent to upstreams or refused.
//
// Each host counts what it does itself. The host that passes a request on counts it for the retry budget and
// withdraws its retries, so that the other host makes only one attempt that may run. The other host queues
// the request, forecasts its wait, remembers its refusal and records in quarantine how its attempt ended.
//
// CutOff and Host must be cheap and must not call the Exchanger, as they are called with its locks held.
type Relay interface {
	// CutOff reports whether this host reaches no upstream while other hosts do.
	CutOff() bool
	// Host returns a host that reaches upstreams and is not excluded; false if there is none.
	Host(exclude []string) (RelayHost, bool)
	// Send passes a request on and waits until its answer begins.
	Send(ctx context.Context, r *Request, o *RelayOptions) (Answer, *RelayFailure)
}

// RelayHost is a host to which requests can be passed on.
type RelayHost struct {
	Name             string
	Address          string // Address is the IP:port for other hosts.
	AvailabilityZone string
}

// RelayOptions are the parameters for passing one request on.
type RelayOptions struct {
	Host      RelayHost
	Age       func() time.Duration // Age returns the time since Request.Start.
	Once      bool                 // Once reports whether the request must run at most once.
	LastEvent string               // LastEvent replaces that of the request.
	// Configuration is the version of the configuration that has decided the request so far.
	Configuration uint64
	// Origin is where the stream that goes on began; zero for a new one.
	Origin registrar.Origin
	// OnOrigin is called with where the other host got the answer when that begins.
	OnOrigin func(o registrar.Origin)
}

// RelayFailure describes a request that was passed on without an answer of an upstream.
type RelayFailure struct {
	forwarder.Failure
	Reason Reason // Reason is why the host refused the request; ReasonNone if that is not known.
}

// passing is the state of a request that may be passed on.
type passing struct {
	avoid    []string // avoid are the hosts that the request is not passed on to any more.
	silent   string   // silent is a host that has sent nothing for long; others are better.
	unserved int      // unserved is the number of hosts that could not serve the request.
	ending   int      // ending is the number of them that end or have ended, which says nothing of others.
	refusal  *Refusal // refusal is the final refusal of a host that could have served the request.
}

// passedOn reports whether another host has passed the request on to this one.
func (e *exchange) passedOn() bool { return e.request.PassedBy != "" }

// maxRuns returns how many attempts may have run.
func (e *exchange) maxRuns() int {
	if e.passedOn() {
		return 1
	}
	return max(1, e.route.MaxAttempts)
}

// cutOff reports whether this host reaches no upstream while other hosts do.
func (e *exchange) cutOff() bool { return e.opts.Relay != nil && e.opts.Relay.CutOff() }

// stranded reports whether no other attempt is to be made: two other hosts cannot serve the request, or it is not to
// be passed on and this host reaches no upstream.
func (d *delivery) stranded() bool {
	switch {
	case d.passing.unserved-d.passing.ending >= maxUnserved, d.passedOn() && d.unreached >= maxUnreached:
		return true
	case !d.cutOff():
		return false
	case d.passedOn():
		d.placementReason = ReasonCutOff
		return true
	case d.passing.unserved == 0:
		return false
	}
	_, ok := d.nextHost(maxUnreached)
	return !ok
}

// nextHost returns the host to which the request is to be passed on; false if it is not to be passed on.
// unreached is the number of upstreams without a connection from which on it is passed on although this host is
// not known to be cut off.
func (d *delivery) nextHost(unreached int) (destination, bool) {
	relay := d.opts.Relay
	if relay == nil || d.passedOn() || d.unreached < unreached && !relay.CutOff() {
		return destination{}, false
	}
	if !d.opts.Timer.Now().Before(d.latestStart()) {
		return destination{}, false
	}
	if d.passing.silent != "" {
		if host, ok := relay.Host(append(slices.Clone(d.passing.avoid), d.passing.silent)); ok {
			return destination{host: &host}, true
		}
	}
	host, ok := relay.Host(d.passing.avoid)
	return destination{host: &host}, ok
}

// leavesQueue reports whether the request is not to wait for an upstream any more, as this host is cut off.
func (d *delivery) leavesQueue() bool {
	if !d.cutOff() {
		return false
	}
	_, ok := d.nextHost(maxUnreached)
	return ok || d.passedOn()
}

// beginPassing records that a request is about to be passed on. The other host decides what happens to it when
// the caller leaves, as it knows whether the request has run.
func (d *delivery) beginPassing(a *attempt) {
	d.placementReason = ReasonNone
	d.outcome.PassedTo, d.outcome.Upstream = a.choice.host.Name, ""
	if d.left != nil {
		context.AfterFunc(d.left, func() { a.cancel(context.Canceled) })
	}
}

// passOn passes a request on and waits until its answer begins.
func (d *delivery) passOn(a *attempt) dispatcher.Result {
	answer, fail := d.opts.Relay.Send(a.ctx, d.request, &RelayOptions{
		Host:      *a.choice.host,
		Age:       func() time.Duration { return d.opts.Timer.Now().Sub(d.request.Start) },
		Once:      !d.route.Repeatable(),
		LastEvent: d.lastEvent(),
		Origin:    d.origin,

		Configuration: d.view.Table.Version(),

		OnOrigin: func(o registrar.Origin) { a.origin = o },
	})
	if fail != nil {
		a.notPassed = fail
		return dispatcher.Failed(&fail.Failure)
	}
	a.answer = answer
	return dispatcher.Result{}
}

// recordNotPassed records why a request that was passed on got no answer of an upstream, and returns the result of
// the attempt. It does nothing for other attempts.
func (d *delivery) recordNotPassed(a *attempt, r dispatcher.Result) dispatcher.Result {
	f := a.notPassed
	if f == nil {
		return r
	}
	switch {
	case f.Ran != forwarder.RanNo:
		if f.Status == 0 {
			d.passing.avoid = append(d.passing.avoid, a.choice.host.Name)
		}
	case isFinal(f.Reason):
		d.passing.refusal = &Refusal{Status: http.StatusServiceUnavailable, Reason: f.Reason, RetryAfter: f.RetryAfter}
		if f.Status == http.StatusTooManyRequests {
			d.passing.refusal.Status = f.Status
		}
	default:
		d.passing.avoid = append(d.passing.avoid, a.choice.host.Name)
		d.passing.unserved++
		if isEnding(f.Reason) || hasEnded(&f.Failure) {
			d.passing.ending++
		}
		r.Reached = false
	}
	return r
}

// unservedReason returns the reason of the refusal of a request that no host could serve.
func (d *delivery) unservedReason() Reason {
	if d.cutOff() {
		return ReasonCutOff
	}
	return ReasonUnreached
}

// isEnding reports whether a host has refused a request as it ends.
func isEnding(r Reason) bool { return r == ReasonDraining || r == ReasonLeaving || r == ReasonStopped }

// hasEnded reports whether a host refused or closed the connection before it had read the request.
func hasEnded(f *forwarder.Failure) bool {
	return f.NoListener || f.Cause == forwarder.CauseLost && f.Ran == forwarder.RanNo
}

// isFinal reports whether other hosts would refuse a request for the same reason.
func isFinal(r Reason) bool {
	switch r {
	case ReasonFull, ReasonOverloaded, ReasonResting, ReasonRateLimited, ReasonTooLarge, ReasonBarred, ReasonNoUpstream, ReasonDeadline, ReasonOriginUnknown, ReasonSoftwareGone:
		return true
	}
	return false
}
