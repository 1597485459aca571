// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"sync"
	"time"
)

// stallWatch finds out when the process has stood still, also for requests that run before the first tick after it.
type stallWatch struct {
	limit time.Duration // limit is the time between two ticks from which the process has stood still.

	mu     sync.Mutex
	ticked time.Time // ticked is the time of the last tick; zero before the first.
	woke   time.Time // woke is when the process last went on after it had stood still; zero if it never has.
}

// tick records a tick.
func (w *stallWatch) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check(now)
	w.ticked = now
}

// wokeAt returns when the process last went on after it had stood still; zero if it never has.
func (w *stallWatch) wokeAt(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.check(now)
	return w.woke
}

// check finds out whether the process has stood still since the last tick; w.mu is held.
func (w *stallWatch) check(now time.Time) {
	if !w.ticked.IsZero() && now.Sub(w.ticked) > w.limit {
		w.woke, w.ticked = now, now
	}
}
