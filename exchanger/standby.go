// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/dispatcher"
)

// standby makes attempts at other upstreams while the upstream of a request's primary attempt is silent. That
// upstream may have ended or be about to go on, so the primary attempt stays open: whichever upstream answers
// first ends the attempt at the other. A nil standby makes none.
//
// While attempts of the standby are in progress, the goroutine of the primary attempt waits for its upstream and
// does not use the delivery; await and proceed mark the bounds of that time.
type standby struct {
	ctx     context.Context // ctx ends with the request.
	primary *delivery
	attempt *attempt // attempt is the primary attempt.

	mu        sync.Mutex
	armed     bool          // armed reports that start is called when the upstream is silent.
	awaiting  bool          // awaiting reports that the primary attempt waits for its upstream.
	awaitedAt time.Time     // awaitedAt is when it began to wait.
	running   chan struct{} // running is closed when the attempts in progress end; nil without any.
	cancel    context.CancelFunc
	side      *delivery // side records the attempts made since the primary attempt began to wait; nil without any.
	taken     *attempt  // taken is the attempt that has been answered and has ended the primary one.
}

// maxHostSilence is how long a host to which a request was passed on may send nothing. It is longer than the silence
// for which that host leaves an upstream that is its first.
const maxHostSilence = 1500 * time.Millisecond

// newStandby returns the standby of an attempt, or nil if the request must not run again.
func newStandby(ctx context.Context, d *delivery, a *attempt) *standby {
	if !d.route.Repeatable() {
		return nil
	}
	return &standby{ctx: ctx, primary: d, attempt: a}
}

// await is called before the primary attempt waits for its upstream.
func (s *standby) await() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaiting, s.awaitedAt = true, s.primary.opts.Timer.Now()
	s.arm()
}

// arm makes start be called when the upstream, or the host to which the request was passed on, is silent; s.mu is held.
func (s *standby) arm() {
	if s.armed {
		return
	}
	s.armed = true
	if s.attempt.choice.host != nil {
		s.watchHost(maxHostSilence)
		return
	}
	s.attempt.choice.Ticket.OnSilent(s.start)
}

// watchHost calls start when the host to which the request was passed on has sent nothing for maxHostSilence. It looks
// after d.
func (s *standby) watchHost(d time.Duration) {
	s.primary.opts.Timer.After(d, func(now time.Time) {
		s.mu.Lock()
		left := maxHostSilence - now.Sub(s.awaitedAt)
		if !s.awaiting {
			s.armed = false // the next wait arms it again
		} else if left > 0 {
			s.watchHost(left)
		}
		due := s.awaiting && left <= 0
		s.mu.Unlock()
		if due {
			s.start()
		}
	})
}

// proceed is called when the wait of the primary attempt has ended. A part of its answer ends the attempts in
// progress, and a failure waits for them. It returns false if one of them has been answered: the primary attempt is
// over then.
func (s *standby) proceed(received bool) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	s.awaiting = false
	running := s.running
	if running != nil && received {
		s.cancel()
	}
	s.mu.Unlock()
	if running != nil {
		<-running
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.side != nil {
		s.primary.merge(s.side, s.taken != nil)
		s.side = nil
	}
	return s.taken == nil
}

// start starts attempts, unless some are in progress or the primary attempt does not wait.
func (s *standby) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = false
	if !s.awaiting || s.running != nil || s.taken != nil {
		return
	}
	if s.side == nil {
		s.side = s.primary.clone()
		if h := s.attempt.choice.host; h != nil {
			s.side.passing.silent = h.Name
		}
	}
	if !s.side.mayTryAgain() {
		return
	}
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(s.ctx)
	s.running = make(chan struct{})
	go s.run(ctx, s.side, s.running)
}

// run makes attempts until one is answered, or none is possible for now.
func (s *standby) run(ctx context.Context, d *delivery, running chan struct{}) {
	var a *attempt
	for sent := true; sent && a == nil && ctx.Err() == nil && d.mayTryAgain(); {
		a, sent = d.tryBeside(ctx, s.ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a != nil && ctx.Err() != nil {
		d.discard(ctx, a)
		a = nil
	}
	if a != nil {
		s.taken = a
		s.attempt.cancel(errStalled)
	}
	s.cancel()
	s.running = nil
	close(running)
	if s.awaiting && s.taken == nil {
		s.arm()
	}
}

// reader returns a reader of the primary attempt's answer.
func (s *standby) reader(body io.Reader) io.Reader {
	if s == nil {
		return body
	}
	return &standbyReader{body: body, standby: s}
}

// standbyReader reads the answer of a primary attempt.
type standbyReader struct {
	body    io.Reader
	standby *standby
}

// Read returns errStalled if an attempt of the standby has been answered.
func (r *standbyReader) Read(b []byte) (int, error) {
	r.standby.await()
	n, err := r.body.Read(b)
	if !r.standby.proceed(n > 0 || err == io.EOF) {
		return 0, errStalled
	}
	return n, err
}

// clone returns a delivery for attempts beside those of d.
func (d *delivery) clone() *delivery {
	e := *d.exchange
	e.outcome.Choices, e.outcome.Results = slices.Clone(e.outcome.Choices), slices.Clone(e.outcome.Results)
	c := *d
	c.exchange, c.tried, c.failed, c.beside = &e, slices.Clone(d.tried), slices.Clone(d.failed), nil
	c.mayHaveRun, c.retry = true, true
	c.passing.avoid = slices.Clone(d.passing.avoid)
	return &c
}

// merge takes over what the attempts of a clone have recorded. taken reports that one of them goes on.
func (d *delivery) merge(c *delivery, taken bool) {
	d.tried, d.failed, d.withdrawn = c.tried, c.failed, c.withdrawn
	d.beside = append(d.beside, c.beside...)
	d.retry = d.retry || len(c.beside) > 0
	d.mayHaveRun = d.mayHaveRun || slices.ContainsFunc(c.beside, func(r dispatcher.Result) bool { return r.Verdict == dispatcher.MayHaveRun })
	if d.fallback == nil {
		d.fallback = c.fallback
	}
	d.unreached, d.passing.avoid, d.passing.unserved, d.passing.ending = c.unreached, c.passing.avoid, c.passing.unserved, c.passing.ending
	o := &c.outcome
	d.outcome.Attempts, d.outcome.Choices, d.outcome.HeldFull = o.Attempts, o.Choices, o.HeldFull
	d.outcome.BrokenOff, d.outcome.Results = o.BrokenOff, o.Results
	d.outcome.PassedTo, d.outcome.Unshared, d.outcome.Withheld = o.PassedTo, o.Unshared, o.Withheld
	if o.RetrySkipped != SkipNone {
		d.outcome.RetrySkipped = o.RetrySkipped
	}
	if taken {
		d.outcome.Upstream, d.outcome.Waited, d.outcome.PrefillWait = o.Upstream, o.Waited, o.PrefillWait
		d.outcome.Forecast, d.outcome.Queued = o.Forecast, o.Queued
	}
}

// mayTryAgain reports whether the request may be sent to another upstream.
func (d *delivery) mayTryAgain() bool {
	made := d.outcome.Attempts - d.outcome.HeldFull
	return made < maxAttempts && d.outcome.HeldFull < maxHeldAttempts && made-d.unreached-d.passing.unserved < d.maxRuns() && d.Continues()
}

// tryBeside makes an attempt and returns it once its answer could be forwarded, or nil if it fails. sent reports
// whether an attempt was made. The attempt ends with ctx as long as it has not been returned, and with request.
func (d *delivery) tryBeside(ctx, request context.Context) (answered *attempt, sent bool) {
	if !d.Withdraw() {
		return nil, false
	}
	d.withdrawn = true
	choice, ok := d.Choose(ctx)
	if !ok {
		return nil, false
	}
	d.withdrawn = false
	a := d.begin(request, choice)
	stop := context.AfterFunc(ctx, func() { a.cancel(context.Canceled) })
	if d.mayTryAgain() { // the primary attempt is still open, so that nothing is lost with this one
		choice.Ticket.OnSilent(func() { a.cancel(errStalled) })
	}
	r, ok := d.recordNotPassed(a, d.send(a)), false
	if a.answer != nil {
		r, ok = d.readAhead(a)
	}
	switch {
	case ok && stop():
		choice.Ticket.OnSilent(nil)
		return a, true
	case ok:
		r = stalledResult()
	}
	d.abandon(ctx, a, r)
	return nil, true
}

// discard ends an attempt that could be forwarded.
func (d *delivery) discard(ctx context.Context, a *attempt) { d.abandon(ctx, a, stalledResult()) }

// abandon ends an attempt that was made beside another one.
func (d *delivery) abandon(ctx context.Context, a *attempt, r dispatcher.Result) {
	if a.answer != nil {
		a.answer.Close()
	}
	a.cancel(nil)
	d.beside = append(d.beside, d.end(ctx, a, r))
}
