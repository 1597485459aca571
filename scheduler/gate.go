// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"context"
	"sync"
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

// Room reports whether a request of a class may start now, when as many
// requests as granted were let through and are not yet counted elsewhere.
type Room func(class string, rank, granted int) bool

// Gate lets requests pass while there is room and queues the others. It is
// safe for concurrent use.
type Gate struct {
	mu      sync.Mutex
	room    Room
	queue   Queue
	granted int
}

// NewGate returns a gate. room is called with the gate's lock held.
func NewGate(room Room) *Gate { return &Gate{room: room} }

// Enter waits for room. After Granted the caller must call Started once, when
// the request is counted where Room looks or has been given up.
func (g *Gate) Enter(ctx context.Context, it *Item) Verdict {
	g.mu.Lock()
	if g.queue.Len() == 0 && g.room(it.Class, it.Rank, g.granted) {
		g.granted++
		g.mu.Unlock()
		return Granted
	}
	it.verdict = make(chan Verdict, 1)
	g.queue.Push(it)
	g.drain()
	g.mu.Unlock()
	select {
	case v := <-it.verdict:
		return v
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Remove(it) {
		return Canceled
	}
	return <-it.verdict
}

func (g *Gate) drain() {
	for {
		it := g.queue.Pop(func(class string, rank int) bool { return g.room(class, rank, g.granted) })
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

// Wake looks for room again: after a request ended, a load report came or time
// passed.
func (g *Gate) Wake(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, it := range g.queue.Late(now) {
		it.verdict <- TooLate
	}
	g.drain()
}

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Len()
}
