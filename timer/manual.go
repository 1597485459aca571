// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Manual is a Service whose time advances only through Advance, for tests.
type Manual struct {
	mu   sync.Mutex
	now  time.Time
	seq  uint64
	jobs jobHeap
}

type job struct {
	at        time.Time
	seq       uint64
	every     time.Duration
	f         func(time.Time)
	cancelled bool
}

// NewManual returns a Manual service that starts at the given time.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Service.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Service. f runs within Advance.
func (m *Manual) After(d time.Duration, f func(time.Time)) func() { return m.add(d, 0, f) }

// Every implements Service. f runs within Advance.
func (m *Manual) Every(d time.Duration, f func(time.Time)) func() {
	if d <= 0 {
		panic("timer: non-positive interval")
	}
	return m.add(d, d, f)
}

func (m *Manual) add(d, every time.Duration, f func(time.Time)) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	j := &job{at: m.now.Add(d), seq: m.seq, every: every, f: f}
	heap.Push(&m.jobs, j)
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		j.cancelled = true
	}
}

// Advance advances the time by d and runs all calls that become due, in order.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for len(m.jobs) > 0 && !m.jobs[0].at.After(end) {
		j := heap.Pop(&m.jobs).(*job)
		if j.cancelled {
			continue
		}
		m.now = j.at
		if j.every > 0 {
			j.at = j.at.Add(j.every)
			heap.Push(&m.jobs, j)
		}
		now := m.now
		m.mu.Unlock()
		j.f(now)
		m.mu.Lock()
	}
	m.now = end
	m.mu.Unlock()
}

type jobHeap []*job

func (h jobHeap) Len() int      { return len(h) }
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h jobHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}
