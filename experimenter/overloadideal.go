// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"cmp"
	"slices"
	"time"
)

// PossibleInTime returns how many requests a schedule that knows all of them can serve within the
// objective. arrivals is in the order of time. As all requests take the same time and have the same
// objective, it is found by starting them in the order of their arrival and leaving out those that would
// be late.
func (o OverloadOptions) PossibleInTime(arrivals []time.Duration) int {
	free := make([]time.Duration, o.slots())
	possible := 0
	for _, arrival := range arrivals {
		next := slices.Index(free, slices.Min(free))
		start := max(free[next], arrival+overloadLatency)
		if start+o.ServiceTime+overloadLatency <= arrival+o.Objective {
			free[next] = start + o.ServiceTime
			possible++
		}
	}
	return possible
}

// took is the time from the start of a request at a host to its answer, at a free slot.
func (o OverloadOptions) took() time.Duration { return o.ServiceTime + 2*overloadLatency }

// overloadUse records which slots were left to refused requests: those that were free while nothing
// waited, and those given to requests that could no longer meet their objective.
type overloadUse struct {
	changes []freeSlots
	late    []lateStart
}

// freeSlots is the number of slots that are free, while no request waits at any host, from a time on.
type freeSlots struct {
	at time.Duration
	n  int
}

// lateStart is the start of a request that could no longer meet its objective.
type lateStart struct{ at, first time.Duration }

func (u *overloadUse) setFree(now time.Duration, n int) {
	if last := len(u.changes) - 1; last < 0 || u.changes[last].n != n {
		u.changes = append(u.changes, freeSlots{now, n})
	}
}

// started records the start of a request.
func (u *overloadUse) started(now time.Duration, c *overloadCall, o *OverloadOptions) {
	if now+o.took() > c.first+o.Objective {
		u.late = append(u.late, lateStart{now, c.first})
	}
}

// overloadLosses assigns left slots to refused requests, each to one.
type overloadLosses struct {
	opts    *OverloadOptions
	waiting []*overloadCall // waiting are refused requests that could still start before their deadline, by arrival.
	busy    []time.Duration // busy are the ends of the requests that were assigned a free slot.
	free    int
	n       int
}

// refusedWrongly returns how many of the refused requests, given in the order of their first refusal,
// could have been served before their deadline with slots that were left.
func (u *overloadUse) refusedWrongly(o *OverloadOptions, refused []*overloadCall) int {
	type step struct {
		at  time.Duration
		run func()
	}
	l := overloadLosses{opts: o}
	var steps []step
	for _, c := range u.changes {
		steps = append(steps, step{c.at, func() { l.free = c.n }})
	}
	for _, s := range u.late {
		steps = append(steps, step{s.at, func() { l.assignLate(s) }})
	}
	for _, c := range refused {
		steps = append(steps, step{c.refusedAt, func() { l.add(c) }})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for i, s := range steps {
		s.run()
		end := s.at
		if i+1 < len(steps) {
			end = steps[i+1].at
		}
		l.assignFree(s.at, end)
	}
	return l.n
}

func (l *overloadLosses) add(c *overloadCall) {
	i, _ := slices.BinarySearchFunc(l.waiting, c.first, func(o *overloadCall, first time.Duration) int {
		return cmp.Compare(o.first, first)
	})
	l.waiting = slices.Insert(l.waiting, i, c)
}

// expire drops the requests that can no longer start before their deadline.
func (l *overloadLosses) expire(now time.Duration) {
	l.waiting = slices.DeleteFunc(l.waiting, func(c *overloadCall) bool {
		return now+l.opts.took() > c.deadline(l.opts)
	})
}

// assignLate assigns the slot of a late request to one that goes first by its sub-queue or its age.
func (l *overloadLosses) assignLate(s lateStart) {
	l.expire(s.at)
	for i, c := range l.waiting {
		if onTime := s.at+l.opts.took() <= c.first+l.opts.Objective; onTime || c.first < s.first {
			l.waiting = slices.Delete(l.waiting, i, i+1)
			l.n++
			return
		}
	}
}

// assignFree assigns free slots from one time to another, in which their number does not change.
func (l *overloadLosses) assignFree(from, to time.Duration) {
	for now := from; ; {
		l.expire(now)
		l.busy = slices.DeleteFunc(l.busy, func(end time.Duration) bool { return end <= now })
		for len(l.waiting) > 0 && len(l.busy) < l.free {
			l.waiting = l.waiting[1:]
			l.busy = append(l.busy, now+l.opts.ServiceTime)
			l.n++
		}
		if len(l.waiting) == 0 || len(l.busy) == 0 || l.free == 0 {
			return
		}
		if now = slices.Min(l.busy); now >= to {
			return
		}
	}
}
