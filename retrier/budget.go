// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package retrier bounds retries so that they cannot amplify an outage, and
// keeps requests away from upstreams that do not answer.
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

// Bounds of the savings.
const (
	maxSavings   = 20 // maxSavings is the number of retries that a quiet time can save up.
	firstSavings = 10 // firstSavings is what a host begins with, so that the first failures of a quiet one can be retried.
)

// Budget allows retries as a share of requests. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	share   float64
	most    float64 // most is the number of retries that can be saved up.
	savings float64
}

// NewBudget returns a budget for a share of requests.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, most: maxSavings, savings: firstSavings}
}

// SetShare replaces the share.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Request notes a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.savings = min(b.most, b.savings+b.share)
}

// Withdraw takes one retry out of the budget and reports whether it could.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.savings < 1 || b.share == 0 {
		return false
	}
	b.savings--
	return true
}
