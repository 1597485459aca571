// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"slices"
	"time"
)

// flow holds the waiting items of one workspace in the lane on time of a class, by latest start.
type flow struct {
	name  string
	tag   float64 // tag is the start tag of the first item.
	items []*Item
	index int // index is the flow's position in the heap.
}

// place returns the index at which an item is inserted: behind those of an earlier or the same latest
// start, or at the end if it has none.
func (f *flow) place(it *Item) int {
	i := len(f.items)
	for i > 0 && dueBefore(it.Due, f.items[i-1].Due) {
		i--
	}
	return i
}

// dueBefore reports whether a latest start is before another; zero is after all.
func dueBefore(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}

// remove removes an item and returns its index, or -1.
func (f *flow) remove(it *Item) int {
	i := slices.Index(f.items, it)
	if i >= 0 {
		f.items = slices.Delete(f.items, i, i+1)
	}
	return i
}

// work returns the tags that an item takes.
func (it *Item) work() float64 { return it.Cost / it.WorkspaceWeight }

// flowHeap orders flows by the start tag of their first item. Among equal ones, such as those of
// workspaces of which one request waits, the earlier latest start is first.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	return before(h[i].tag, h[i].items[0], h[j].tag, h[j].items[0])
}

// before reports whether an item with a start tag is granted before another.
func before(aTag float64, a *Item, bTag float64, b *Item) bool {
	switch {
	case aTag != bTag:
		return aTag < bTag
	case !a.Due.Equal(b.Due):
		return dueBefore(a.Due, b.Due)
	}
	return a.Workspace < b.Workspace
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
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
