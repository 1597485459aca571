// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/scheduler"
)

// maxAttempts bounds how often one request is offered, refusals and connections
// that did not stand included, so that a request does not tour a dead service.
const maxAttempts = 4

// delivery makes the attempts of one exchange. It is the dispatcher.Way of
// requests whose answers are passed through.
type delivery struct {
	*exchange
	tried  []string
	held   *held  // held is an answer that is passed on if no better one comes.
	framed bool   // framed tells that the end of the last answer could be told from its upstream's.
	stream *relay // stream is what the caller has of a stream.
	// unplaced says why no upstream was chosen; ReasonNone if the endings of attempts do.
	unplaced Reason
}

// dispatch makes attempts and gives the final answer if none of them did.
func (e *exchange) dispatch(ctx context.Context) {
	d := &delivery{exchange: e}
	tries := dispatcher.Run(ctx, dispatcher.Policy{
		Repeatable: e.route.Repeatable(),
		Runs:       e.route.MaxAttempts,
		Attempts:   maxAttempts,
	}, d)
	if !tries.Done() {
		d.conclude(ctx, &tries)
	}
}

// Withdraw implements dispatcher.Way.
func (d *delivery) Withdraw() bool { return d.opts.Budget.Withdraw(d.service) }

// Continues implements dispatcher.Way.
func (d *delivery) Continues() bool { return d.stream == nil || d.route.Resumable }

// Choose implements dispatcher.Way. It waits until an upstream can begin the request.
func (d *delivery) Choose(ctx context.Context) (placer.Choice, bool) {
	ask := d.ask()
	if !d.allowed(ask) {
		return placer.Choice{}, false
	}
	if ask.Prompt != nil && !d.opts.Placer.Fits(d.service, ask.Prompt) {
		d.unplaced = ReasonTooLarge
		return placer.Choice{}, false
	}
	came := d.opts.Timer.Now()
	defer func() { d.outcome.Waited += d.opts.Timer.Now().Sub(came) }()
	for range mostReadings {
		choice, verdict := d.enter(ctx, ask)
		if verdict != placer.Awaits {
			return choice, verdict == placer.Chosen
		}
		d.readElsewhere(ctx, ask.Wait)
		if ctx.Err() != nil {
			return placer.Choice{}, false
		}
	}
	ask.Due = time.Time{}
	choice, verdict := d.enter(ctx, ask)
	return choice, verdict == placer.Chosen
}

// mostReadings bounds how many readings of other requests one waits for: the first may
// fail, and another request begin it anew.
const mostReadings = 2

// readElsewhere waits until an engine has read for another request what this one begins
// with.
func (d *delivery) readElsewhere(ctx context.Context, w placer.Wait) {
	came := d.opts.Timer.Now()
	w.For(ctx)
	d.outcome.Awaited += d.opts.Timer.Now().Sub(came)
}

// ask returns what placement must know of the request.
func (d *delivery) ask() *placer.Ask {
	ask := &placer.Ask{Service: d.service, Prompt: d.request.Prompt, Exclude: d.tried, Objective: d.route.Objective}
	if ask.Prompt != nil {
		ask.SaltOf = d.salt
	}
	if ask.Objective > 0 {
		ask.Due = d.request.Start.Add(ask.Objective)
	}
	ask.Homes = append(ask.Homes, d.route.Regions)
	if d.workspace != nil {
		ask.Homes = append(ask.Homes, d.workspace.Regions)
	}
	return ask
}

// enter waits in the queue until there is something else to say than that all are busy.
func (d *delivery) enter(ctx context.Context, ask *placer.Ask) (placer.Choice, placer.Verdict) {
	var choice placer.Choice
	verdict := placer.Busy
	item := d.item(ask)
	item.Begin = func() bool {
		if !d.allowed(ask) { // others may have met its like while it waited
			verdict = placer.None
			return true
		}
		choice, verdict = d.opts.Placer.Choose(d.opts.Timer.Now(), ask)
		return verdict != placer.Busy
	}
	switch d.gate.Enter(ctx, item) {
	case scheduler.Granted:
		d.gate.Started()
	case scheduler.TooLate:
		d.unplaced = ReasonOverloaded
	}
	return choice, verdict
}

// Try implements dispatcher.Way.
func (d *delivery) Try(ctx context.Context, choice placer.Choice) dispatcher.Result {
	d.tried = append(d.tried, choice.Upstream.ID)
	d.outcome.Attempts++
	d.outcome.Upstream = choice.Upstream.ID
	d.outcome.Choices = append(d.outcome.Choices, choice)
	if d.opts.Chosen != nil {
		d.opts.Chosen(d.request, d.view, &choice)
	}
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
	if s, ok := d.view.Table.Service(choice.Upstream.Service); ok && s.MaxConnections > 0 {
		dir.Connections = max(1, int(connectionShare*float64(s.MaxConnections)))
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
	sent := d.opts.Timer.Now()
	r := d.attempt(ctx, choice, dir)
	choice.Ticket.Done(d.opts.Timer.Now(), d.learn(ctx, choice.Upstream, sent, r))
	return r
}

// errSilent ends an attempt whose upstream has fallen silent.
var errSilent = errors.New("exchanger: the upstream has fallen silent")

// attempt carries out one attempt. One that may be repeated is given up when its upstream
// falls silent, so that another can take it while there is time. The last one is not: the
// silent upstream is the only one that may still answer.
func (d *delivery) attempt(ctx context.Context, choice placer.Choice, dir *Directions) dispatcher.Result {
	if !d.route.Repeatable() || d.outcome.Attempts >= d.route.MaxAttempts {
		return d.send(ctx, choice, dir)
	}
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	choice.Ticket.OnSilent(func() { giveUp(errSilent) })
	r := d.send(ctx, choice, dir)
	if r.Verdict != dispatcher.Done && context.Cause(ctx) == errSilent {
		return dispatcher.Failed(&forwarder.Failure{Cause: forwarder.CauseTimeout, Ran: forwarder.RanUnknown, Detail: errSilent.Error()})
	}
	return r
}

// send carries out one attempt and passes its answer on.
func (d *delivery) send(ctx context.Context, choice placer.Choice, dir *Directions) dispatcher.Result {
	answer, fail := d.opts.Sender.Send(ctx, d.request, dir)
	if fail != nil {
		return dispatcher.Failed(fail)
	}
	defer answer.Close()
	d.framed = answer.Framed()
	if d.route.Kind == matcher.KindStream && answer.Status() == http.StatusOK {
		return d.relay(answer, choice.Ticket)
	}
	return d.plain(answer, choice.Ticket)
}

// forPlacement tells placement how the attempt went.
func forPlacement(ctx context.Context, r dispatcher.Result) placer.Result {
	switch {
	case r.Verdict == dispatcher.Done:
		return placer.ResultServed
	case r.Failure == nil:
		return placer.ResultFailed
	case r.Failure.Cause == forwarder.CauseConnect:
		return placer.ResultUnreached
	case r.Verdict == dispatcher.NotRun:
		return placer.ResultRefused
	case ctx.Err() == context.Canceled:
		return placer.ResultCaller
	}
	return placer.ResultFailed
}

// conclude gives the final answer when no attempt gave it.
func (d *delivery) conclude(ctx context.Context, tries *dispatcher.Tries) {
	ending := tries.Ending(ctx)
	switch {
	case d.stream != nil:
		d.outcome.Reason = interrupted(ending)
		d.responder.Abort()
	case d.held != nil:
		d.passOn(d.held)
	case ending == dispatcher.CallerGone:
		d.outcome.Reason = ReasonCallerGone
		d.responder.Abort()
	case d.unplaced == ReasonBarred && tries.Ran() == forwarder.RanNo:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonBarred, RetryAfter: retryBarred})
	case d.unplaced == ReasonBarred:
		d.refuse(Refusal{Status: http.StatusBadGateway, Reason: ReasonBarred})
	case tries.Ran() == forwarder.RanNo && d.unplaced == ReasonTooLarge:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: d.unplaced}) // it would be no smaller later
	case tries.Ran() == forwarder.RanNo && d.unplaced != ReasonNone:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: d.unplaced, RetryAfter: retryFull})
	case tries.Ran() == forwarder.RanNo:
		d.refuse(notRun(ending, tries))
	case ending == dispatcher.Deadline:
		d.refuse(Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonDeadline})
	default:
		d.refuse(Refusal{Status: http.StatusBadGateway, Reason: ReasonUnknown})
	}
	if fail := tries.Last.Failure; fail != nil {
		d.outcome.Detail = fail.Detail
	}
}

// interrupted says why a stream of which the caller has a part broke off.
func interrupted(ending dispatcher.Ending) Reason {
	switch ending {
	case dispatcher.CallerGone:
		return ReasonCallerGone
	case dispatcher.Deadline:
		return ReasonDeadline
	}
	return ReasonInterrupted
}

// reasons are the words for endings in which a request has not run.
var reasons = map[dispatcher.Ending]Reason{
	dispatcher.Deadline:   ReasonDeadline,
	dispatcher.NoUpstream: ReasonNoUpstream,
	dispatcher.Unreached:  ReasonUnreached,
	dispatcher.Refused:    ReasonFull,
}

// notRun is the refusal of a request that has not run anywhere.
func notRun(ending dispatcher.Ending, tries *dispatcher.Tries) Refusal {
	r := Refusal{Status: http.StatusServiceUnavailable, Reason: reasons[ending], RetryAfter: retryFull}
	if ending == dispatcher.Refused {
		r.RetryAfter = max(r.RetryAfter, min(tries.Last.Failure.RetryAfter, longestRetry))
	}
	return r
}
