// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"container/heap"
	"context"
	"sync"
)

// batch admits a bounded number of requests at once; the others wait by
// priority, then in order of arrival.
type batch struct {
	slots int

	mu      sync.Mutex
	running int
	seq     uint64
	waiting waitHeap
	tokens  int
}

type waiter struct {
	priority int
	seq      uint64
	index    int
	tokens   int
	ready    chan struct{}
}

func newBatch(slots int) *batch { return &batch{slots: slots} }

func (b *batch) counts() (running, waiting, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting), b.tokens
}

// enter waits for a slot. It reports false if ctx ended first.
func (b *batch) enter(ctx context.Context, priority, tokens int) (leave func(), ok bool) {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return b.leave, true
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, tokens: tokens, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.tokens += tokens
	b.mu.Unlock()
	select {
	case <-w.ready:
		return b.leave, true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 { // admitted meanwhile
		b.release()
		return nil, false
	}
	heap.Remove(&b.waiting, w.index)
	b.tokens -= w.tokens
	return nil, false
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

func (b *batch) release() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.waiting).(*waiter)
	b.tokens -= w.tokens
	close(w.ready)
}

type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }
func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	w.index = -1
	*h = old[:len(old)-1]
	return w
}
