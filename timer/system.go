// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package timer

import (
	"sync"
	"time"
)

// System is the Service on the machine's clocks. Its zero value is ready for use. All values share one
// clock.
type System struct{}

// NewSystem returns the System service.
func NewSystem() System { return System{} }

// Now implements Service.
func (System) Now() time.Time { return systemClock.now() }

// After implements Service. f runs in its own goroutine.
func (System) After(d time.Duration, f func(now time.Time)) func() { return systemClock.after(d, f) }

// Every implements Service. Calls to f do not overlap; ticks that fall due
// while f runs are dropped. It panics if d is not positive.
func (System) Every(d time.Duration, f func(now time.Time)) func() {
	t := time.NewTicker(d)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-t.C:
				f(systemClock.now())
			case <-done:
				return
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			t.Stop()
			close(done)
		})
	}
}
