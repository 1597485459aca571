// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/forecaster"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/readmitter"
	"amaranthgate.example/amaranthgate/scheduler"
)

// PeerBacklogs tells what waits at other hosts. Sums is called with the lock of the waiting requests held
// and must not call the Exchanger.
type PeerBacklogs interface {
	Sums(now time.Time, key arbiter.ClassKey) arbiter.Sums
}

// newGate returns the gate in which requests wait, with forecasts if they are enabled.
func newGate(opts *Options) *scheduler.Gate {
	admit := func(it *scheduler.Item, _ int) bool { return it.Begin() }
	o := scheduler.AdmissionOptions{Forecaster: opts.Forecaster}
	if opts.Peers != nil {
		o.Peers = opts.Peers.Sums
	}
	return scheduler.NewForecastGate(admit, o)
}

// returns holds the refused requests whose callers may come back.
type returns struct {
	mu     sync.Mutex
	ledger *readmitter.Ledger
}

func newReturns() *returns { return &returns{ledger: readmitter.New(readmitter.Options{})} }

func (r *returns) update(f func(l *readmitter.Ledger)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.ledger)
}

// readmit returns the time of the first attempt of a request that was refused before.
func (r *returns) readmit(now time.Time, id quarantiner.Identity) (first time.Time, ok bool) {
	r.update(func(l *readmitter.Ledger) { first, ok = l.Readmit(now, id) })
	return first, ok
}

// Contention returns what waits at this host and which requests it has refused since the last call, for
// the other hosts.
func (x *Exchanger) Contention(now time.Time) arbiter.Local {
	var local arbiter.Local
	x.gate.Update(func(a *scheduler.Admission) { local = a.Contention(now) })
	x.returns.update(func(l *readmitter.Ledger) { local.Returns = l.Take(now) })
	return local
}

// MergeReturns records the requests that other hosts have refused. It returns how many are invalid, which
// are ignored.
func (x *Exchanger) MergeReturns(now time.Time, returns []arbiter.Return) (invalid int) {
	x.returns.update(func(l *readmitter.Ledger) { invalid = l.Merge(now, returns) })
	return invalid
}

// WaitingByLane returns the numbers of waiting requests that can meet their objective, and of the others.
func (x *Exchanger) WaitingByLane() (onTime, late int) {
	x.gate.Update(func(a *scheduler.Admission) { onTime, late = a.Lanes() })
	return onTime, late
}

// OverloadChanges returns the overloads of classes that have begun or ended since the last call.
func (x *Exchanger) OverloadChanges(now time.Time) (changes []forecaster.Change) {
	if f := x.opts.Forecaster; f != nil {
		x.gate.Update(func(*scheduler.Admission) { changes = f.Changes(now) })
	}
	return changes
}

// classKey returns the key of the request's class.
func (e *exchange) classKey() arbiter.ClassKey {
	return arbiter.ClassKey{Service: e.service, Class: e.class()}
}

// observeLead records the time from the start of an attempt to the first byte of its answer.
func (d *delivery) observeLead() {
	f := d.opts.Forecaster
	if f == nil || d.sent.IsZero() {
		return
	}
	lead := d.opts.Timer.Now().Sub(d.sent)
	d.sent = time.Time{}
	d.gate.Update(func(*scheduler.Admission) { f.ObserveLead(d.classKey(), lead) })
}

// readmit sets the time of the first attempt of a request that was refused before.
func (e *exchange) readmit() {
	e.first = e.request.Start
	if e.opts.Forecaster == nil || e.request.Prompt == nil {
		return
	}
	if first, ok := e.returns.readmit(e.opts.Timer.Now(), e.outcome.Identity); ok && first.Before(e.first) {
		e.first, e.outcome.Readmitted = first, true
	}
}

// turn returns the place of a request among those that wait at all hosts. It is called with the gate's lock
// held, like the forecaster.
func (d *delivery) turn(it *scheduler.Item) arbiter.Request {
	t := arbiter.Request{
		Key: arbiter.ClassKey{Service: it.Group, Class: it.Class}, Rank: it.Rank, Lane: it.Lane(),
		Workspace: it.Workspace, StartBy: it.Latest,
	}
	if it.Lane() == arbiter.LaneLate || it.Due.IsZero() {
		return t
	}
	t.StartBy = it.Due
	if f := d.opts.Forecaster; f != nil {
		t.StartBy = it.Due.Add(min(0, it.Lead-f.Lead(t.Key)))
	}
	if d.opts.Timer.Now().After(t.StartBy) { // such as a request that returns late, and has not been queued
		t.Lane, t.StartBy = arbiter.LaneLate, it.Latest
	}
	return t
}

// overloaded records that the gate refused the request, and when its caller may return.
func (d *delivery) overloaded(it *scheduler.Item) {
	d.placementReason = ReasonOverloaded
	switch {
	case d.passedOn() && d.closed.Load():
		d.placementReason = ReasonLeaving
	case it.RetryAfter > 0:
		d.retryAfter, d.outcome.RefusedEarly = it.RetryAfter, true
		now := d.opts.Timer.Now()
		d.returns.update(func(l *readmitter.Ledger) { l.Refused(now, d.outcome.Identity, d.first, d.deadline) })
	case it.Wait > 0:
		d.placementReason, d.retryAfter = ReasonRateLimited, d.turnAfter(it)
	}
}

// granted compares the wait of a request that starts with its forecast.
func (d *delivery) granted(it *scheduler.Item, verdict placer.Verdict) {
	if verdict == placer.Chosen && it.Forecast > 0 {
		d.outcome.Forecast = it.Forecast
		d.outcome.Queued = d.opts.Timer.Now().Sub(it.Entered)
	}
}
