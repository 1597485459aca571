// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import "time"

// halfTurn is the part of the interval between two grants that an item waits on average for the next
// one.
const halfTurn = 0.5

// RemoveHopeless removes and returns the items whose turn will not come before their latest start, and
// sets their Wait. Only items of groups whose grants are limited by rate can be hopeless.
func (q *Queue) RemoveHopeless(now time.Time) []*Item {
	var hopeless []*Item
	for _, c := range q.list {
		if c.len() == 0 {
			continue
		}
		perSecond, limited := q.classRate(c)
		if !limited {
			continue
		}
		ahead := 0
		for _, it := range c.inOrder() {
			wait := time.Duration((float64(ahead) + halfTurn) / perSecond * float64(time.Second))
			if !now.Add(wait).After(it.Latest) {
				ahead++
				continue
			}
			it.Wait = wait
			hopeless = append(hopeless, it)
		}
	}
	for _, it := range hopeless {
		q.Remove(it)
	}
	return hopeless
}

// classRate returns the rate at which items of a class will be granted, in items a second: the class's
// share, by weight, of the rate of its group. It returns false if the rate is not limited.
func (q *Queue) classRate(c *class) (perSecond float64, limited bool) {
	first := c.head()
	if first.Rate == nil {
		return 0, false
	}
	perSecond, limited = first.Rate()
	if !limited {
		return 0, false
	}
	sum := 0.0
	for _, o := range q.list {
		if o.len() > 0 && o.head().Group == first.Group {
			sum += o.turns()
		}
	}
	return perSecond * c.turns() / sum, true
}

// turns returns how often a class has its turn compared with other classes.
func (c *class) turns() float64 { return c.weight / c.head().Cost }
