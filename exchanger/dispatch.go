// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"time"

	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
)

// maxArrivals bounds how often one request is offered, refusals and connections
// that did not stand included, so that a request does not tour a dead service.
const maxArrivals = 4

// verdict says what an attempt means for the request.
type verdict string

const (
	verdictDone   verdict = "Done"   // verdictDone says that the caller has its final answer.
	verdictNotRun verdict = "NotRun" // verdictNotRun says that the attempt did not run.
	verdictMaybe  verdict = "Maybe"  // verdictMaybe says that the attempt may have run, or ran, without an answer for the caller.
)

// attempt is how one attempt ended.
type attempt struct {
	verdict verdict
	reached bool               // reached tells that an upstream may have seen the request.
	failure *forwarder.Failure // failure is nil if an answer is held back instead.
	held    *held              // held is an answer that may be passed on if no better one comes.
}

// dispatcher makes the attempts of one exchange.
type dispatcher struct {
	*exchange
	tried    []string
	arrivals int  // arrivals counts the upstreams that may have seen the request.
	runs     int  // runs counts the attempts that may have run.
	maybe    bool // maybe tells that one of them may have run.
	last     attempt
	stream   *relay // stream is what the caller has of a stream.
}

func (e *exchange) dispatch(ctx context.Context) {
	d := &dispatcher{exchange: e}
	for {
		choice, ok := d.choose()
		if !ok {
			break
		}
		a := d.try(ctx, choice)
		if a.verdict == verdictDone {
			return
		}
		d.account(a)
		if !d.again(ctx, a) {
			break
		}
	}
	d.conclude(ctx)
}

// choose asks for the next upstream.
func (d *dispatcher) choose() (placer.Choice, bool) {
	ask := &placer.Ask{Service: d.service, Prompt: d.request.Prompt, Exclude: d.tried}
	if ask.Prompt != nil {
		ask.Weights = d.view.Named[ask.Prompt.Model].Version
		ask.SaltOf = d.salt
	}
	return d.opts.Placer.Choose(d.opts.Timer.Now(), ask)
}

func (d *dispatcher) try(ctx context.Context, choice placer.Choice) attempt {
	d.tried = append(d.tried, choice.Upstream.ID)
	d.outcome.Attempts++
	d.outcome.Upstream = choice.Upstream.ID
	d.outcome.Choices = append(d.outcome.Choices, choice)
	dir := &Directions{
		Upstream:  choice.Upstream,
		Remaining: d.end.Sub(d.opts.Timer.Now()),
		Once:      !d.route.Repeatable(),
		Rank:      d.rank(),
		Fetch:     choice.Fetch,
		Until:     choice.Until,
		Save:      choice.Save,
		LastEvent: d.request.LastEvent,
	}
	if d.workspace != nil {
		dir.Workspace = d.workspace.Name
	}
	if d.request.Prompt != nil {
		dir.Weights = choice.Weights
		dir.Salt = d.salt(choice.Weights)
	}
	if d.stream != nil && d.stream.lastID != "" {
		dir.LastEvent = d.stream.lastID
	}
	a := d.send(ctx, choice, dir)
	choice.Ticket.Done(d.opts.Timer.Now(), result(ctx, a))
	return a
}

// send carries out one attempt and passes its answer on.
func (d *dispatcher) send(ctx context.Context, choice placer.Choice, dir *Directions) attempt {
	answer, fail := d.opts.Sender.Send(ctx, d.request, dir)
	if fail != nil {
		a := attempt{verdict: verdictMaybe, reached: fail.Cause != forwarder.CauseConnect, failure: fail}
		if fail.Ran == forwarder.RanNo {
			a.verdict = verdictNotRun
		}
		return a
	}
	defer answer.Close()
	if d.route.Kind == matcher.KindStream && answer.Status() == http.StatusOK {
		return d.relay(answer, choice.Ticket)
	}
	return d.plain(answer, choice.Ticket)
}

// result tells placement how the attempt went.
func result(ctx context.Context, a attempt) placer.Result {
	switch {
	case a.verdict == verdictDone:
		return placer.ResultServed
	case a.held != nil:
		return placer.ResultFailed
	case a.failure.Cause == forwarder.CauseConnect:
		return placer.ResultUnreached
	case a.verdict == verdictNotRun:
		return placer.ResultRefused
	case ctx.Err() == context.Canceled:
		return placer.ResultCaller
	}
	return placer.ResultFailed
}

func (d *dispatcher) account(a attempt) {
	if a.reached {
		d.arrivals++
	}
	if a.verdict == verdictMaybe {
		d.maybe = true
		d.runs++
	}
	if d.last.held == nil || a.held != nil {
		d.last = a
	}
}

// again tells whether another attempt may be made.
func (d *dispatcher) again(ctx context.Context, a attempt) bool {
	switch {
	case ctx.Err() != nil || len(d.tried) >= maxArrivals:
		return false
	case a.verdict == verdictMaybe && !d.route.Repeatable():
		return false
	case d.runs >= max(d.route.MaxAttempts, 1):
		return false
	case d.stream != nil && !d.route.Resumable:
		return false
	case d.arrivals == 0:
		return true // nobody has seen the request: this is still its first attempt
	}
	return d.opts.Budget.Withdraw(d.service)
}

// conclude gives the final answer when no attempt gave it.
func (d *dispatcher) conclude(ctx context.Context) {
	switch {
	case d.stream != nil:
		d.outcome.Reason = ReasonInterrupted
		d.responder.Abort()
	case d.last.held != nil:
		d.passOn(d.last.held)
	case ctx.Err() == context.Canceled:
		d.outcome.Reason = ReasonCallerGone
		d.responder.Abort()
	case d.maybe && ctx.Err() != nil:
		d.refuse(Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonDeadline})
	case d.maybe:
		d.refuse(Refusal{Status: http.StatusBadGateway, Reason: ReasonUnknown})
	default:
		d.refuse(d.notRun(ctx))
	}
	if d.last.failure != nil {
		d.outcome.Detail = d.last.failure.Detail
	}
}

// notRun is the refusal of a request that has not run anywhere.
func (d *dispatcher) notRun(ctx context.Context) Refusal {
	r := Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoUpstream, RetryAfter: retryFull}
	switch {
	case ctx.Err() != nil:
		r.Reason = ReasonDeadline
	case d.last.failure == nil:
	case d.last.failure.Cause == forwarder.CauseConnect:
		r.Reason = ReasonUnreached
	default:
		r.Reason = ReasonFull
		r.RetryAfter = max(r.RetryAfter, min(d.last.failure.RetryAfter, time.Second))
	}
	return r
}
