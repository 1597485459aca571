// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/scheduler"
	"amaranthgate.example/amaranthgate/timer"
)

// Times to come back that refused callers are told. Callers wait at most a
// third of what they have left.
const (
	retryUnready = 200 * time.Millisecond // retryUnready is about what a starting host needs to read its beliefs.
	retryFull    = 50 * time.Millisecond  // retryFull is about three plain requests' work.
	// retryBarred is the least time in which an operator can find out and lift the bar; callers
	// that can't wait for so long need not come again.
	retryBarred  = time.Minute
	longestRetry = time.Second // longestRetry bounds what upstreams advise; callers do not wait for longer.
	// longestWait bounds requests of callers that name no time on routes that
	// name none.
	longestWait = 60 * time.Second
)

// Beliefs gives what the host believes now.
type Beliefs interface {
	Load() *follower.View
}

// Options set up an Exchanger.
type Options struct {
	Beliefs Beliefs
	Placer  *placer.Placer
	Sender  Sender
	Budget  *retrier.Shared
	Timer   timer.Service
	// Chosen is told of each upstream that a request is about to be sent to, and of
	// the beliefs that the choice was made by; nil tells nobody.
	Chosen func(r *Request, v *follower.View, c *placer.Choice)
	// Quarantine remembers under which requests upstreams have ended; nil remembers it for
	// this exchanger alone.
	Quarantine Quarantine
	// Refuses tells that nobody listens at an address any more; nil never says so.
	Refuses func(address string) bool
	// Gone tells the same where connections that stand say enough; nil never says so.
	Gone func(address string) bool
	// Ended is told of each request whose upstream has ended with it under way; nil tells
	// nobody.
	Ended func(e Ended)
}

// Quarantine remembers under which requests upstreams have ended.
type Quarantine interface {
	Standing(now time.Time, id quarantiner.Identity) quarantiner.Verdict
	Ended(now time.Time, id quarantiner.Identity, start string, sent time.Time)
	Left(now time.Time, id quarantiner.Identity, start string)
	Gone(now time.Time, start string)
	Served(now time.Time, id quarantiner.Identity)
}

// Exchanger takes requests to their answers. It is safe for concurrent use.
type Exchanger struct {
	opts    Options
	gate    *scheduler.Gate // gate holds requests that no upstream can begin yet.
	handle  dispatcher.Handler[*exchange, Outcome]
	watcher watcher
}

// New returns an Exchanger.
func New(opts Options) *Exchanger {
	if opts.Quarantine == nil {
		opts.Quarantine = quarantiner.New(quarantiner.Options{})
	}
	gate := scheduler.NewGate(func(it *scheduler.Item, _ int) bool { return it.Begin() })
	x := &Exchanger{opts: opts, gate: gate, handle: dispatcher.Chain(forward, informed, routed, identified, bounded)}
	x.watcher.opts = &x.opts
	return x
}

// exchange is one request on its way.
type exchange struct {
	*Exchanger
	request   *Request
	responder Responder
	view      *follower.View
	route     *matcher.Route
	workspace *matcher.Workspace // workspace is nil on public routes.
	service   string
	end       time.Time // end is when the caller's or the route's time is over.
	outcome   Outcome
}

// Handle takes a request to its final answer. ctx ends when the caller leaves.
func (x *Exchanger) Handle(ctx context.Context, r *Request, w Responder) Outcome {
	e := &exchange{Exchanger: x, request: r, responder: w, view: x.opts.Beliefs.Load()}
	o := x.handle(ctx, e)
	o.Took = x.opts.Timer.Now().Sub(r.Start)
	o.Late = e.route != nil && e.route.Objective > 0 && o.First > e.route.Objective
	return o
}

// handler is a step of the chain.
type handler = dispatcher.Handler[*exchange, Outcome]

const (
	// unreadyShare is the part of a caller's time for which a request waits at a host that
	// has just started, and unreadyMost the longest. Callers come back once only, so that a
	// refusal costs them that; a host with a whole core knows what it needs after 0.14 s.
	unreadyShare = 0.08
	unreadyMost  = 300 * time.Millisecond
	unreadyPoll  = 5 * time.Millisecond
)

// becomeReady waits a little for this host to know what is in force.
func (e *exchange) becomeReady(ctx context.Context) {
	most := min(unreadyMost, time.Duration(unreadyShare*float64(e.request.Patience)))
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	tick := time.NewTicker(unreadyPoll)
	defer tick.Stop()
	for !e.view.Ready() {
		select {
		case <-tick.C:
			e.view = e.opts.Beliefs.Load()
		case <-ctx.Done():
			return
		}
	}
}

// informed refuses requests while this host does not know what is in force.
func informed(next handler) handler {
	return func(ctx context.Context, e *exchange) Outcome {
		if !e.view.Ready() {
			e.becomeReady(ctx)
		}
		if !e.view.Ready() {
			return e.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNotReady, RetryAfter: retryUnready})
		}
		return next(ctx, e)
	}
}

// routed finds the route.
func routed(next handler) handler {
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

// identified finds the workspace that the caller's key proves.
func identified(next handler) handler {
	return func(ctx context.Context, e *exchange) Outcome {
		if e.view.Table.Keyed() && !e.route.Public {
			var ok bool
			if e.workspace, ok = e.view.Table.Workspace(e.request.Key); !ok {
				return e.refuse(Refusal{Status: http.StatusUnauthorized, Reason: ReasonNoKey})
			}
		}
		e.identify()
		return next(ctx, e)
	}
}

// bounded ends the work when the request's time is over. A request that must run
// at most once is brought to its end when the caller leaves: breaking it off would
// leave the caller's next question without an answer as well.
func bounded(next handler) handler {
	return func(ctx context.Context, e *exchange) Outcome {
		if !e.route.Repeatable() && e.route.Kind != matcher.KindStream {
			ctx = context.WithoutCancel(ctx)
		}
		e.end = e.request.Start.Add(e.patience())
		ctx, cancel := timer.WithDeadline(ctx, e.opts.Timer, e.end)
		defer cancel()
		return next(ctx, e)
	}
}

// patience is the lesser of the caller's time and the route's.
func (e *exchange) patience() time.Duration {
	wait := longestWait
	if e.route.Timeout > 0 {
		wait = min(wait, e.route.Timeout)
	}
	if e.request.Patience > 0 {
		wait = min(wait, e.request.Patience)
	}
	return wait
}

// forward is the last step: the attempts.
func forward(ctx context.Context, e *exchange) Outcome {
	e.opts.Budget.Request(e.service)
	e.dispatch(ctx)
	return e.outcome
}

// refuse gives the caller an answer of the system's own.
func (e *exchange) refuse(r Refusal) Outcome {
	e.outcome.Status = r.Status
	e.outcome.Reason = r.Reason
	e.responder.Refuse(r)
	return e.outcome
}

// rank is the request's urgency.
func (e *exchange) rank() int {
	if e.workspace != nil && e.workspace.Rank != nil {
		return *e.workspace.Rank
	}
	return e.route.Rank
}

// salt sets apart context of other weight versions and of isolated workspaces.
func (e *exchange) salt(weights uint64) string {
	s := placer.Salt{Model: e.request.Prompt.Model, Weights: weights}
	if e.workspace != nil && e.workspace.Isolated {
		s.Workspace = e.workspace.Name
	}
	return s.String()
}
