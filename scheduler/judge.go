// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/forecaster"
)

// due returns the latest start of an item that meets its objective, by what is now known of the time from
// start to first byte.
func (a *Admission) due(it *Item) time.Time {
	if it.Due.IsZero() || a.opts.Forecaster == nil {
		return it.Due
	}
	return it.Due.Add(min(0, it.Lead-a.opts.Forecaster.Lead(it.key())))
}

// judgeNew forecasts the start of an item that is offered.
func (a *Admission) judgeNew(now time.Time, it *Item) forecaster.Judgment {
	due := a.due(it)
	f := a.opts.Forecaster
	if f == nil {
		if !due.IsZero() && now.After(due) {
			return forecaster.Judgment{Lane: arbiter.LaneLate}
		}
		return forecaster.Judgment{Lane: arbiter.LaneOnTime}
	}
	peers := a.peers(now, it.key())
	q := forecaster.Question{
		OnTimeAhead: peers.OnTime, OnTime: peers.OnTime, LateAhead: peers.Late,
		Due: due, Latest: it.Latest,
	}
	if c := a.queue.classes[it.key()]; c != nil {
		q.OnTimeAhead += c.ahead(it)
		q.OnTime += c.onTime
		q.LateAhead += c.lateAhead(it)
	}
	return a.judge(now, it, q)
}

// judge forecasts the start of an item. Items that may have run are not hopeless, as they can't be refused
// as not run.
func (a *Admission) judge(now time.Time, it *Item, q forecaster.Question) forecaster.Judgment {
	j := a.opts.Forecaster.Judge(now, it.key(), q)
	j.Hopeless = j.Hopeless && !it.MayHaveRun
	return j
}

// peers returns the sums over the other hosts and passes them to the forecaster.
func (a *Admission) peers(now time.Time, key arbiter.ClassKey) arbiter.Sums {
	if a.opts.Peers == nil {
		return a.opts.Forecaster.Peers(key)
	}
	s := a.opts.Peers(now, key)
	a.opts.Forecaster.SetPeers(now, key, s)
	return s
}

// observe tells the forecaster how many items of the class of an item wait.
func (a *Admission) observe(now time.Time, it *Item) {
	if a.opts.Forecaster != nil {
		n := it.class.len()
		it.class.observed = n > 0
		a.opts.Forecaster.Observe(now, it.key(), n)
	}
}

// judgeWaiting forecasts the starts of all waiting items again. It moves them between the lanes and refuses
// those that can't start in time any more.
func (a *Admission) judgeWaiting(now time.Time) {
	if a.opts.Forecaster == nil {
		return
	}
	for _, c := range a.queue.list {
		if c.len() > 0 {
			a.judgeClass(now, c)
		} else if c.observed {
			c.observed = false
			a.opts.Forecaster.Observe(now, c.key, 0)
		}
	}
}

// judgeClass judges the items of a class in the order in which they will be granted, so that the ones
// refused count for none behind them.
func (a *Admission) judgeClass(now time.Time, c *class) {
	c.observed = true
	peers := a.peers(now, c.key)
	order := c.inOrder()
	onTime, late := float64(c.onTime), float64(len(c.late))
	ahead, lateAhead := 0, 0
	for _, it := range order {
		q := forecaster.Question{OnTime: c.onTime + peers.OnTime, Due: a.due(it), Latest: it.Latest, Queued: true}
		if it.lane == arbiter.LaneOnTime {
			q.OnTimeAhead = ahead + share(peers.OnTime, float64(ahead), onTime)
			q.LateAhead = len(c.late) + peers.Late
		} else {
			q.OnTimeAhead = q.OnTime
			q.LateAhead = lateAhead + share(peers.Late, float64(lateAhead), late)
		}
		switch j := a.judge(now, it, q); {
		case j.Hopeless:
			a.refused = append(a.refused, it)
			a.refuse(now, it)
			continue
		case j.Lane != it.lane:
			a.queue.move(it, j.Lane)
		}
		if it.lane == arbiter.LaneOnTime {
			ahead++
		} else {
			lateAhead++
		}
	}
	a.opts.Forecaster.Observe(now, c.key, c.len())
}

// share returns how many of the items that wait at other hosts are taken to be ahead of one that has some
// of n ahead of it here: as many in proportion.
func share(peers int, ahead, n float64) int {
	return int(float64(peers) * min(1, ahead/max(n, 1)))
}

// refuse removes a hopeless item and assigns it a time to return.
func (a *Admission) refuse(now time.Time, it *Item) {
	a.queue.Remove(it)
	a.observe(now, it)
	a.opts.Forecaster.Refused(now, it.key())
	it.RetryAfter = a.opts.Forecaster.RetryAfter(now, it.key(), it.Latest)
}
