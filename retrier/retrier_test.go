// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package retrier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBudgetCannotAmplify fails every request: the retries stay a share of
// them.
func TestBudgetCannotAmplify(t *testing.T) {
	b := NewBudget(0.1)
	retries := 0
	for range 10000 {
		b.Request()
		for b.Withdraw() {
			retries++
		}
	}
	assert.Assert(t, retries <= 1000+maxSavings, "%d", retries)
	none := NewBudget(0)
	none.Request()
	assert.Assert(t, !none.Withdraw())
}

func TestBreaker(t *testing.T) {
	var b Breaker
	now := time.Unix(1000, 0)
	for range failuresToOpen {
		assert.Assert(t, b.Allow(now))
		b.Record(now, false)
	}
	assert.Assert(t, b.Open(now) && !b.Allow(now))
	now = now.Add(firstPause)
	assert.Assert(t, b.Allow(now))  // one may try
	assert.Assert(t, !b.Allow(now)) // and no other
	b.Record(now, false)
	assert.Assert(t, !b.Allow(now.Add(firstPause))) // the pause has grown
	now = now.Add(2 * firstPause)
	assert.Assert(t, b.Allow(now))
	b.Record(now, true)
	assert.Assert(t, !b.Open(now) && b.Allow(now) && b.Allow(now))
}
