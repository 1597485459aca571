// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package retrier provides retry budgets, so that retries cannot amplify an
// outage, and circuit breakers for upstreams that do not answer.
//
// It addresses overload and failing upstreams, where each retry takes capacity from
// another request. SharedBudgets keeps the retries of all hosts to a service in any
// window within share × requests + slack, without messages: a bucket gains 0.9 × share
// for each request of its own host and holds at most 0.9 × slack / n, where n is the
// number of hosts. In a window, a host's retries are at most what its bucket holds at the
// start and gains in the window, or one that a host which starts in the window begins
// with. Over all hosts this is at most
//
//	0.9 × share × requests + 0.9 × slack × (sum of 1/n over the hosts) + starts
//
// The sum of 1/n is at most 1 while no host knows of fewer others than there are. A host
// keeps counting the largest number of the last 30 s, so that neither a partition nor
// hosts that stop let the others take their parts in this time. The remaining tenth
// covers hosts that start, each of which has gained little before it meets the others.
//
// # Usage
//
//	b := retrier.NewBudget(0.1)
//	b.Request()           // for each first attempt
//	if b.Withdraw() { ... } // before each retry
//
//	var br retrier.Breaker
//	if br.Allow(now) { err := try(); br.Record(now, err == nil) }
package retrier

import "sync"

const (
	maxTokens     = 20 // maxTokens bounds the retries accumulated while there are few failures.
	initialTokens = 10 // initialTokens allows retries before enough requests have been counted.
)

// Budget is a token bucket that allows retries as a share of requests. It is safe
// for concurrent use.
type Budget struct {
	mu       sync.Mutex
	share    float64
	capacity float64 // capacity is the largest number of accumulated retries.
	tokens   float64
}

// NewBudget returns a Budget that allows retries up to share of the requests.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, capacity: maxTokens, tokens: initialTokens}
}

// SetShare sets the share of requests that may be retries.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Request counts the first attempt of a request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.capacity, b.tokens+b.share)
}

// Withdraw takes one retry from the budget and reports whether one was left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 || b.share == 0 {
		return false
	}
	b.tokens--
	return true
}
