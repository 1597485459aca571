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

// Gate grants requests while there is capacity and queues the others. It puts a lock and channels around
// an Admission, and is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex
	admission *Admission
	granted   int
	closed    bool
	waiting   atomic.Int64 // waiting is the queue's length, readable without the lock.
}

// NewGate returns a gate without forecasts. admit is called with the gate's lock held.
func NewGate(admit AdmitFunc) *Gate { return NewForecastGate(admit, AdmissionOptions{}) }

// NewForecastGate returns a gate with the Forecaster and the Peers of opts, which are called with the
// gate's lock held, as admit is.
func NewForecastGate(admit AdmitFunc, opts AdmissionOptions) *Gate {
	g := &Gate{}
	opts.Admit = func(it *Item) bool {
		if !admit(it, g.granted) {
			return false
		}
		g.granted++
		return true
	}
	g.admission = NewAdmission(opts)
	return g
}

// Enter waits until the request is admitted. After Granted the caller must call
// Started once, when admit counts the request itself or the request is abandoned.
func (g *Gate) Enter(ctx context.Context, it *Item) EnterResult {
	if r, done := g.offer(it); done {
		return r
	}
	select {
	case r := <-it.result:
		return r
	case <-ctx.Done():
	}
	if g.remove(it) {
		return Canceled
	}
	return <-it.result
}

// remove removes an item whose context was canceled, and reports whether it waited. Otherwise it has its result.
func (g *Gate) remove(it *Item) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admission.Remove(it) {
		return false
	}
	g.waiting.Store(int64(g.admission.Len()))
	return true
}

// offer offers an item to the admission, and returns false if it waits.
func (g *Gate) offer(it *Item) (r EnterResult, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		if g.admission.startNow(it.Entered, it) {
			return Granted, true
		}
		return TooLate, true
	}
	it.result = make(chan EnterResult, 1)
	offered := g.admission.Offer(it.Entered, it)
	g.conclude(g.admission.take())
	switch offered {
	case Started:
		return Granted, true
	case Refused:
		return TooLate, true
	}
	return "", false
}

// conclude tells the waiting goroutines of items that were started or refused.
func (g *Gate) conclude(started, refused []*Item) {
	for _, it := range started {
		it.result <- Granted
	}
	for _, it := range refused {
		it.result <- TooLate
	}
	g.waiting.Store(int64(g.admission.Len()))
}

// Started ends the counting of a granted request in the gate; see Enter.
func (g *Gate) Started() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted--
}

// Wake grants waiting requests that can now be admitted. It is to be called after a
// request ended, a load report arrived, and periodically.
func (g *Gate) Wake(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conclude(g.admission.Wake(now))
}

// Close rejects all waiting requests with TooLate, and later ones that would have to wait.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	all := g.admission.queue.find(func(*Item) bool { return true })
	for _, it := range all {
		g.admission.Remove(it)
	}
	g.conclude(nil, all)
}

// Waiting returns the number of queued requests. It takes no lock.
func (g *Gate) Waiting() int { return int(g.waiting.Load()) }

// Update calls f with the gate's lock held, for what concerns the gate's admission or its forecaster.
func (g *Gate) Update(f func(a *Admission)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.admission)
}
