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
	Cost            float64   // Cost is the work that the request brings, in tokens.
	Latest          time.Time // Latest is when a start would be too late for the deadline.
	// Due is when a start would be too late for the objective; zero if there is none.
	// From then on the item yields to those that can still be on time.
	Due time.Time
	// Begin starts the request if there is room for it and reports whether there was.
	// It is for rooms that depend on more than class and rank, and may be nil.
	Begin func() bool

	start   float64
	flow    *flow
	queued  bool
	verdict chan Verdict
}

// Queue holds waiting items. The zero value is empty and ready.
type Queue struct {
	classes map[string]*class
	virtual float64
	length  int
	pops    uint64
}

type class struct {
	name    string
	passed  uint64 // passed is the last Pop that found no room for the class.
	weight  float64
	rank    int
	finish  float64
	virtual float64
	flows   map[string]*flow
	heads   flowHeap
}

type flow struct {
	class  *class
	name   string
	finish float64
	items  []*Item
	index  int
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
	it.start = max(c.virtual, f.finish)
	f.finish = it.start + it.Cost/it.WorkspaceWeight
	it.flow = f
	it.queued = true
	f.items = append(f.items, it)
	if len(f.items) == 1 {
		heap.Push(&c.heads, f)
		if len(c.heads) == 1 {
			c.finish = max(c.finish, q.virtual)
		}
	}
	q.length++
}

// Pop takes the next item for which room is true, and returns nil if there is none.
// Classes are asked in their turn, each for its next item only: one that needs much room
// is not passed by the rest of its class, or it would never find any.
func (q *Queue) Pop(room func(it *Item) bool) *Item {
	q.pops++
	for {
		c := q.next()
		if c == nil {
			return nil
		}
		it := c.heads[0].items[0]
		if !room(it) {
			c.passed = q.pops
			continue
		}
		q.virtual = max(q.virtual, c.finish)
		c.finish += it.Cost / c.weight
		c.virtual = it.start
		q.take(c.heads[0], 0)
		return it
	}
}

// next returns the class whose turn it is among those that were not passed yet.
func (q *Queue) next() *class {
	var best *class
	for _, c := range q.classes {
		if len(c.heads) > 0 && c.passed != q.pops && (best == nil || c.before(best)) {
			best = c
		}
	}
	return best
}

func (c *class) before(o *class) bool {
	if c.finish != o.finish {
		return c.finish < o.finish
	}
	return c.name < o.name
}

// Remove takes an item out of the queue and reports whether it was in it.
func (q *Queue) Remove(it *Item) bool {
	if !it.queued {
		return false
	}
	for i, o := range it.flow.items {
		if o == it {
			q.take(it.flow, i)
			return true
		}
	}
	return false
}

// take removes item i of a flow.
func (q *Queue) take(f *flow, i int) {
	f.items[i].queued = false
	f.items = append(f.items[:i], f.items[i+1:]...)
	q.length--
	switch {
	case len(f.items) == 0:
		heap.Remove(&f.class.heads, f.index)
		delete(f.class.flows, f.name)
	case i == 0:
		heap.Fix(&f.class.heads, f.index)
	}
}

// Late removes and returns the items whose latest start has passed.
func (q *Queue) Late(now time.Time) []*Item {
	late := q.find(func(it *Item) bool { return now.After(it.Latest) })
	for _, it := range late {
		q.Remove(it)
	}
	return late
}

// lateWeight is the part of its weight that a class keeps for items past their objective.
// An answer that is late is worth a fifth of one on time to the users; with the lesser
// share late ones still go on while others wait.
const lateWeight = 0.05

// Demote moves items that can't be on time any more behind those that can: into a class
// of their own with a small weight.
func (q *Queue) Demote(now time.Time) {
	due := q.find(func(it *Item) bool { return !it.Due.IsZero() && now.After(it.Due) })
	slices.SortFunc(due, func(a, b *Item) int { return a.Due.Compare(b.Due) })
	for _, it := range due {
		q.Remove(it)
		it.Due = time.Time{}
		it.Class += lateSuffix
		it.ClassWeight *= lateWeight
		q.Push(it)
	}
}

// lateSuffix names the class of items past their objective.
const lateSuffix = " late"

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

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	a, b := h[i].items[0].start, h[j].items[0].start
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
