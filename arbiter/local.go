// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import (
	"slices"
	"time"
)

const (
	// headTolerance is the difference of latest starts up to which a head counts as the same.
	headTolerance = time.Millisecond
	// maxPendingReturns bounds the refused requests that wait for a message. The oldest are dropped.
	maxPendingReturns = 4 * MaxReturns
)

// local is what waits at this host, as of the last call of SetLocal.
type local struct {
	at       time.Time
	backlogs []peerBacklog
	usage    []Usage
	counts   map[ClassKey]counts // counts are the last of each class; they never decrease.
	returns  []pendingReturn
}

// pendingReturn is a refused request that no message has told yet.
type pendingReturn struct {
	identity [16]byte
	first    time.Time
	deadline time.Time
}

// SetLocal sets what waits at this host.
func (a *Arbiter) SetLocal(now time.Time, l Local) {
	a.mu.Lock()
	defer a.mu.Unlock()
	previous := a.local.backlogs
	a.local.at = now
	a.local.usage = slices.Clone(l.Usage)
	a.local.backlogs = make([]peerBacklog, 0, len(l.Backlogs))
	for _, b := range l.Backlogs {
		if !slices.ContainsFunc(a.local.backlogs, func(o peerBacklog) bool { return o.Key == b.Key }) {
			a.local.backlogs = append(a.local.backlogs, a.addLocal(now, b))
		}
	}
	for _, r := range l.Returns {
		a.local.returns = append(a.local.returns, pendingReturn{identity: r.Identity, first: now.Add(-r.FirstAge), deadline: now.Add(r.Remaining)})
	}
	if n := len(a.local.returns) - maxPendingReturns; n > 0 {
		a.local.returns = slices.Delete(a.local.returns, 0, n)
	}
	a.version++
	for i := range a.local.backlogs {
		b := &a.local.backlogs[i]
		o := a.order(now, b.Key.Service)
		b.Head.Starved, b.Head.Under = o.ownStarved[b.Key], o.ownUnder[b.Head.Workspace]
	}
	if !sameHeads(previous, a.local.backlogs) {
		a.outbox.version++
	}
}

// addLocal counts what this host has started of a class, and returns its backlog within the bounds of a
// valid message; a.mu is held.
func (a *Arbiter) addLocal(now time.Time, b Backlog) peerBacklog {
	if a.local.counts == nil {
		a.local.counts = make(map[ClassKey]counts)
	}
	last, known := a.local.counts[b.Key]
	b.Entered, b.Started = max(b.Entered, last.entered), max(b.Started, last.started)
	a.local.counts[b.Key] = counts{b.Entered, b.Started}
	if known && b.Started > last.started {
		a.classWindow(b.Key).count.add(a.period(now), float64(b.Started-last.started))
	}
	b.OnTime, b.Late = min(max(b.OnTime, 0), maxWaiting), min(max(b.Late, 0), maxWaiting)
	b.Rank = min(max(b.Rank, 0), maxRank)
	if b.Head.Lane != LaneOnTime && b.Head.Lane != LaneLate {
		b.Head.Lane = LaneOnTime
	}
	b.Work = a.started[b.Key]
	return peerBacklog{Backlog: b, startBy: now.Add(min(max(b.Head.StartWithin, -maxTime), maxTime))}
}

// sameHeads reports whether the same classes wait with the same heads.
func sameHeads(before, after []peerBacklog) bool {
	return countWaiting(before) == countWaiting(after) && !slices.ContainsFunc(after, func(b peerBacklog) bool {
		return b.waiting() > 0 && !slices.ContainsFunc(before, func(o peerBacklog) bool { return o.sameHead(&b) })
	})
}

func (b *peerBacklog) sameHead(o *peerBacklog) bool {
	return b.waiting() > 0 && b.Key == o.Key && b.Rank == o.Rank && b.Head.Lane == o.Head.Lane && b.Head.Workspace == o.Head.Workspace &&
		b.Head.Starved == o.Head.Starved && b.Head.Under == o.Head.Under &&
		b.startBy.Sub(o.startBy).Abs() <= headTolerance
}

func countWaiting(backlogs []peerBacklog) int {
	n := 0
	for i := range backlogs {
		if backlogs[i].waiting() > 0 {
			n++
		}
	}
	return n
}
