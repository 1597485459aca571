// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/forecaster"
)

// Offered is the result of Admission.Offer.
type Offered string

// The results.
const (
	Started Offered = "Started"
	Queued  Offered = "Queued"
	Refused Offered = "Refused" // Refused means that the item can't start before its latest start.
)

// AdmissionOptions configure an Admission.
type AdmissionOptions struct {
	// Admit reports whether an item may start now, and counts it as started if so.
	Admit func(it *Item) bool
	// Forecaster forecasts waits; nil for none, so that no item is refused before its latest start.
	Forecaster *forecaster.Forecaster
	// Peers returns the sums of a class over the other hosts; nil for none.
	Peers func(now time.Time, key arbiter.ClassKey) arbiter.Sums
}

// Admission decides which items start, wait and are refused. It is not safe for concurrent use.
type Admission struct {
	opts       AdmissionOptions
	queue      Queue
	started    []*Item   // started are items that Wake has yet to return.
	refused    []*Item   // refused are items that Wake has yet to return.
	now        time.Time // now is the time of the last Offer or Wake.
	lastCheck  time.Time // lastCheck is when Wake last checked the items' times.
	lastJudged time.Time // lastJudged is when Wake last judged the items.
	usage      usage
	ranks      map[arbiter.ClassKey]int // ranks are those of the classes that were offered.
}

// NewAdmission returns an Admission in which nothing waits.
func NewAdmission(opts AdmissionOptions) *Admission {
	return &Admission{opts: opts, ranks: make(map[arbiter.ClassKey]int)}
}

// Len returns the number of waiting items.
func (a *Admission) Len() int { return a.queue.Len() }

// Remove removes a waiting item, whose caller has left, and reports whether it waited. It counts as
// leaving at the time of the last Offer or Wake.
func (a *Admission) Remove(it *Item) bool {
	if !a.queue.Remove(it) {
		return false
	}
	a.observe(a.now, it)
	return true
}

// Offer starts, queues or refuses an item. If others wait it tries them first, in their order: those that
// it starts or refuses are returned by the next Wake, which is to be called at once.
func (a *Admission) Offer(now time.Time, it *Item) Offered {
	a.now = now
	a.enter(now, it)
	if a.startNow(now, it) {
		return Started
	}
	judgment := a.judgeNew(now, it)
	it.Forecast = judgment.Wait
	a.queue.push(it, judgment.Lane)
	if a.admitWaiting(now, it) {
		return Started
	}
	if judgment.Hopeless {
		a.refuse(now, it)
		return Refused
	}
	if it.Rate != nil && a.rejectLimited(now, it) {
		return Refused
	}
	a.observe(now, it)
	return Queued
}

// enter counts an item that is offered if it could still meet its objective.
func (a *Admission) enter(now time.Time, it *Item) {
	f := a.opts.Forecaster
	if f == nil {
		return
	}
	a.ranks[it.key()] = it.Rank
	if it.Due.IsZero() || !now.After(a.due(it)) {
		f.Entered(now, it.key())
	}
}

// startNow starts an item if nothing waits and it can be admitted.
func (a *Admission) startNow(now time.Time, it *Item) bool {
	if a.queue.Len() > 0 || !a.opts.Admit(it) {
		return false
	}
	a.count(now, it)
	return true
}

// admitWaiting starts waiting items until none can be admitted. It reports whether the item offered, which
// may be nil, is one of them, and adds the others to those that Wake returns.
func (a *Admission) admitWaiting(now time.Time, offered *Item) bool {
	startedOffered := false
	for {
		it := a.queue.Pop(a.opts.Admit)
		if it == nil {
			return startedOffered
		}
		a.count(now, it)
		if it == offered {
			startedOffered = true
		} else {
			a.started = append(a.started, it)
		}
	}
}

// count counts the start of an item.
func (a *Admission) count(now time.Time, it *Item) {
	if !it.Left {
		if a.opts.Forecaster != nil {
			a.opts.Forecaster.Started(now, it.key())
		}
		a.usage.add(now, it)
	}
	if it.class != nil {
		a.observe(now, it)
	}
}

// rejectLimited rejects the items that a rate limit leaves no turn in time. It reports whether the item
// offered, which may be nil, is one of them.
func (a *Admission) rejectLimited(now time.Time, offered *Item) bool {
	rejectedOffered := false
	for _, it := range a.queue.RemoveHopeless(now) {
		if it == offered {
			rejectedOffered = true
		} else {
			a.refused = append(a.refused, it)
		}
	}
	return rejectedOffered
}

// checkInterval limits how often Wake checks the times of all waiting items, as it may be called hundreds
// of times per second.
const checkInterval = 10 * time.Millisecond

// judgeInterval limits how often Wake judges all waiting items. It is just below the admission tick of 20 ms,
// so that timer jitter skips no tick.
const judgeInterval = 18 * time.Millisecond

// Wake starts the items that can now be admitted, and refuses those that can't start in time any more. It
// is to be called after a request ended, a load report arrived, and periodically. It also returns what the
// calls of Offer since the last Wake have started and refused besides the items offered.
func (a *Admission) Wake(now time.Time) (started, refused []*Item) {
	a.now = now
	if now.Sub(a.lastCheck) >= checkInterval {
		a.lastCheck = now
		a.refused = append(a.refused, a.queue.RemoveLate(now)...)
		a.queue.Demote(now)
		a.rejectLimited(now, nil)
		if now.Sub(a.lastJudged) >= judgeInterval {
			a.lastJudged = now
			a.judgeWaiting(now)
		}
		a.usage.expire(now)
	}
	a.admitWaiting(now, nil)
	return a.take()
}

// take returns the items that were started and refused since the last call.
func (a *Admission) take() (started, refused []*Item) {
	started, refused = a.started, a.refused
	a.started, a.refused = nil, nil
	return started, refused
}
