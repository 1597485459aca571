// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"container/heap"
	"slices"
	"time"
)

// Item is one waiting request.
type Item struct {
	Class           string
	ClassWeight     float64
	Rank            int // Rank is the class's urgency; 0 is the most urgent.
	Workspace       string
	WorkspaceWeight float64
	Cost            float64   // Cost is the work of the request, in tokens.
	Latest          time.Time // Latest is the latest start that can meet the deadline.
	// Due is the latest start that can meet the objective; zero if there is none.
	// Items past it have a lower weight than those that can still meet theirs.
	Due time.Time
	// Begin starts the request if there is capacity, and reports whether it did. It is
	// for admission by more than class and rank, and may be nil.
	Begin func() bool
	// Group names the capacity that items compete for, such as a service.
	Group string
	// Rate returns the rate at which items like this one may be granted, in items a second, and false
	// if it is not limited. It may be nil.
	Rate func() (perSecond float64, limited bool)
	// Entered is when the item was passed to Gate.Enter. It may be zero if Rate is nil.
	Entered time.Time
	// Wait is set if the item is rejected because its turn would come too late: the time until then.
	Wait time.Duration

	startTag float64
	flow     *flow
	queued   bool
	result   chan EnterResult
}

// Queue holds waiting items. The zero value is an empty queue ready to use.
type Queue struct {
	classes     map[string]*class
	virtualTime float64
	length      int
	pops        uint64
}

type class struct {
	name        string
	skippedPop  uint64 // skippedPop is the number of the last Pop that skipped the class.
	weight      float64
	rank        int
	finishTag   float64
	virtualTime float64
	flows       map[string]*flow
	backlogged  flowHeap // backlogged holds the flows with waiting items.
}

// flow holds the waiting items of one workspace in a class.
type flow struct {
	class     *class
	name      string
	finishTag float64
	items     []*Item
	index     int // index is the flow's position in backlogged.
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// Push adds an item.
func (q *Queue) Push(it *Item) {
	if q.classes == nil {
		q.classes = make(map[string]*class)
	}
	c := q.classes[it.Class]
	if c == nil {
		c = &class{name: it.Class, flows: make(map[string]*flow)}
		q.classes[it.Class] = c
	}
	c.weight, c.rank = it.ClassWeight, it.Rank
	f := c.flows[it.Workspace]
	if f == nil {
		f = &flow{class: c, name: it.Workspace}
		c.flows[it.Workspace] = f
	}
	it.startTag = max(c.virtualTime, f.finishTag)
	f.finishTag = it.startTag + it.Cost/it.WorkspaceWeight
	it.flow = f
	it.queued = true
	f.items = append(f.items, it)
	if len(f.items) == 1 {
		heap.Push(&c.backlogged, f)
		if len(c.backlogged) == 1 {
			c.finishTag = max(c.finishTag, q.virtualTime)
		}
	}
	q.length++
}

// Pop removes and returns the next item for which admit is true, or nil if there is
// none. Only the first item of each class is tried, so that smaller requests of its
// class can't starve a large one.
func (q *Queue) Pop(admit func(it *Item) bool) *Item {
	q.pops++
	for {
		c := q.nextClass()
		if c == nil {
			return nil
		}
		it := c.backlogged[0].items[0]
		if !admit(it) {
			c.skippedPop = q.pops
			continue
		}
		q.virtualTime = max(q.virtualTime, c.finishTag)
		c.finishTag += it.Cost / c.weight
		c.virtualTime = it.startTag
		q.removeAt(c.backlogged[0], 0)
		return it
	}
}

// nextClass returns the non-empty class with the lowest finish tag that this Pop has not skipped.
func (q *Queue) nextClass() *class {
	var best *class
	for _, c := range q.classes {
		if len(c.backlogged) > 0 && c.skippedPop != q.pops && (best == nil || c.before(best)) {
			best = c
		}
	}
	return best
}

func (c *class) before(o *class) bool {
	if c.finishTag != o.finishTag {
		return c.finishTag < o.finishTag
	}
	return c.name < o.name
}

// Remove removes an item and reports whether it was in the queue.
func (q *Queue) Remove(it *Item) bool {
	if !it.queued {
		return false
	}
	for i, o := range it.flow.items {
		if o == it {
			q.removeAt(it.flow, i)
			return true
		}
	}
	return false
}

// removeAt removes the i-th item of a flow.
func (q *Queue) removeAt(f *flow, i int) {
	f.items[i].queued = false
	f.items = append(f.items[:i], f.items[i+1:]...)
	q.length--
	switch {
	case len(f.items) == 0:
		heap.Remove(&f.class.backlogged, f.index)
		delete(f.class.flows, f.name)
	case i == 0:
		heap.Fix(&f.class.backlogged, f.index)
	}
}

// RemoveLate removes and returns the items whose latest start has passed.
func (q *Queue) RemoveLate(now time.Time) []*Item {
	late := q.find(func(it *Item) bool { return now.After(it.Latest) })
	for _, it := range late {
		q.Remove(it)
	}
	return late
}

// lateWeightFactor scales a class's weight for items past their objective. It is small, so that
// these items yield to others, but not 0, so that they don't starve.
const lateWeightFactor = 0.05

// Demote moves items that can no longer meet their objective to a separate class with a
// small weight.
func (q *Queue) Demote(now time.Time) {
	overdue := q.find(func(it *Item) bool { return !it.Due.IsZero() && now.After(it.Due) })
	slices.SortFunc(overdue, func(a, b *Item) int { return a.Due.Compare(b.Due) })
	for _, it := range overdue {
		q.Remove(it)
		it.Due = time.Time{}
		it.Class += lateClassSuffix
		it.ClassWeight *= lateWeightFactor
		q.Push(it)
	}
}

// lateClassSuffix is appended to the class of items past their objective.
const lateClassSuffix = " late"

// find returns the waiting items for which match is true.
func (q *Queue) find(match func(it *Item) bool) []*Item {
	var found []*Item
	for _, c := range q.classes {
		for _, f := range c.flows {
			for _, it := range f.items {
				if match(it) {
					found = append(found, it)
				}
			}
		}
	}
	return found
}

// flowHeap orders flows by the start tag of their first item.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i].items[0].startTag, h[j].items[0].startTag
	if a != b {
		return a < b
	}
	return h[i].name < h[j].name
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}
