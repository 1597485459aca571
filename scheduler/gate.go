// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// EnterResult is the result of Gate.Enter.
type EnterResult string

// The results.
const (
	Granted  EnterResult = "Granted"
	TooLate  EnterResult = "TooLate"  // TooLate means that the deadline will be missed or the gate is closed.
	Canceled EnterResult = "Canceled" // Canceled means that the context was canceled.
)

// AdmitFunc reports whether a request may start now. granted is the number of requests
// that were granted but for which Started has not been called yet.
type AdmitFunc func(it *Item, granted int) bool

// Gate grants requests while there is capacity and queues the others. It is
// safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	admit     AdmitFunc
	queue     Queue
	granted   int
	closed    bool
	waiting   atomic.Int64 // waiting is the queue's length, readable without the lock.
	lastCheck time.Time    // lastCheck is when Wake last checked the items' times.
}

// NewGate returns a gate. admit is called with the gate's lock held.
func NewGate(admit AdmitFunc) *Gate { return &Gate{admit: admit} }

// Enter waits until the request is admitted. After Granted the caller must call
// Started once, when admit counts the request itself or the request is abandoned.
func (g *Gate) Enter(ctx context.Context, it *Item) EnterResult {
	g.mu.Lock()
	if g.queue.Len() == 0 && g.admit(it, g.granted) {
		g.granted++
		g.mu.Unlock()
		return Granted
	}
	if g.closed {
		g.mu.Unlock()
		return TooLate
	}
	it.result = make(chan EnterResult, 1)
	g.queue.Push(it)
	g.grantWaiting()
	if it.Rate != nil {
		g.rejectHopeless(it.Entered)
	}
	g.waiting.Store(int64(g.queue.Len()))
	g.mu.Unlock()
	select {
	case r := <-it.result:
		return r
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(it) {
		g.waiting.Store(int64(g.queue.Len()))
		return Canceled
	}
	return <-it.result
}

// grantWaiting grants waiting items until none can be admitted.
func (g *Gate) grantWaiting() {
	for {
		it := g.queue.Pop(func(it *Item) bool { return g.admit(it, g.granted) })
		if it == nil {
			return
		}
		g.granted++
		it.result <- Granted
	}
}

// rejectHopeless rejects the items whose turn would come too late.
func (g *Gate) rejectHopeless(now time.Time) {
	for _, it := range g.queue.RemoveHopeless(now) {
		it.result <- TooLate
	}
}

// Started ends the counting of a granted request in the gate; see Enter.
func (g *Gate) Started() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted--
}

// checkInterval limits how often Wake checks the times of all waiting items, as it may be
// called hundreds of times per second.
const checkInterval = 10 * time.Millisecond

// Wake grants waiting requests that can now be admitted. It is to be called after a
// request ended, a load report arrived, and periodically.
func (g *Gate) Wake(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastCheck) >= checkInterval {
		g.lastCheck = now
		for _, it := range g.queue.RemoveLate(now) {
			it.result <- TooLate
		}
		g.queue.Demote(now)
		g.rejectHopeless(now)
	}
	g.grantWaiting()
	g.waiting.Store(int64(g.queue.Len()))
}

// Close rejects all waiting requests with TooLate, and later ones that would have to wait.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, it := range g.queue.find(func(*Item) bool { return true }) {
		g.queue.Remove(it)
		it.result <- TooLate
	}
	g.waiting.Store(0)
}

// Waiting returns the number of queued requests. It takes no lock.
func (g *Gate) Waiting() int { return int(g.waiting.Load()) }
