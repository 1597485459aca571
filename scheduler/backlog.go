// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
)

// Contention returns what waits, for the other hosts: the classes with waiting items here or at other
// hosts, in no order, and the work started lately for workspaces with waiting items. The counts of
// classes that wait only elsewhere are included, as forecasts there depend on them.
func (a *Admission) Contention(now time.Time) arbiter.Local {
	a.usage.expire(now)
	var local arbiter.Local
	for _, c := range a.queue.list {
		if c.len() > 0 {
			local.Backlogs = append(local.Backlogs, a.backlog(now, c))
		}
	}
	if f := a.opts.Forecaster; f != nil {
		for _, key := range f.Active(now) {
			if c := a.queue.classes[key]; c != nil && c.len() > 0 {
				continue
			}
			if p := a.peers(now, key); p.OnTime+p.Late > 0 {
				entered, started := f.Counts(key)
				local.Backlogs = append(local.Backlogs, arbiter.Backlog{Key: key, Rank: a.ranks[key], Entered: entered, Started: started})
			}
		}
	}
	local.Usage = a.usages()
	return local
}

// backlog returns the backlog of a class with waiting items.
func (a *Admission) backlog(now time.Time, c *class) arbiter.Backlog {
	it := c.head()
	b := arbiter.Backlog{Key: c.key, Rank: c.rank, OnTime: c.onTime, Late: len(c.late)}
	b.Head = arbiter.Head{Lane: it.lane, Workspace: it.Workspace, StartWithin: a.startBy(it).Sub(now)}
	if a.opts.Forecaster != nil {
		b.Entered, b.Started = a.opts.Forecaster.Counts(c.key)
	}
	return b
}

// startBy returns the latest start that meets the objective of an item on time, or else the deadline.
func (a *Admission) startBy(it *Item) time.Time {
	if it.lane == arbiter.LaneLate || it.Due.IsZero() {
		return it.Latest
	}
	return a.due(it)
}

// usages returns the work started lately for workspaces with waiting items.
func (a *Admission) usages() []arbiter.Usage {
	seen := make(map[usageKey]bool)
	var all []arbiter.Usage
	for _, it := range a.queue.find(func(*Item) bool { return true }) {
		key := usageKey{it.Group, it.Workspace}
		if !seen[key] {
			seen[key] = true
			all = append(all, arbiter.Usage{Service: key.group, Workspace: key.workspace, Work: a.usage.of(key.group, key.workspace)})
		}
	}
	return all
}

// Lanes returns the numbers of waiting items on time and late.
func (a *Admission) Lanes() (onTime, late int) {
	for _, c := range a.queue.list {
		onTime += c.onTime
		late += len(c.late)
	}
	return onTime, late
}
