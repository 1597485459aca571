// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"container/heap"
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
}

type class struct {
	name    string
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

// Pop takes the next item among the classes for which room is true, and
// returns nil if there is none.
func (q *Queue) Pop(room func(class string, rank int) bool) *Item {
	var best *class
	for _, c := range q.classes {
		if len(c.heads) == 0 || !room(c.name, c.rank) {
			continue
		}
		if best == nil || c.before(best) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	f := best.heads[0]
	it := f.items[0]
	q.virtual = max(q.virtual, best.finish)
	best.finish += it.Cost / best.weight
	best.virtual = it.start
	q.take(f, 0)
	return it
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
	var late []*Item
	for _, c := range q.classes {
		for _, f := range c.flows {
			for _, it := range f.items {
				if now.After(it.Latest) {
					late = append(late, it)
				}
			}
		}
	}
	for _, it := range late {
		q.Remove(it)
	}
	return late
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
