// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"container/heap"
	"context"
	"sync"
)

// batch bounds the number of running requests. The others wait in order of
// priority, then of arrival.
type batch struct {
	slots int

	mu            sync.Mutex
	running       int
	seq           uint64
	waiting       waitHeap
	waitingTokens int // prompt tokens of the waiting requests
}

type waiter struct {
	priority int
	seq      uint64
	index    int // position in the heap; -1 once removed
	tokens   int
	ready    chan struct{}
}

func newBatch(slots int) *batch { return &batch{slots: slots} }

func (b *batch) counts() (running, waiting, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting), b.waitingTokens
}

// acquire waits for a slot and returns the function that releases it. It
// returns false if ctx ends first.
func (b *batch) acquire(ctx context.Context, priority, tokens int) (release func(), ok bool) {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
		return b.release, true
	}
	b.seq++
	w := &waiter{priority: priority, seq: b.seq, tokens: tokens, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.waitingTokens += tokens
	b.mu.Unlock()
	select {
	case <-w.ready:
		return b.release, true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 { // admitted before ctx ended; pass the slot on
		b.releaseLocked()
		return nil, false
	}
	heap.Remove(&b.waiting, w.index)
	b.waitingTokens -= w.tokens
	return nil, false
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

// releaseLocked hands a slot to the first waiting request, if there is one.
// b.mu must be held.
func (b *batch) releaseLocked() {
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.waiting).(*waiter)
	b.waitingTokens -= w.tokens
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
