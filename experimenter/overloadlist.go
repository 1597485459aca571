// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/forecaster"
	"amaranthgate.example/amaranthgate/scheduler"
)

// overloadList is an admission for the alternatives that docs/OVERLOAD.md names and scheduler.Admission has
// no option for. It does not share between classes and workspaces, and is for one class only.
type overloadList struct {
	forecaster *forecaster.Forecaster
	peers      func(now time.Time, key arbiter.ClassKey) arbiter.Sums // peers is nil without exchange.
	single     bool                                                   // single orders all requests by latest start, without a late lane.
	mean       bool                                                   // mean refuses by the mean rates instead of their bounds.
	items      []*listItem                                            // items are in the order in which they start.
	started    []*scheduler.Item                                      // started are items that Wake has yet to return.
	lastCheck  time.Time
}

type listItem struct {
	*scheduler.Item
	due  time.Time // due is the latest start for the objective, by the lead that is now known.
	late bool
}

func classKey(it *scheduler.Item) arbiter.ClassKey {
	return arbiter.ClassKey{Service: it.Group, Class: it.Class}
}

// compare orders items in a single queue by latest start: for the objective, or else for the deadline.
func (l *overloadList) compare(a, b *listItem) int {
	startBy := func(i *listItem) time.Time {
		if i.late {
			return i.Latest
		}
		return i.due
	}
	switch {
	case !l.single && a.late != b.late:
		if b.late {
			return -1
		}
		return 1
	case !l.single && a.late:
		return a.First.Compare(b.First)
	}
	return startBy(a).Compare(startBy(b))
}

func (l *overloadList) sort() { slices.SortStableFunc(l.items, l.compare) }

// sums returns what waits at other hosts.
func (l *overloadList) sums(now time.Time, key arbiter.ClassKey) (s arbiter.Sums) {
	if l.peers != nil {
		s = l.peers(now, key)
		l.forecaster.SetPeers(now, key, s)
	}
	return s
}

// judge forecasts the start of the item at an index of the list.
func (l *overloadList) judge(now time.Time, at int, peers arbiter.Sums, queued bool) forecaster.Judgment {
	i := l.items[at]
	onTime, onTimeAhead, lateAhead := 0, 0, 0
	for n, o := range l.items {
		switch {
		case o.late && n < at:
			lateAhead++
		case !o.late && n < at:
			onTimeAhead++
			onTime++
		case !o.late:
			onTime++
		}
	}
	part := 1. // the part of what waits at other hosts that is taken to be ahead
	if queued {
		part = float64(at) / float64(len(l.items))
	}
	q := forecaster.Question{
		OnTimeAhead: onTimeAhead + int(part*float64(peers.OnTime)), LateAhead: lateAhead + int(part*float64(peers.Late)),
		OnTime: onTime + peers.OnTime, Due: i.due, Latest: i.Latest, Queued: queued,
	}
	if l.single {
		q.OnTimeAhead += q.LateAhead
		q.Due = time.Time{} // what arrives later is behind it
	}
	j := l.forecaster.Judge(now, classKey(i.Item), q)
	if l.single {
		j.Lane = arbiter.LaneOnTime
		if now.After(i.due) {
			j.Lane = arbiter.LaneLate
		}
	}
	if l.mean {
		j.Hopeless = j.Wait > 0 && now.Add(j.Wait).After(i.Latest)
	}
	return j
}

// Offer starts, queues or refuses a request.
func (l *overloadList) Offer(now time.Time, it *scheduler.Item) scheduler.Offered {
	key := classKey(it)
	i := &listItem{Item: it}
	l.updateDue(i)
	if !now.After(i.due) {
		l.forecaster.Entered(now, key)
	}
	if len(l.items) == 0 && it.Begin() {
		l.forecaster.Started(now, key)
		return scheduler.Started
	}
	i.late = now.After(i.due)
	l.items = append(l.items, i)
	l.sort()
	j := l.judge(now, slices.Index(l.items, i), l.sums(now, key), false)
	i.late = j.Lane == arbiter.LaneLate
	l.sort()
	l.begin(now)
	if n := slices.Index(l.started, it); n >= 0 {
		l.started = slices.Delete(l.started, n, n+1)
		return scheduler.Started
	}
	if j.Hopeless {
		l.refuse(now, it)
		return scheduler.Refused
	}
	l.forecaster.Observe(now, key, len(l.items))
	return scheduler.Queued
}

func (l *overloadList) updateDue(i *listItem) {
	i.due = i.Due.Add(min(0, i.Lead-l.forecaster.Lead(classKey(i.Item))))
}

func (l *overloadList) refuse(now time.Time, it *scheduler.Item) {
	l.Remove(it)
	l.forecaster.Refused(now, classKey(it))
	it.RetryAfter = l.forecaster.RetryAfter(now, classKey(it), it.Latest)
}

// begin starts the first requests while there is room.
func (l *overloadList) begin(now time.Time) {
	for len(l.items) > 0 && l.items[0].Begin() {
		it := l.items[0].Item
		l.forecaster.Started(now, classKey(it))
		l.started = append(l.started, it)
		l.items = l.items[1:]
	}
}

// Wake starts the requests for which there is room, and refuses those that can't start in time any more.
func (l *overloadList) Wake(now time.Time) (started, refused []*scheduler.Item) {
	const checkInterval = 10 * time.Millisecond
	if now.Sub(l.lastCheck) >= checkInterval && len(l.items) > 0 {
		l.lastCheck = now
		key := classKey(l.items[0].Item)
		peers := l.sums(now, key)
		for at := 0; at < len(l.items); {
			i := l.items[at]
			l.updateDue(i)
			j := l.judge(now, at, peers, true)
			if j.Hopeless || now.After(i.Latest) {
				refused = append(refused, i.Item)
				l.refuse(now, i.Item)
				continue
			}
			i.late = j.Lane == arbiter.LaneLate
			at++
		}
		l.sort()
		l.forecaster.Observe(now, key, len(l.items))
	}
	l.begin(now)
	started, l.started = l.started, nil
	return started, refused
}

// Remove removes a waiting request and reports whether it waited.
func (l *overloadList) Remove(it *scheduler.Item) bool {
	before := len(l.items)
	l.items = slices.DeleteFunc(l.items, func(i *listItem) bool { return i.Item == it })
	return len(l.items) < before
}

// Len returns the number of waiting requests.
func (l *overloadList) Len() int { return len(l.items) }

// turn returns the place of a request among those of all hosts.
func (l *overloadList) turn(it *scheduler.Item) arbiter.Request {
	t := arbiter.Request{Key: classKey(it), Rank: it.Rank, Workspace: it.Workspace, StartBy: it.Due}
	if at := slices.IndexFunc(l.items, func(i *listItem) bool { return i.Item == it }); at >= 0 {
		t.Lane, t.StartBy = l.place(l.items[at])
	}
	return t
}

func (l *overloadList) place(i *listItem) (arbiter.Lane, time.Time) {
	switch {
	case !i.late:
		return arbiter.LaneOnTime, i.due
	case l.single:
		return arbiter.LaneOnTime, i.Latest
	}
	return arbiter.LaneLate, i.Latest
}

// Contention returns what waits, for other hosts.
func (l *overloadList) Contention(now time.Time) arbiter.Local {
	var local arbiter.Local
	for _, key := range l.forecaster.Active(now) {
		b := arbiter.Backlog{Key: key}
		b.Entered, b.Started = l.forecaster.Counts(key)
		for _, i := range l.items {
			if i.late {
				b.Late++
			} else {
				b.OnTime++
			}
		}
		if len(l.items) > 0 {
			lane, startBy := l.place(l.items[0])
			b.Head = arbiter.Head{Lane: lane, Workspace: l.items[0].Workspace, StartWithin: startBy.Sub(now)}
		}
		if p := l.sums(now, key); len(l.items) > 0 || p.OnTime+p.Late > 0 {
			local.Backlogs = append(local.Backlogs, b)
		}
	}
	return local
}
