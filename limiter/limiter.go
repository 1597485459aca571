// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package limiter bounds what each workspace takes: a rate by token bucket and
// a number of open requests. A host enforces its share of a limit that holds
// over all hosts; package file share.go decides the shares.
//
// # Usage
//
//	l := limiter.New()
//	l.Configure(now, "notary", limiter.Limit{Rate: 20, Burst: 40, Concurrency: 100})
//	if r := l.Admit(now, "notary"); r.Admitted {
//		defer l.Done("notary")
//	}
package limiter

import (
	"sync"
	"time"
)

// Limit is what one workspace may take at this host.
type Limit struct {
	Rate        float64 // Rate is in requests per second.
	Burst       float64 // Burst is the depth of the bucket.
	Concurrency float64 // Concurrency is the number of open requests.
}

// Refusal tells which limit was met.
type Refusal string

// The refusals.
const (
	RefusedRate        Refusal = "Rate"
	RefusedConcurrency Refusal = "Concurrency"
	RefusedUnknown     Refusal = "Unknown"
)

// Result is the answer to a request for admission.
type Result struct {
	Admitted   bool
	Refusal    Refusal
	RetryAfter time.Duration // RetryAfter is when the refusal may end.
}

// concurrencyRetry is the advice to callers that met the limit of open
// requests, whose end cannot be computed.
const concurrencyRetry = time.Second

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	workspaces map[string]*bucket
}

type bucket struct {
	limit  Limit
	tokens float64
	at     time.Time
	open   int
	demand float64 // demand counts requests since the last reading.
}

// New returns a limiter that knows no workspace.
func New() *Limiter { return &Limiter{workspaces: make(map[string]*bucket)} }

// Configure sets the limit of a workspace. A deeper bucket gets the difference
// as tokens and a shallower one gives it up, below zero if need be. So shares
// that move to and fro make no tokens: what all hosts admit above the rate is at
// most one burst for each host, however often shares move.
func (l *Limiter) Configure(now time.Time, workspace string, limit Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.workspaces[workspace]
	if b == nil {
		l.workspaces[workspace] = &bucket{limit: limit, tokens: limit.Burst, at: now}
		return
	}
	b.refill(now)
	b.tokens = min(b.tokens+limit.Burst-b.limit.Burst, limit.Burst)
	b.limit = limit
}

// Retain forgets the workspaces for which keep is false.
func (l *Limiter) Retain(keep func(workspace string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.workspaces {
		if !keep(w) {
			delete(l.workspaces, w)
		}
	}
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.tokens = min(b.limit.Burst, b.tokens+d*b.limit.Rate)
		b.at = now
	}
}

// Admit takes one request of a workspace, to be ended by Done.
func (l *Limiter) Admit(now time.Time, workspace string) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.workspaces[workspace]
	if b == nil {
		return Result{Refusal: RefusedUnknown}
	}
	b.demand++
	b.refill(now)
	if float64(b.open)+1 > max(1, b.limit.Concurrency) {
		return Result{Refusal: RefusedConcurrency, RetryAfter: concurrencyRetry}
	}
	if b.tokens < 1 {
		missing := (1 - b.tokens) / max(b.limit.Rate, 1e-3)
		return Result{Refusal: RefusedRate, RetryAfter: time.Duration(missing * float64(time.Second))}
	}
	b.tokens--
	b.open++
	return Result{Admitted: true}
}

// Done ends a request that was admitted.
func (l *Limiter) Done(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.workspaces[workspace]; b != nil && b.open > 0 {
		b.open--
	}
}

// Usage is what one workspace has asked for.
type Usage struct {
	Workspace string
	Requests  float64 // Requests is the number since the last reading.
	Open      int
	Limit     Limit
}

// Read returns the usage of every workspace with demand or open requests and
// starts a new count.
func (l *Limiter) Read() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Usage
	for w, b := range l.workspaces {
		if b.demand == 0 && b.open == 0 {
			continue
		}
		out = append(out, Usage{Workspace: w, Requests: b.demand, Open: b.open, Limit: b.limit})
		b.demand = 0
	}
	return out
}
