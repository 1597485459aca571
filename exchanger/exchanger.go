// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forecaster"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/scheduler"
	"amaranthgate.example/amaranthgate/timer"
)

// Values of Retry-After, and bounds of times.
const (
	retryAfterNotReady = 200 * time.Millisecond // retryAfterNotReady is about the time until a starting host is ready.
	retryAfterFull     = 50 * time.Millisecond
	// retryAfterBarred is the least time in which an operator can find out and lift the bar. Callers that
	// can't wait that long need not retry.
	retryAfterBarred  = time.Minute
	maxRateRetryAfter = time.Minute // maxRateRetryAfter limits the time until the turn of a request under a rate limit.
	maxTimeout        = 60 * time.Second
)

// ViewSource returns the host's current view of the configuration and the upstreams.
type ViewSource interface {
	Load() *follower.View
}

// Options configure an Exchanger.
type Options struct {
	Views  ViewSource
	Placer *placer.Placer
	Sender Sender
	Budget *retrier.SharedBudgets
	Timer  timer.Service
	// HoldFull lets requests wait for upstreams that refused them as full, and ends retries of requests that
	// fail at two upstreams.
	HoldFull bool
	// Chosen is called before each attempt, with the view that the choice is based on;
	// optional.
	Chosen func(r *Request, v *follower.View, c *placer.Choice)
	// Quarantine defaults to one that is local to this Exchanger.
	Quarantine Quarantine
	// Refuses probes whether no process listens at an address; nil means false.
	Refuses func(address string) bool
	// Terminated is like Refuses, but takes an open connection as proof of a running process;
	// nil means false.
	Terminated func(address string) bool
	// Ended is called for each request whose upstream terminated while it was in progress;
	// optional.
	Ended func(e Ended)
	// AnswerEnded is called with the end of each answer whose body has been read; optional.
	AnswerEnded func(e AnswerEnd)
	// Noticed is called with what upstreams say of themselves in answers; optional.
	Noticed func(n Notice)
	// Forecaster forecasts waits, so that requests that can't start before their deadline are refused at
	// once; nil for none. It must not be used by others.
	Forecaster *forecaster.Forecaster
	// Draining reports whether this host drains; nil if it never does.
	Draining func() (Drain, bool)
	// Peers tells the Forecaster what waits at other hosts; nil for none.
	Peers PeerBacklogs
	// Relay passes requests on to other hosts while this one reaches no upstream; nil for none.
	Relay Relay
	// Origins knows where streams began; it defaults to one that knows only those of this Exchanger.
	Origins Origins
	// SoleSoftware returns the only software version that upstreams of a service have had on any host for a time;
	// false if there were several or that is not known. It is optional.
	SoleSoftware func(now time.Time, service string, span time.Duration) (version string, ok bool)
	// Confirmed reports whether the configuration is in force as far as this host can know; nil means that it is.
	Confirmed func() bool
}

// Quarantine records during which requests upstreams terminated, and decides which
// requests are suspect or barred, by themselves or by the parts of their prompts.
type Quarantine interface {
	Standing(now time.Time, id quarantiner.Identity) quarantiner.Verdict
	PartsStanding(now time.Time, parts []quarantiner.Identity) (quarantiner.Standing, quarantiner.Identity)
	Begun(now time.Time, parts []quarantiner.Identity)
	Ended(now time.Time, ev quarantiner.Evidence, instance string, sent time.Time)
	Abandoned(now time.Time, ev quarantiner.Evidence, instance string)
	InstanceEnded(now time.Time, instance string)
	Served(now time.Time, id quarantiner.Identity)
}

// Exchanger processes requests. It is safe for concurrent use.
type Exchanger struct {
	opts    Options
	gate    *scheduler.Gate // gate queues requests while no upstream has room.
	handle  dispatcher.Handler[*exchange, Outcome]
	watcher watcher
	returns *returns
	// durations are those of answered requests.
	durations Durations
	taken     atomic.Int64 // taken is the number of requests in progress that were not refused because of a drain.
	brief     atomic.Int64 // brief is the number of requests that were taken during a drain and are probably short, for BriefTime after that.
	closed    atomic.Bool  // closed is set by Close.
	// failures are requests that upstreams have answered with a 5xx.
	failures failedRequests
	// stopped is done when requests in progress are to end, which stop causes.
	stopped context.Context
	stop    context.CancelFunc
}

// New returns an Exchanger.
func New(opts Options) *Exchanger {
	if opts.Quarantine == nil {
		opts.Quarantine = quarantiner.New(quarantiner.Options{})
	}
	if opts.Origins == nil {
		opts.Origins = registrar.New(registrar.Options{Timer: opts.Timer})
	}
	x := &Exchanger{opts: opts, gate: newGate(&opts), returns: newReturns(), handle: dispatcher.Chain(forward, requireReady, matchRoute, authenticate, limitTime, refuseUnfinishable)}
	x.watcher.opts = &x.opts
	x.stopped, x.stop = context.WithCancel(context.Background())
	return x
}

// exchange is the processing of one request.
type exchange struct {
	*Exchanger
	request   *Request
	responder Responder
	view      *follower.View
	route     *matcher.Route
	workspace *matcher.Workspace // workspace is nil on public routes.
	service   string
	deadline  time.Time
	// left is done when the caller has left, of requests that go on then; nil for others.
	left    context.Context
	parts   []quarantiner.Identity // parts are those of the prompt that other requests may have.
	first   time.Time              // first is the time of the caller's first attempt, if that was refused, or else of this one.
	outcome Outcome
}

// Handle processes a request up to its final answer. ctx must be canceled when the
// caller leaves.
func (x *Exchanger) Handle(ctx context.Context, r *Request, w Responder) Outcome {
	e := &exchange{Exchanger: x, request: r, responder: w, view: x.opts.Views.Load()}
	o := x.handle(ctx, e)
	o.Took = x.opts.Timer.Now().Sub(r.Start)
	if o.Reason == ReasonNone && e.route != nil {
		x.durations.Record(e.route.Name, o.Took)
	}
	o.Late = e.route != nil && e.route.Objective > 0 && o.First > e.route.Objective
	return o
}

// Judge returns the refusal of a request whose route or key is not configured, as far as this host knows; false if there is none.
// The body need not have been read.
func (x *Exchanger) Judge(r *Request) (Refusal, bool) {
	e := &exchange{Exchanger: x, request: r, view: x.opts.Views.Load()}
	if !e.ready() {
		return Refusal{}, false
	}
	route, ok := e.view.Table.Route(r.Host, r.Path)
	switch {
	case !ok:
		return Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute}, true
	case !e.view.Table.RequiresKeys() || route.Public:
		return Refusal{}, false
	}
	if _, ok := e.view.Table.Workspace(r.Key); !ok {
		return Refusal{Status: http.StatusUnauthorized, Reason: ReasonNoKey}, true
	}
	return Refusal{}, false
}

type handler = dispatcher.Handler[*exchange, Outcome]

const (
	// readyWaitShare and maxReadyWait limit how long a request waits for a starting host,
	// as a share of the caller's timeout and in total. Callers retry only once, so that a
	// refusal costs them that retry; a host with a whole core is ready after 0.14 s.
	readyWaitShare    = 0.08
	maxReadyWait      = 300 * time.Millisecond
	readyPollInterval = 5 * time.Millisecond
)

// awaitReady waits until this host has a ready view or the wait limit has passed.
func (e *exchange) awaitReady(ctx context.Context) {
	limit := min(maxReadyWait, time.Duration(readyWaitShare*float64(e.request.Timeout)))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for !e.ready() {
		select {
		case <-tick.C:
			e.view = e.opts.Views.Load()
		case <-ctx.Done():
			return
		}
	}
}

// ready reports whether the view can decide the request.
func (e *exchange) ready() bool {
	return e.view.Ready() && e.view.Table.Version() >= e.request.Configuration
}

// requireReady refuses requests while this host has no ready view, or an older configuration than the host that passed
// the request on.
func requireReady(next handler) handler {
	return func(ctx context.Context, e *exchange) Outcome {
		if !e.ready() {
			e.awaitReady(ctx)
		}
		if !e.ready() {
			return e.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNotReady, RetryAfter: retryAfterNotReady})
		}
		return next(ctx, e)
	}
}

// matchRoute sets the route and selects the service.
func matchRoute(next handler) handler {
	return func(ctx context.Context, e *exchange) Outcome {
		var ok bool
		if e.route, ok = e.view.Table.Route(e.request.Host, e.request.Path); !ok {
			return e.refuse(Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute})
		}
		e.service = e.route.Pick(rand.Float64())
		e.outcome.Route, e.outcome.Service = e.route.Name, e.service
		return next(ctx, e)
	}
}

// authenticate sets the workspace of the caller's key, except on public routes.
func authenticate(next handler) handler {
	return func(ctx context.Context, e *exchange) Outcome {
		if e.view.Table.RequiresKeys() && !e.route.Public {
			var ok bool
			if e.workspace, ok = e.view.Table.Workspace(e.request.Key); !ok {
				return e.refuse(Refusal{Status: http.StatusUnauthorized, Reason: ReasonNoKey})
			}
		}
		e.identify()
		return next(ctx, e)
	}
}

// errStopped is the cause with which requests in progress are canceled when this host has to end.
var errStopped = errors.New("exchanger: this host has to end")

// Stop ends all requests in progress and later ones. A caller without a part of an answer gets a refusal, which says
// whether the request may have run.
func (x *Exchanger) Stop() { x.stop() }

// Stopped returns the context that Stop ends.
func (x *Exchanger) Stopped() context.Context { return x.stopped }

// StoppedRefusal returns the refusal of a request that has not run as this host had to end.
func StoppedRefusal() Refusal {
	return Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonStopped, RetryAfter: retryAfterFull}
}

// limitTime sets the deadline. A request that must run at most once is not canceled
// when the caller leaves, as that would leave its result unknown, unless it waits and cannot have run yet.
func limitTime(next handler) handler {
	return func(ctx context.Context, e *exchange) Outcome {
		if !e.route.Repeatable() && e.route.Kind != matcher.KindStream {
			e.left = ctx
			ctx = context.WithoutCancel(ctx)
		}
		ctx, stop := context.WithCancelCause(ctx)
		defer stop(nil)
		defer context.AfterFunc(e.stopped, func() { stop(errStopped) })()
		e.deadline = e.request.Start.Add(e.timeout())
		ctx, cancel := timer.WithDeadline(ctx, e.opts.Timer, e.deadline)
		defer cancel()
		return next(ctx, e)
	}
}

// timeout returns the smallest of the caller's timeout, the route's and maxTimeout.
func (e *exchange) timeout() time.Duration {
	timeout := maxTimeout
	if e.route.Timeout > 0 {
		timeout = min(timeout, e.route.Timeout)
	}
	if e.request.Timeout > 0 {
		timeout = min(timeout, e.request.Timeout)
	}
	return timeout
}

// forward is the last handler of the chain, which makes the attempts. A request that another host has passed on
// counts there for the retry budget.
func forward(ctx context.Context, e *exchange) Outcome {
	if !e.passedOn() {
		e.opts.Budget.Request(e.service)
	}
	e.readmit()
	e.dispatch(ctx)
	return e.outcome
}

// refuse answers the request with a refusal.
func (e *exchange) refuse(r Refusal) Outcome {
	e.outcome.Status = r.Status
	e.outcome.Reason = r.Reason
	e.responder.Refuse(r)
	return e.outcome
}

// rank returns the request's rank, 0 being the most urgent.
func (e *exchange) rank() int {
	if e.workspace != nil && e.workspace.Rank != nil {
		return *e.workspace.Rank
	}
	return e.route.Rank
}
