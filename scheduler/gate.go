// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Verdict tells how a wait ended.
type Verdict string

// The verdicts.
const (
	Granted  Verdict = "Granted"
	TooLate  Verdict = "TooLate"  // TooLate says that the deadline can no longer be met.
	Canceled Verdict = "Canceled" // Canceled says that the caller went away.
)

// Room reports whether a request may start now, when as many requests as granted
// were let through and are not yet counted elsewhere.
type Room func(it *Item, granted int) bool

// Gate lets requests pass while there is room and queues the others. It is
// safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	room    Room
	queue   Queue
	granted int
	closed  bool
	waiting atomic.Int64 // waiting is the queue's length, for those who can't take the lock.
	checked time.Time    // checked is when the times of waiting items were last looked at.
}

// NewGate returns a gate. room is called with the gate's lock held.
func NewGate(room Room) *Gate { return &Gate{room: room} }

// Enter waits for room. After Granted the caller must call Started once, when
// the request is counted where Room looks or has been given up.
func (g *Gate) Enter(ctx context.Context, it *Item) Verdict {
	g.mu.Lock()
	if g.queue.Len() == 0 && g.room(it, g.granted) {
		g.granted++
		g.mu.Unlock()
		return Granted
	}
	if g.closed {
		g.mu.Unlock()
		return TooLate
	}
	it.verdict = make(chan Verdict, 1)
	g.queue.Push(it)
	g.drain()
	g.waiting.Store(int64(g.queue.Len()))
	g.mu.Unlock()
	select {
	case v := <-it.verdict:
		return v
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(it) {
		g.waiting.Store(int64(g.queue.Len()))
		return Canceled
	}
	return <-it.verdict
}

func (g *Gate) drain() {
	for {
		it := g.queue.Pop(func(it *Item) bool { return g.room(it, g.granted) })
		if it == nil {
			return
		}
		g.granted++
		it.verdict <- Granted
	}
}

// Started tells that a granted request is now counted elsewhere.
func (g *Gate) Started() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted--
}

// checkInterval is the least time between two looks at the times of all that wait: a
// look at 1,000 takes some 20 µs, and room may be found hundreds of times a second.
const checkInterval = 10 * time.Millisecond

// Wake looks for room again: after a request ended, a load report came or time
// passed.
func (g *Gate) Wake(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.checked) >= checkInterval {
		g.checked = now
		for _, it := range g.queue.Late(now) {
			it.verdict <- TooLate
		}
		g.queue.Demote(now)
	}
	g.drain()
	g.waiting.Store(int64(g.queue.Len()))
}

// Close turns away all that wait, and from now on whoever finds no room at once.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, it := range g.queue.find(func(*Item) bool { return true }) {
		g.queue.Remove(it)
		it.verdict <- TooLate
	}
	g.waiting.Store(0)
}

// Waiting returns the number of queued requests. It takes no lock.
func (g *Gate) Waiting() int { return int(g.waiting.Load()) }
