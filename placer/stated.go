// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/assessor"
)

const (
	// maxStatementDelay bounds the time from an upstream's statement to its arrival. A header may wait for
	// the first event of a stream, so that the statement was made within the time of the request, close to
	// its arrival.
	maxStatementDelay = 100 * time.Millisecond
	// statementDelayShare is the share of the time of the request that the statement is assumed to take.
	statementDelayShare = 4
	// hiddenTokens is the prefill assumed for a request that other hosts have not reported: the input of a
	// short prompt, as most requests have.
	hiddenTokens = 400
)

// ObserveLoad records what an upstream instance stated of its load in the answer to a request sent at sent.
func (p *Placer) ObserveLoad(now, sent time.Time, instance string, load assessor.Load) {
	if p.observeLoad(now, sent, instance, load, 0) && p.opts.OnUrgent != nil {
		p.opts.OnUrgent()
	}
}

// ObserveRefusal is ObserveLoad for the answer to a request that did not run, which the load does not count.
func (p *Placer) ObserveRefusal(now, sent time.Time, instance string, load assessor.Load) {
	if p.observeLoad(now, sent, instance, load, 1) && p.opts.OnUrgent != nil {
		p.opts.OnUrgent()
	}
}

// ObserveReport records the load that an upstream instance gave in a report, which is somewhat older than its
// arrival.
func (p *Placer) ObserveReport(now time.Time, instance string, load assessor.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.assessor == nil {
		return
	}
	if p.backlogged(now) {
		p.assessor.Discard(1)
	} else {
		p.observeAt(now, now.Add(-reportAge), instance, load, 0)
	}
}

// reportAge is the assumed age of the load in a report.
const reportAge = 300 * time.Millisecond

// observeLoad records a load that does not count the given number of requests in flight.
func (p *Placer) observeLoad(now, sent time.Time, instance string, load assessor.Load, refused int) (urgent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.assessor == nil {
		return false
	}
	madeAt := now.Add(-min(max(now.Sub(sent), 0)/statementDelayShare, maxStatementDelay))
	if p.stalledAt.After(sent) || p.justStalled(now) {
		madeAt = now.Add(-assessor.HiddenTTL) // it arrived at an unknown time during the pause
	}
	return p.observeAt(now, madeAt, instance, load, refused)
}

// observeAt records a load that was stated at a time; p.mu is held.
func (p *Placer) observeAt(now, madeAt time.Time, instance string, load assessor.Load, refused int) (urgent bool) {
	known := assessor.Known{}
	t := p.targetByInstance(instance)
	if t != nil {
		if t.engine != nil {
			known.Slots = t.engine.Slots
		}
		// The time is an estimate, so that all requests that were in flight since then may have been counted.
		known.Requests = t.work().Requests + t.endedSince(madeAt) - refused
	}
	urgent = p.assessor.Observe(now, instance, load, madeAt, known)
	if t != nil {
		t.stated = p.assessor.Record(instance)
		p.setEffects(now, t)
	}
	return urgent
}

// requestEnds are requests of any host that ended at an upstream, as this host learned at a time.
type requestEnds struct {
	at time.Time
	n  int
}

// maxRecentEnds bounds the times of ends that are kept for an upstream. Further ends count as of the last one.
const maxRecentEnds = 32

// recordEnds records that n requests have ended, for statements that are still under way.
func (t *target) recordEnds(now time.Time, n int) {
	if len(t.ends) > 0 && now.Sub(t.ends[0].at) > reportAge {
		t.ends = slices.DeleteFunc(t.ends, func(e requestEnds) bool { return now.Sub(e.at) > reportAge })
	}
	if len(t.ends) < maxRecentEnds {
		t.ends = append(t.ends, requestEnds{at: now, n: n})
		return
	}
	last := &t.ends[len(t.ends)-1]
	last.at, last.n = now, last.n+n
}

// endedSince returns the number of requests that have ended since a time.
func (t *target) endedSince(at time.Time) int {
	n := 0
	for _, e := range t.ends {
		if !e.at.Before(at) {
			n += e.n
		}
	}
	return n
}

// justStalled reports whether this process has stalled since the last call of Watch, if there was one.
func (p *Placer) justStalled(now time.Time) bool { return !p.watchedAt.IsZero() && p.stalled(now) }

// mergeLoads applies the statements in the report of another host; p.mu is held. After a pause of this
// process the time of the report is unknown. The result of Merge is not used: an urgent report would
// tell the other hosts nothing.
func (p *Placer) mergeLoads(now time.Time, loads []assessor.Statement) {
	if p.assessor == nil || len(loads) == 0 {
		return
	}
	if p.backlogged(now) {
		p.assessor.Discard(len(loads))
		return
	}
	p.assessor.Merge(now, loads)
	for _, s := range loads[:min(len(loads), assessor.MaxStatements)] {
		if t := p.targetByInstance(s.Instance); t != nil {
			t.stated = p.assessor.Record(s.Instance)
			p.setEffects(now, t)
		}
	}
}

// backlogged reports whether messages that arrive now may have accumulated during a pause of this process.
func (p *Placer) backlogged(now time.Time) bool {
	return p.justStalled(now) || now.Sub(p.stalledAt) < stallBacklog
}

// stallBacklog is how long after a pause of this process messages may still have accumulated in it.
const stallBacklog = 200 * time.Millisecond

// TakeLoads returns the statements for the next report, full or partial, and clears them. Their ages are as
// of now.
func (p *Placer) TakeLoads(now time.Time) []assessor.Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.assessor == nil {
		return nil
	}
	return p.assessor.Statements(now)
}

// assessInterval is how long the effects computed of a statement are used. In this time its weight falls by
// less than a hundredth.
const assessInterval = 5 * time.Millisecond

// beginChoice counts the intervals in which the effects of statements are computed, so that the candidates of a
// choice need no time arithmetic; p.mu is held.
func (p *Placer) beginChoice(now time.Time) {
	if p.assessor != nil && now.Sub(p.intervalAt).Abs() >= assessInterval {
		p.intervalAt, p.reportedKnown = now, false
		p.interval++
	}
}

// assess computes the effects of an upstream's statement once in each interval, if it has any; p.mu is held.
func (p *Placer) assess(now time.Time, t *target) {
	if t.stating && t.assessedIn != p.interval {
		p.setEffects(now, t)
	}
}

// setEffects computes the stated pace of an upstream, and the requests that it has stated and no host has
// reported; p.mu is held.
func (p *Placer) setEffects(now time.Time, t *target) {
	t.statedPace, t.hidden = t.stated.Pace(now), 0
	if t.stated.MaybeHidden() {
		if !p.reportedKnown {
			p.reportedAt, p.reportedKnown = p.oldestReport(), true
		}
		t.hidden = t.stated.Hidden(now, p.reportedAt)
	}
	t.stating = t.statedPace != 1 || t.hidden > 0
	t.assessedIn = p.interval
}

// oldestReport returns since when all other hosts have reported; zero if none has.
func (p *Placer) oldestReport() time.Time {
	var oldest time.Time
	for _, w := range p.peers {
		if oldest.IsZero() || w.at.Before(oldest) {
			oldest = w.at
		}
	}
	return oldest
}

// workWith returns the work of all hosts with hidden requests.
func (t *target) workWith(hidden int) Work {
	w := t.work()
	if hidden > 0 {
		w.Requests += hidden
		w.Pending += hidden * hiddenTokens
	}
	return w
}

// StatedLoads returns the number of upstreams that state to be slow, and what became of statements.
func (p *Placer) StatedLoads(now time.Time) (slow int, counts assessor.Counts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.assessor == nil {
		return 0, assessor.Counts{}
	}
	return p.assessor.Slowed(now), p.assessor.Counts()
}
