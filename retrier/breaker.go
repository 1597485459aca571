// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package retrier

import (
	"sync"
	"time"
)

// Bounds of a breaker.
const (
	failuresToOpen = 3
	firstPause     = 500 * time.Millisecond
	longestPause   = 30 * time.Second
)

// Breaker keeps requests away from one upstream after failures in a row, and
// lets one through after a pause to see whether it is back. The zero value is
// closed and ready. It is safe for concurrent use.
type Breaker struct {
	mu       sync.Mutex
	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
}

// Allow reports whether a request may be sent now. While a breaker is open, one
// request is allowed after each pause.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failuresToOpen {
		return true
	}
	if now.Before(b.until) || b.probing {
		return false
	}
	b.probing = true
	return true
}

// Open reports whether requests are kept away now, without taking the place of
// the one that may probe.
func (b *Breaker) Open(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= failuresToOpen && (now.Before(b.until) || b.probing)
}

// Record notes how a request that was allowed ended.
func (b *Breaker) Record(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if ok {
		b.failures, b.pause = 0, 0
		return
	}
	b.failures++
	if b.failures >= failuresToOpen {
		b.pause = min(longestPause, max(firstPause, 2*b.pause))
		b.until = now.Add(b.pause)
	}
}
