// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package retrier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBudgetCannotAmplify checks that retries stay a share of requests when every
// attempt fails.
func TestBudgetCannotAmplify(t *testing.T) {
	b := NewBudget(0.1)
	retries := 0
	for range 10000 {
		b.Request()
		for b.Withdraw() {
			retries++
		}
	}
	assert.Assert(t, retries <= 1000+maxTokens, "%d", retries)
	none := NewBudget(0)
	none.Request()
	assert.Assert(t, !none.Withdraw())
}

func TestBreaker(t *testing.T) {
	var b Breaker
	now := time.Unix(1000, 0)
	for range failureThreshold {
		assert.Assert(t, b.Allow(now))
		b.Record(now, false)
	}
	assert.Assert(t, b.Open(now) && !b.Allow(now))
	now = now.Add(initialPause)
	assert.Assert(t, b.Allow(now)) // one probe
	assert.Assert(t, !b.Allow(now))
	b.Record(now, false)
	assert.Assert(t, !b.Allow(now.Add(initialPause))) // the pause has doubled
	now = now.Add(2 * initialPause)
	assert.Assert(t, b.Allow(now))
	b.Record(now, true)
	assert.Assert(t, !b.Open(now) && b.Allow(now) && b.Allow(now))
}
