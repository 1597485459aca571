// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"time"

	"amaranthgate.example/amaranthgate/lender"
)

// Result is how a request ended at an upstream.
type Result string

const (
	ResultServed Result = "Served"
	ResultFailed Result = "Failed" // ResultFailed is a failure without a whole answer, which counts against the upstream.
	// ResultError is a whole answer with an error, which counts against the upstream but shows that it has
	// finished the request.
	ResultError Result = "Error"
	// ResultRefused means that the upstream was full or not the expected instance.
	ResultRefused Result = "Refused"
	// ResultFull means that the upstream was full and gave no time after which it takes requests again.
	ResultFull        Result = "Full"
	ResultUnreachable Result = "Unreached" // ResultUnreachable means that no connection was established.
	// ResultCallerGone means that the caller left; it says nothing of the upstream.
	ResultCallerGone Result = "Caller"
)

// Ticket is a request in flight at an upstream.
type Ticket struct {
	placer   *Placer
	target   *target
	start    time.Time
	work     Work // work is the request's current share of the upstream's load.
	keys     []PartKey
	parts    []Part
	store    *store // store is the store with a transfer in flight, or nil.
	transfer Work   // transfer is its work at store.
	// expected is the expected time to the first byte.
	expected time.Duration
	// baseline is the estimated time to the first byte at an engine of common speed, without
	// transfers; 0 for plain services.
	baseline       time.Duration
	estimate       time.Duration // estimate is the estimated time to the first token, without penalties; 0 for plain services.
	fetchTime      time.Duration // fetchTime is the estimated time of the transfers.
	fetching       bool          // fetching reports that the upstream has to fetch first.
	onSilent       func()
	lastActivity   time.Time     // lastActivity is when bytes of its answer last arrived.
	paused         bool          // paused reports that this host does not read its answer.
	resumed        time.Time     // resumed is when this host last went on reading; zero if it never paused.
	destination    linkUse       // destination is its share of the link of the upstream.
	source         linkUse       // source is its share of the link of the engine that it fetches from.
	transfersEnd   time.Time     // transfersEnd is when its transfers should have ended.
	queuedTokens   int           // queuedTokens are in flight at store up to the end of this transfer.
	firstPrefilled int           // firstPrefilled is the index of the first part to prefill.
	prefillTokens  int           // prefillTokens is the number of tokens to prefill.
	idle           bool          // idle reports that the engine had almost nothing else to prefill.
	lease          *lender.Lease // lease is the slot of its brittle upstream that another host has lent; nil for none.
	brittle        brittleView   // brittle is what this host knew of its upstream when the request was sent.
	first          bool
	done           bool
}

// First records that the first token has arrived, which ends the prefill.
func (tk *Ticket) First(now time.Time) {
	if tk == nil {
		return
	}
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	if tk.first || tk.done {
		return
	}
	tk.first = true
	tk.target.lastActivity, tk.lastActivity, tk.placer.activeAt = now, now, now
	if tk.work.Pending >= urgentTokens {
		tk.placer.requestReport()
	}
	tk.target.freedAt = now
	tk.target.own.Pending -= tk.work.Pending
	tk.placer.changed[tk.target] = struct{}{}
	tk.work.Pending = 0
	if !tk.spansStall(now) {
		if tk.estimate > 0 && tk.placer.opts.OnFirst != nil {
			tk.placer.opts.OnFirst(now.Sub(tk.start), tk.estimate)
		}
		tk.placer.observeTransfer(now, tk)
		tk.placer.observePace(now, tk)
	}
	tk.endTransfer()
	tk.placer.recordCached(now, tk.target, tk.keys, tk.parts)
	for _, k := range tk.keys {
		tk.placer.prefillEnded(k, nil)
	}
	tk.placer.notifyRoom()
}

// scarce reports whether hosts take turns at an engine and few of its slots are free. Each start
// and end of a request there is then reported at once: hosts that take turns at a free slot must know that it
// is taken before their own turn. With reports every 100 ms, six hosts before 16 slots of two engines sent up
// to 14 requests too many.
func (p *Placer) scarce(t *target) bool {
	return p.turns.ordered > 0 && t.engine != nil && t.engine.Slots-t.own.Requests-t.peers.Requests <= p.turns.reserve+1
}

// requestReport calls Options.OnUrgent.
func (p *Placer) requestReport() {
	if p.opts.OnUrgent != nil {
		p.opts.OnUrgent()
	}
}

// notifyRoom calls Options.OnRoom.
func (p *Placer) notifyRoom() {
	if p.opts.OnRoom != nil {
		p.opts.OnRoom()
	}
}

// endTransfer removes the request's transfers from the load of its store and of links.
func (tk *Ticket) endTransfer() {
	tk.leaveLinks()
	if tk.store != nil {
		tk.store.own.sub(tk.transfer)
		tk.store = nil
	}
}

// Done records the end of the request. Later calls do nothing.
func (tk *Ticket) Done(now time.Time, result Result) {
	if tk == nil {
		return
	}
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	if tk.done {
		return
	}
	tk.done = true
	tk.endTransfer()
	if !tk.first {
		for _, k := range tk.keys {
			tk.placer.prefillEnded(k, tk)
		}
	}
	t := tk.target
	delete(t.tickets, tk)
	if tk.placer.assessor != nil && result != ResultRefused && result != ResultFull {
		t.recordEnds(now, 1)
	}
	if result == ResultServed || result == ResultError || result == ResultRefused || result == ResultFull {
		t.lastActivity, tk.placer.activeAt = now, now
	}
	t.own.sub(tk.work)
	tk.placer.changed[t] = struct{}{}
	t.freedAt = now
	if tk.placer.cut.spans(tk) && (result == ResultFailed || result == ResultUnreachable) {
		result = ResultCallerGone // the failure says nothing of the upstream
	}
	refusedBrittle := false
	switch result {
	case ResultServed:
		tk.placer.answersAgain(now, t)
		t.succeeded(now)
		tk.placer.answered(now, t)
		if !tk.spansStall(now) {
			t.observeServiceTime(now.Sub(tk.start))
		}
	case ResultFull:
		t.failed()
		refusedBrittle = tk.placer.refusedBrittle(now, tk)
		if tk.placer.opts.HoldFull {
			tk.placer.refusedFull(now, tk)
		}
	case ResultError:
		t.failed()
		tk.placer.answered(now, t)
	case ResultFailed:
		t.failed()
		tk.placer.unanswered(now, t)
	case ResultRefused:
		t.failed() // a full upstream also is a worse choice for a while
		refusedBrittle = tk.placer.refusedBrittle(now, tk)
	case ResultUnreachable:
		tk.placer.markSuspect(now, t, EvidenceConnect)
	default:
		t.probing = false
		tk.placer.unanswered(now, t)
	}
	tk.placer.releaseSlot(now, tk, refusedBrittle)
	if tk.placer.scarce(t) {
		tk.placer.requestReport()
	}
	tk.placer.notifyRoom()
	tk.placer.signalLending()
}
