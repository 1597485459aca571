// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
)

// Queue holds waiting items. The zero value is an empty queue ready to use.
type Queue struct {
	classes     map[arbiter.ClassKey]*class
	list        []*class           // list has the classes in the order of their first item, so that equal inputs give equal results.
	credits     map[string]float64 // credits are the late starts that groups may make ahead of items on time.
	virtualTime float64
	length      int
	pops        uint64
}

// class holds the items of a class in two lanes: those on time, by latest start and fair between
// workspaces, and behind them the late ones, by the age of their first attempt.
type class struct {
	key         arbiter.ClassKey
	skippedPop  uint64 // skippedPop is the number of the last Pop that skipped the class.
	weight      float64
	rank        int
	finishTag   float64
	virtualTime float64
	flows       map[string]*flow
	backlogged  flowHeap // backlogged holds the flows.
	onTime      int      // onTime is the number of items in flows.
	late        []*Item
	observed    bool // observed reports whether the forecaster was last told that items wait.
}

// lateCredit is the part of a group's starts that late items may make ahead of items on time of other
// classes, so that a class of which every item is late does not starve.
const lateCredit = 0.05

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

func (c *class) len() int { return c.onTime + len(c.late) }

// head returns the item of a class that is granted next. The class must not be empty.
func (c *class) head() *Item {
	if c.onTime > 0 {
		return c.backlogged[0].items[0]
	}
	return c.late[0]
}

// class returns the class of an item, which may be new.
func (q *Queue) class(it *Item) *class {
	if q.classes == nil {
		q.classes = make(map[arbiter.ClassKey]*class)
	}
	key := it.key()
	c := q.classes[key]
	if c == nil {
		c = &class{key: key, flows: make(map[string]*flow)}
		q.classes[key] = c
		q.list = append(q.list, c)
	}
	c.weight, c.rank = it.ClassWeight, it.Rank
	return c
}

// Push adds an item to the lane on time of its class.
func (q *Queue) Push(it *Item) { q.push(it, arbiter.LaneOnTime) }

func (q *Queue) push(it *Item, lane arbiter.Lane) {
	c := q.class(it)
	if c.len() == 0 {
		c.finishTag = max(c.finishTag, q.virtualTime)
	}
	it.lane, it.class, it.queued = lane, c, true
	q.length++
	if lane == arbiter.LaneLate {
		c.late = slices.Insert(c.late, c.lateAhead(it), it)
		return
	}
	c.onTime++
	f := c.flows[it.Workspace]
	if f == nil {
		f = &flow{name: it.Workspace, tag: c.virtualTime, items: []*Item{it}}
		c.flows[it.Workspace] = f
		it.flow = f
		heap.Push(&c.backlogged, f)
		return
	}
	it.flow = f
	i := f.place(it)
	f.items = slices.Insert(f.items, i, it)
	if i == 0 {
		heap.Fix(&c.backlogged, f.index)
	}
}

// Pop removes and returns the next item for which admit is true, or nil if there is none. Only the first
// item of each class is tried, so that smaller requests of its class can't starve a large one. Classes of
// which only late items wait are tried after the others of their group, but for one in 20 starts.
func (q *Queue) Pop(admit func(it *Item) bool) *Item {
	q.pops++
	for {
		c := q.nextClass()
		if c == nil {
			return nil
		}
		it := c.head()
		if !admit(it) {
			c.skippedPop = q.pops
			continue
		}
		q.credit(it)
		q.virtualTime = max(q.virtualTime, c.finishTag)
		c.finishTag += it.Cost / c.weight
		if f := it.flow; f != nil {
			c.virtualTime = f.tag
			f.tag += it.work()
		}
		q.Remove(it)
		return it
	}
}

// nextClass returns the next non-empty class that this Pop has not skipped.
func (q *Queue) nextClass() *class {
	var best *class
	for _, c := range q.list {
		if c.len() > 0 && c.skippedPop != q.pops && (best == nil || q.before(c, best)) {
			best = c
		}
	}
	return best
}

// before orders classes with items on time before those of which only late ones wait, except for groups
// with credit, and each by finish tag.
func (q *Queue) before(c, o *class) bool {
	if a, b := q.yields(c), q.yields(o); a != b {
		return b
	}
	if c.finishTag != o.finishTag {
		return c.finishTag < o.finishTag
	}
	return cmp.Or(cmp.Compare(c.key.Class, o.key.Class), cmp.Compare(c.key.Service, o.key.Service)) < 0
}

// yields reports whether a class waits for those with items on time.
func (q *Queue) yields(c *class) bool {
	return c.onTime == 0 && q.credits[c.key.Service] < 1
}

// credit counts the start of an item on time while late items of other classes wait in its group, and
// that of a late item ahead of items on time.
func (q *Queue) credit(it *Item) {
	behind := false // behind reports whether items wait in classes of the other lane
	for _, c := range q.list {
		if c != it.class && c.len() > 0 && c.key.Service == it.Group && c.head().lane != it.lane {
			behind = true
			break
		}
	}
	if !behind {
		return
	}
	if q.credits == nil {
		q.credits = make(map[string]float64)
	}
	if it.lane == arbiter.LaneOnTime {
		q.credits[it.Group] = min(q.credits[it.Group]+lateCredit, 1)
	} else {
		q.credits[it.Group] = max(q.credits[it.Group]-1, 0)
	}
}

// Remove removes an item and reports whether it was in the queue.
func (q *Queue) Remove(it *Item) bool {
	if !it.queued {
		return false
	}
	it.queued = false
	q.length--
	c, f := it.class, it.flow
	if f == nil {
		c.late = slices.DeleteFunc(c.late, func(o *Item) bool { return o == it })
		return true
	}
	it.flow = nil
	c.onTime--
	first := f.remove(it) == 0
	switch {
	case len(f.items) == 0:
		heap.Remove(&c.backlogged, f.index)
		delete(c.flows, f.name)
	case first:
		heap.Fix(&c.backlogged, f.index)
	}
	return true
}

// RemoveLate removes and returns the items whose latest start has passed.
func (q *Queue) RemoveLate(now time.Time) []*Item {
	late := q.find(func(it *Item) bool { return now.After(it.Latest) })
	for _, it := range late {
		q.Remove(it)
	}
	return late
}

// Demote moves items that can no longer meet their objective to the late lanes.
func (q *Queue) Demote(now time.Time) {
	overdue := q.find(func(it *Item) bool { return it.flow != nil && !it.Due.IsZero() && now.After(it.Due) })
	for _, it := range overdue {
		q.move(it, arbiter.LaneLate)
	}
}

// move moves an item to a lane of its class.
func (q *Queue) move(it *Item, lane arbiter.Lane) {
	q.Remove(it)
	q.push(it, lane)
}

// find returns the waiting items for which match is true.
func (q *Queue) find(match func(it *Item) bool) []*Item {
	var found []*Item
	for _, c := range q.list {
		for _, f := range c.backlogged {
			for _, it := range f.items {
				if match(it) {
					found = append(found, it)
				}
			}
		}
		for _, it := range c.late {
			if match(it) {
				found = append(found, it)
			}
		}
	}
	return found
}

// tagged is an item with its start tag.
type tagged struct {
	*Item
	tag float64
}

// inOrder returns the items of a class in the order in which they will be granted.
func (c *class) inOrder() []*Item {
	all := make([]tagged, 0, c.onTime)
	for _, f := range c.backlogged {
		tag := f.tag
		for _, it := range f.items {
			all = append(all, tagged{it, tag})
			tag += it.work()
		}
	}
	slices.SortFunc(all, func(a, b tagged) int {
		switch {
		case before(a.tag, a.Item, b.tag, b.Item):
			return -1
		case before(b.tag, b.Item, a.tag, a.Item):
			return 1
		}
		return 0
	})
	order := make([]*Item, 0, c.len())
	for _, it := range all {
		order = append(order, it.Item)
	}
	return append(order, c.late...)
}

// lateAhead returns the number of late items of the class that would be granted before a new late one.
func (c *class) lateAhead(it *Item) int {
	i, _ := slices.BinarySearchFunc(c.late, it, byAge)
	return i
}

// byAge orders late items by the time of their first attempt, and one of the same age behind the others.
func byAge(a, b *Item) int { return cmp.Or(a.first().Compare(b.first()), -1) }

// ahead returns the number of items of the class on time that are counted ahead of a new one: those that
// would be granted before it if it were the last of its workspace. A request that returns is placed before
// newer ones of its workspace, which would be late for it if it were accepted by its own place alone.
func (c *class) ahead(it *Item) int {
	tag, own := c.virtualTime, c.flows[it.Workspace]
	n := 0
	if own != nil {
		n = len(own.items)
		tag = own.tag
		for _, o := range own.items {
			tag += o.work()
		}
	}
	for _, f := range c.backlogged {
		if f == own {
			continue
		}
		at := f.tag
		for _, o := range f.items {
			if !before(at, o, tag, it) {
				break
			}
			n++
			at += o.work()
		}
	}
	return n
}
