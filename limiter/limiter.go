// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package limiter limits the request rate of each workspace with a token bucket,
// and its number of concurrent requests. Each host enforces its share of a limit
// over all hosts: a Divider on one host grants shares, and Shares on each host
// tracks those granted to it.
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

// Limit bounds the requests of one workspace.
type Limit struct {
	Rate        float64 // Rate is in requests per second.
	Burst       float64 // Burst is the capacity of the token bucket.
	Concurrency float64 // Concurrency is the largest number of open requests.
}

// Refusal says which limit rejected a request.
type Refusal string

// Reasons of a refusal.
const (
	RefusedRate        Refusal = "Rate"
	RefusedConcurrency Refusal = "Concurrency"
	RefusedUnknown     Refusal = "Unknown"
)

// Result is the result of Admit.
type Result struct {
	Admitted   bool
	Refusal    Refusal
	RetryAfter time.Duration // RetryAfter is the estimated time until a retry can be admitted.
}

// concurrencyRetryAfter is fixed, since the end of an open request is not known.
const concurrencyRetryAfter = time.Second

// Limiter admits requests. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	workspaces map[string]*bucket
}

type bucket struct {
	limit    Limit
	tokens   float64
	filledAt time.Time // filledAt is the time of the last refill.
	open     int
	requests float64 // requests counts requests since the last call of Read.
}

// New returns a Limiter without workspaces.
func New() *Limiter { return &Limiter{workspaces: make(map[string]*bucket)} }

// Configure sets the limit of a workspace. A change of Burst is added to the
// tokens, which can become negative: however often shares move between hosts, they
// admit at most one burst per host above the rate.
func (l *Limiter) Configure(now time.Time, workspace string, limit Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.workspaces[workspace]
	if b == nil {
		l.workspaces[workspace] = &bucket{limit: limit, tokens: limit.Burst, filledAt: now}
		return
	}
	b.refill(now)
	b.tokens = min(b.tokens+limit.Burst-b.limit.Burst, limit.Burst)
	b.limit = limit
}

// Retain removes the workspaces for which keep returns false.
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
	if d := now.Sub(b.filledAt).Seconds(); d > 0 {
		b.tokens = min(b.limit.Burst, b.tokens+d*b.limit.Rate)
		b.filledAt = now
	}
}

// Admit decides whether a request of a workspace may proceed. If it is admitted,
// the caller must call Done at its end.
func (l *Limiter) Admit(now time.Time, workspace string) Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.workspaces[workspace]
	if b == nil {
		return Result{Refusal: RefusedUnknown}
	}
	b.requests++
	b.refill(now)
	if float64(b.open)+1 > max(1, b.limit.Concurrency) {
		return Result{Refusal: RefusedConcurrency, RetryAfter: concurrencyRetryAfter}
	}
	if b.tokens < 1 {
		missing := (1 - b.tokens) / max(b.limit.Rate, 1e-3)
		return Result{Refusal: RefusedRate, RetryAfter: time.Duration(missing * float64(time.Second))}
	}
	b.tokens--
	b.open++
	return Result{Admitted: true}
}

// Done marks the end of an admitted request.
func (l *Limiter) Done(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.workspaces[workspace]; b != nil && b.open > 0 {
		b.open--
	}
}

// Usage is the recent use of one workspace.
type Usage struct {
	Workspace string
	Requests  float64 // Requests counts the requests since the last call of Read.
	Open      int
	Limit     Limit
}

// Read returns the usage of each workspace with new or open requests, and resets
// the counts of requests.
func (l *Limiter) Read() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Usage
	for w, b := range l.workspaces {
		if b.requests == 0 && b.open == 0 {
			continue
		}
		out = append(out, Usage{Workspace: w, Requests: b.requests, Open: b.open, Limit: b.limit})
		b.requests = 0
	}
	return out
}
