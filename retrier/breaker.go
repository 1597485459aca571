// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package retrier

import (
	"sync"
	"time"
)

const (
	failureThreshold = 3
	initialPause     = 500 * time.Millisecond
	maxPause         = 30 * time.Second
)

// Breaker is a circuit breaker for one upstream. It opens after consecutive
// failures and allows one probe after each pause, which doubles up to a maximum.
// The zero value is closed and ready to use. It is safe for concurrent use.
type Breaker struct {
	mu       sync.Mutex
	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
}

// Allow reports whether a request may be sent at now. An open breaker allows one
// probe after each pause; Record must report its result.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failureThreshold {
		return true
	}
	if now.Before(b.until) || b.probing {
		return false
	}
	b.probing = true
	return true
}

// Open reports whether requests are rejected at now. Unlike Allow, it doesn't
// start a probe.
func (b *Breaker) Open(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= failureThreshold && (now.Before(b.until) || b.probing)
}

// Record records whether an allowed request succeeded.
func (b *Breaker) Record(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if ok {
		b.failures, b.pause = 0, 0
		return
	}
	b.failures++
	if b.failures >= failureThreshold {
		b.pause = min(maxPause, max(initialPause, 2*b.pause))
		b.until = now.Add(b.pause)
	}
}
