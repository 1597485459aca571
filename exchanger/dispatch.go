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
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/scheduler"
)

// maxAttempts limits the attempts of one request, including refusals and failed
// connections, so that it is not sent to every upstream of a failed service.
const maxAttempts = 4

// delivery makes the attempts of one exchange. It implements dispatcher.Attempter for
// requests whose answers are forwarded unchanged.
type delivery struct {
	*exchange
	tried    []string
	fallback *bufferedAnswer   // fallback is the answer to forward if all other attempts fail.
	framing  forwarder.Framing // framing is Answer.Framing of the last answer.
	stream   *streamProgress   // stream is nil until the caller has part of a stream.
	final    bool              // final reports that the caller has part of an answer that only its own rest completes.
	// placementReason says why no upstream was chosen; ReasonNone if attempts determine the reason.
	placementReason Reason
	entered         bool      // entered reports whether the request has entered the gate since the last attempt.
	mayHaveRun      bool      // mayHaveRun reports whether an attempt may have run.
	sent            time.Time // sent is when the current attempt was sent, until its first byte.
	takeover        *attempt  // takeover is the attempt that goes on in the place of the last one; nil for none.
	withdrawn       bool      // withdrawn reports that a retry has been withdrawn and not been made.
	// beside are the results of attempts made beside the current one.
	beside        []dispatcher.Result
	retry         bool          // retry reports that an attempt has failed.
	failed        []string      // failed are the upstreams that have answered with a 5xx, in earlier tries too.
	returned      bool          // returned reports that earlier tries have failed at enough upstreams.
	abandonedWait bool          // abandonedWait reports that the caller left while the request waited.
	retryAfter    time.Duration // retryAfter is when the caller may retry, if placementReason gives a time.
	unreached     int           // unreached is the number of upstreams to which no connection could be opened.
	passing       passing
	triesPart     bool // triesPart reports that the bar of a part of the prompt is suspended for the request.
	// origin is where the caller's stream began, once the caller has a part of it; zero before, and if it is not known.
	origin registrar.Origin
}

// dispatch makes attempts, and writes the final answer if none of them did.
func (e *exchange) dispatch(ctx context.Context) {
	d := &delivery{exchange: e}
	if !d.bind(ctx) {
		return
	}
	d.recallFailures()
	tries := dispatcher.Run(ctx, dispatcher.Policy{
		Repeatable: e.route.Repeatable(),
		Runs:       e.maxRuns(),
		Attempts:   maxAttempts,
		Held:       maxHeldAttempts,
	}, d)
	if d.takeover != nil { // the request has ended meanwhile
		d.discard(ctx, d.takeover)
	}
	if !tries.Done() {
		d.conclude(ctx, &tries)
	}
}

// Withdraw implements dispatcher.Attempter.
func (d *delivery) Withdraw() bool {
	if d.takeover != nil { // its retry was withdrawn when it was made
		return true
	}
	if d.withdrawn {
		d.withdrawn = false
		return true
	}
	ok := d.opts.Budget.Withdraw(d.service)
	if !ok {
		d.outcome.RetrySkipped = SkipNoBudget
	}
	return ok
}

// Continues implements dispatcher.Attempter.
func (d *delivery) Continues() bool {
	if d.final || d.passing.refusal != nil {
		return false
	}
	return (d.stream == nil || d.route.Resumable && d.origin.Known()) && !d.hopeless()
}

// destination is where an attempt is sent: an upstream, or another host that passes it on to one.
type destination struct {
	placer.Choice
	host *RelayHost // host is nil if Choice is set.
}

// Choose implements dispatcher.Attempter. It waits until an upstream has room for the request, unless another
// host is to take it.
func (d *delivery) Choose(ctx context.Context) (destination, bool) {
	if d.takeover != nil {
		return d.takeover.choice, true
	}
	if d.stranded() {
		return destination{}, false
	}
	if to, ok := d.nextHost(maxUnreached); ok {
		return to, true
	}
	choice, ok := d.chooseUpstream(ctx)
	if ok || ctx.Err() != nil || d.abandonedWait || d.stranded() {
		return destination{Choice: choice}, ok
	}
	return d.nextHost(1)
}

// chooseUpstream waits until an upstream has room for the request.
func (d *delivery) chooseUpstream(ctx context.Context) (placer.Choice, bool) {
	ask := d.ask()
	if !d.allowed(ask) {
		return placer.Choice{}, false
	}
	if ask.Prompt != nil && !d.opts.Placer.Fits(d.service, ask.Prompt) {
		d.placementReason = ReasonTooLarge
		return placer.Choice{}, false
	}
	start := d.opts.Timer.Now()
	defer func() { d.outcome.Waited += d.opts.Timer.Now().Sub(start) }()
	for range maxPrefillWaits {
		choice, verdict := d.awaitUpstream(ctx, ask)
		if verdict != placer.AwaitPrefill {
			return choice, verdict == placer.Chosen
		}
		d.awaitPrefill(ctx, ask.Wait)
		if ctx.Err() != nil {
			return placer.Choice{}, false
		}
	}
	ask.Due = time.Time{}
	choice, verdict := d.awaitUpstream(ctx, ask)
	return choice, verdict == placer.Chosen
}

// maxPrefillWaits limits the prefills that one request waits for: the first can fail and
// be restarted by another request.
const maxPrefillWaits = 2

// awaitPrefill waits until the prefill of a shared prefix for another request ends.
func (d *delivery) awaitPrefill(ctx context.Context, w placer.Wait) {
	start := d.opts.Timer.Now()
	w.For(ctx)
	d.outcome.PrefillWait += d.opts.Timer.Now().Sub(start)
}

// ask returns the placement request.
func (d *delivery) ask() *placer.PlacementRequest {
	ask := &placer.PlacementRequest{Service: d.service, Prompt: d.request.Prompt, Exclude: d.tried, Objective: d.route.Objective, Retry: d.retry}
	if ask.Prompt != nil {
		ask.SaltOf = func(weights uint64) string { text, _ := d.salt(weights); return text }
	}
	if ask.Objective > 0 {
		ask.Due = d.first.Add(ask.Objective)
	}
	if d.origin.Known() {
		ask.Software = &d.origin.Software
		ask.Due = time.Time{} // the prefill of another request may be at another version
	}
	ask.Regions = append(ask.Regions, d.route.Regions)
	if d.workspace != nil {
		ask.Regions = append(ask.Regions, d.workspace.Regions)
	}
	return ask
}

// awaitUpstream waits in the queue until placement returns another verdict than Busy.
func (d *delivery) awaitUpstream(ctx context.Context, ask *placer.PlacementRequest) (placer.Choice, placer.Verdict) {
	var choice placer.Choice
	verdict := placer.Busy
	item := d.queueItem(ask)
	item.MayHaveRun, item.Counted = d.mayHaveRun, d.entered
	d.entered = true
	item.Begin = func() bool {
		if d.leavesQueue() {
			verdict, item.Left = placer.None, true
			return true
		}
		if !d.allowed(ask) { // its standing may have changed while it waited
			verdict, item.Left = placer.None, true
			return true
		}
		ask.Turn = d.turn(item)
		choice, verdict = d.opts.Placer.Choose(d.opts.Timer.Now(), ask)
		item.Left = verdict != placer.Chosen
		return verdict != placer.Busy
	}
	if d.left != nil && !d.mayHaveRun {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(d.left, cancel)()
	}
	switch d.gate.Enter(ctx, item) {
	case scheduler.Canceled:
		d.abandonedWait = d.left != nil && d.left.Err() != nil
	case scheduler.Granted:
		d.gate.Started()
		d.granted(item, verdict)
	case scheduler.TooLate:
		d.overloaded(item)
	}
	if verdict == placer.None && !ask.RestEnds.IsZero() {
		d.placementReason, d.retryAfter = ReasonResting, ask.RestEnds.Sub(d.opts.Timer.Now())
	} else if verdict == placer.None {
		d.noteSoftwareGone()
	}
	return choice, verdict
}

// turnAfter returns the time after which the turn of a request like the item would come within its
// deadline.
func (d *delivery) turnAfter(it *scheduler.Item) time.Duration {
	patience := it.Latest.Sub(d.opts.Timer.Now())
	return min(max(it.Wait-patience, retryAfterFull), maxRateRetryAfter)
}

// attempt is one attempt of a request.
type attempt struct {
	number  int // number is that of the attempt among those of the request, from 1.
	choice  destination
	options *SendOptions // options are nil if the request is passed on.
	sent    time.Time    // sent is zero if the request is passed on.
	ctx     context.Context
	cancel  context.CancelCauseFunc
	answer  Answer // answer is nil until it has begun.
	start   []byte // start is the part of its body that has been read ahead.
	read    int    // read is the number of bytes of its body that have been read.
	whole   bool   // whole reports that start is the whole body.
	events  bool   // events reports that an event of it has been forwarded.
	resting bool   // resting reports that the upstream asked for rest.
	// unshared reports that it was sent without the context of other workspaces, as their isolation might be outdated.
	unshared bool
	withheld bool // withheld reports that it was sent without fetches or saves of its choice, which no longer held.
	// notPassed is why a request that was passed on got no answer; nil without a failure.
	notPassed *RelayFailure
	origin    registrar.Origin // origin is where the answer comes from; zero if it is not known.
}

// Try implements dispatcher.Attempter.
func (d *delivery) Try(ctx context.Context, choice destination) dispatcher.Result {
	a := d.takeover
	d.takeover = nil
	if a == nil {
		a = d.begin(ctx, choice)
	}
	defer a.cancel(nil)
	d.sent = a.sent
	s := newStandby(ctx, d, a)
	r := d.complete(a, s)
	if s != nil && s.taken != nil {
		d.takeover = s.taken
		r = stalledResult()
	}
	r = d.end(ctx, a, r)
	r.Beside, d.beside = d.beside, nil
	return r
}

// begin records an attempt that is about to be sent.
func (d *delivery) begin(ctx context.Context, choice destination) *attempt {
	d.outcome.Attempts++
	a := &attempt{number: d.outcome.Attempts, choice: choice}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	if choice.host != nil {
		d.beginPassing(a)
		return a
	}
	d.entered, d.triesPart = false, false
	a.origin = registrar.Origin{Service: choice.Upstream.Service, Software: choice.Upstream.Software}
	d.tried = append(d.tried, choice.Upstream.ID)
	d.outcome.Upstream = choice.Upstream.ID
	d.outcome.Choices = append(d.outcome.Choices, choice.Choice)
	if d.opts.Chosen != nil {
		d.opts.Chosen(d.request, d.view, &choice.Choice)
	}
	a.options, a.sent = d.sendOptions(a), d.opts.Timer.Now()
	a.options.OnNotice = func(n Notice) { d.notice(a, n) }
	return a
}

// sendOptions returns the parameters for sending an attempt to its upstream.
func (d *delivery) sendOptions(a *attempt) *SendOptions {
	choice := &a.choice.Choice
	o := &SendOptions{
		Upstream:  choice.Upstream,
		Once:      !d.route.Repeatable(),
		Rank:      d.rank(),
		LastEvent: d.lastEvent(),
		Instruct:  func() Instructions { return d.instruct(a) },
	}
	if s, ok := d.view.Table.Service(choice.Upstream.Service); ok && s.MaxConnections > 0 {
		o.Connections = max(1, int(connectionShare*float64(s.MaxConnections)))
	}
	if d.workspace != nil {
		o.Workspace = d.workspace.Name
	}
	if d.request.Prompt != nil {
		o.Weights = choice.Weights
	}
	return o
}

// instruct returns what an attempt tells its upstream if it is written now. Attempts beside this one may use the delivery
// meanwhile.
func (d *delivery) instruct(a *attempt) Instructions {
	now := d.opts.Timer.Now()
	choice, i := &a.choice.Choice, Instructions{Remaining: d.deadline.Sub(now)}
	if d.request.Prompt != nil {
		i.Salt, a.unshared = d.salt(choice.Weights)
	}
	// Under another salt other parts are held, and being saved. Parts that an unshared prompt saved would be of use to no
	// other, and stay.
	holds := i.Salt == choice.Salt && !a.unshared
	if holds {
		i.Fetch, i.FetchDeadline = choice.Fetch, choice.FetchDeadline
	}
	if holds && now.Before(choice.SaveUntil) {
		i.Save = choice.Save
	}
	a.withheld = choice.Fetch != nil && i.Fetch == nil || choice.Save != nil && i.Save == nil
	return i
}

// lastEvent returns the ID of the last event that the caller has received; empty if there is none.
func (d *delivery) lastEvent() string {
	if d.stream != nil && d.stream.lastID != "" {
		return d.stream.lastID
	}
	return d.request.LastEvent
}

// send sends an attempt and waits until its answer begins.
func (d *delivery) send(a *attempt) dispatcher.Result {
	if a.choice.host != nil {
		return d.passOn(a)
	}
	answer, fail := d.opts.Sender.Send(a.ctx, d.request, a.options)
	if fail != nil {
		return dispatcher.Failed(fail)
	}
	a.answer = answer
	return dispatcher.Result{}
}

// complete sends an attempt, unless its answer has begun, and forwards the answer.
func (d *delivery) complete(a *attempt, s *standby) dispatcher.Result {
	if a.answer == nil {
		s.await()
		r := d.send(a)
		// An error is no reason to end an attempt that may still succeed.
		received := a.answer != nil && a.answer.Status() < http.StatusInternalServerError
		if !s.proceed(received) && a.answer != nil {
			a.answer.Close()
			return stalledResult()
		}
		if a.answer == nil {
			return d.recordNotPassed(a, r)
		}
	}
	defer a.answer.Close()
	d.framing = a.answer.Framing()
	if !d.fits(a) {
		return misfitResult(a.answer)
	}
	body := d.reader(a, s)
	if d.streams(a.answer) {
		return d.forwardStream(a, body)
	}
	return d.forwardWhole(a, body)
}

// end records how an attempt ended.
func (d *delivery) end(ctx context.Context, a *attempt, r dispatcher.Result) dispatcher.Result {
	r = d.settle(ctx, a, r)
	d.recordAttempt(a, r)
	d.outcome.Unshared = d.outcome.Unshared || a.unshared
	if a.withheld {
		d.outcome.Withheld++
	}
	return r
}

// settle tells placement and quarantine how an attempt ended, and returns its result.
func (d *delivery) settle(ctx context.Context, a *attempt, r dispatcher.Result) dispatcher.Result {
	upstream := a.choice.Upstream
	d.mayHaveRun = d.mayHaveRun || r.Verdict == dispatcher.MayHaveRun
	if a.choice.host != nil {
		d.retry = d.retry || r.Verdict == dispatcher.MayHaveRun
		return r
	}
	if f := r.Failure; f != nil && f.Cause == forwarder.CauseConnect && !f.NoRoom {
		d.unreached++
	}
	d.recordFailure(upstream.ID, r)
	result := d.recordResult(ctx, a, r)
	if d.refusedFull(a, r) {
		result = placer.ResultFull
		d.hold(upstream.ID, &r)
	}
	a.choice.Ticket.Done(d.opts.Timer.Now(), result)
	return r
}

// notice passes on what an upstream said in its answer to a request.
func (d *delivery) notice(a *attempt, n Notice) {
	a.resting = n.Rest.For > 0
	if d.opts.Noticed != nil {
		n.Upstream, n.Sent, n.At = a.choice.Upstream, a.sent, d.opts.Timer.Now()
		n.RequestID, n.Attempt = d.request.ID, a.number
		d.opts.Noticed(n)
	}
}

// errStalled is the cause with which an attempt at a silent upstream is canceled when another one has begun its
// answer.
var errStalled = errors.New("exchanger: another upstream answered while this one was silent")

// stalledResult is the result of an attempt in whose place another one goes on.
func stalledResult() dispatcher.Result {
	return dispatcher.Failed(&forwarder.Failure{Cause: forwarder.CauseTimeout, Ran: forwarder.RanUnknown, Detail: errStalled.Error()})
}

// placementResult converts the result of an attempt for placement.
func placementResult(ctx context.Context, r dispatcher.Result) placer.Result {
	switch {
	case r.Verdict == dispatcher.Done:
		return placer.ResultServed
	case r.Failure == nil:
		return placer.ResultError
	case r.Failure.Cause == forwarder.CauseConnect:
		return placer.ResultUnreachable
	case r.Verdict == dispatcher.NotRun:
		return placer.ResultRefused
	case ctx.Err() == context.Canceled:
		return placer.ResultCallerGone
	}
	return placer.ResultFailed
}

// conclude writes the final answer if no attempt did.
func (d *delivery) conclude(ctx context.Context, tries *dispatcher.Summary) {
	ending := tries.Ending(ctx)
	stopped := context.Cause(ctx) == errStopped
	switch {
	case d.stream != nil:
		d.outcome.Reason = interruptionReason(ending)
		if stopped {
			d.outcome.Reason = ReasonStopped
		}
		d.responder.Abort()
	case d.fallback != nil:
		d.forwardBuffered(d.fallback)
	case stopped && tries.Ran() == forwarder.RanNo:
		d.refuse(StoppedRefusal())
	case stopped:
		d.refuse(Refusal{Status: http.StatusBadGateway, Reason: ReasonStopped})
	case ending == dispatcher.CallerGone, d.abandonedWait && tries.Ran() == forwarder.RanNo:
		d.outcome.Reason = ReasonCallerGone
		d.responder.Abort()
	case d.placementReason == ReasonBarred && tries.Ran() == forwarder.RanNo:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonBarred, RetryAfter: retryAfterBarred})
	case d.placementReason == ReasonBarred:
		d.refuse(Refusal{Status: http.StatusBadGateway, Reason: ReasonBarred})
	case tries.Ran() == forwarder.RanNo && d.passing.refusal != nil:
		d.refuse(*d.passing.refusal)
	case tries.Ran() == forwarder.RanNo && d.passing.unserved > 0:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: d.unservedReason(), RetryAfter: retryAfterFull})
	case tries.Ran() == forwarder.RanNo && d.placementReason == ReasonSoftwareGone:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: d.placementReason, RetryAfter: d.retryAfter})
	case tries.Ran() == forwarder.RanNo && d.placementReason == ReasonTooLarge:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: d.placementReason}) // a retry would not help
	case tries.Ran() == forwarder.RanNo && d.placementReason != ReasonNone:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: d.placementReason, RetryAfter: max(retryAfterFull, d.retryAfter)})
	case tries.Ran() == forwarder.RanNo:
		d.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: notRunReasons[ending], RetryAfter: max(retryAfterFull, d.untilRestEnds())})
	case ending == dispatcher.Deadline:
		d.refuse(Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonDeadline})
	default:
		d.refuse(Refusal{Status: http.StatusBadGateway, Reason: ReasonUnknown})
	}
	if fail := tries.Last.Failure; fail != nil {
		d.outcome.Detail = fail.Detail
	}
}

// interruptionReason returns why a stream was aborted.
func interruptionReason(ending dispatcher.Ending) Reason {
	switch ending {
	case dispatcher.CallerGone:
		return ReasonCallerGone
	case dispatcher.Deadline:
		return ReasonDeadline
	}
	return ReasonInterrupted
}

// notRunReasons maps endings of requests that did not run to reasons.
var notRunReasons = map[dispatcher.Ending]Reason{
	dispatcher.Deadline:   ReasonDeadline,
	dispatcher.NoUpstream: ReasonNoUpstream,
	dispatcher.Unreached:  ReasonUnreached,
	dispatcher.Refused:    ReasonFull,
}

// untilRestEnds returns the time until the first upstream takes requests again if all are resting, and 0
// otherwise.
func (d *delivery) untilRestEnds() time.Duration {
	now := d.opts.Timer.Now()
	if ends := d.opts.Placer.RestEnds(now, d.ask()); !ends.IsZero() {
		return ends.Sub(now)
	}
	return 0
}
