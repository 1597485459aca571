// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package timer is the process's source of time. Parts subscribe to it
// instead of reading the clock or sleeping, so that tests drive time by hand.
//
// # Usage
//
//	s := timer.NewSystem()
//	stop := s.Every(time.Second, func(now time.Time) { ... })
//	defer stop()
//
// In tests:
//
//	m := timer.NewManual(start)
//	m.Advance(3 * time.Second) // runs what fell due, in order of time
package timer

import (
	"container/heap"
	"sync"
	"time"
)

// Service tells the time and calls subscribers when it has come.
type Service interface {
	// Now returns the present time with its monotonic reading.
	Now() time.Time
	// After calls f once when d has passed. The returned function cancels.
	After(d time.Duration, f func(now time.Time)) (cancel func())
	// Every calls f each time d has passed. The returned function cancels.
	Every(d time.Duration, f func(now time.Time)) (cancel func())
}

// System is the service on the machine's clock. Its zero value is ready.
type System struct{}

// NewSystem returns the service on the machine's clock.
func NewSystem() System { return System{} }

// Now implements Service.
func (System) Now() time.Time { return time.Now() }

// After implements Service. f runs in its own goroutine.
func (System) After(d time.Duration, f func(now time.Time)) func() {
	t := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { t.Stop() }
}

// Every implements Service. Calls to f do not overlap; ticks that fall due
// while f runs are dropped. It panics if d is not positive.
func (System) Every(d time.Duration, f func(now time.Time)) func() {
	t := time.NewTicker(d)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case now := <-t.C:
				f(now)
			case <-done:
				return
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			t.Stop()
			close(done)
		})
	}
}

// Manual is a service whose time moves only when a test advances it.
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

// NewManual returns a service that starts at the given time.
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

// Advance moves the time by d and runs all that falls due, in order.
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
