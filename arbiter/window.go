// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import "time"

// windowPeriod is the length of a window's buckets. A window covers the current and the previous one, so
// one to two periods.
const windowPeriod = time.Second

// period returns the number of the current bucket; a.mu is held.
func (a *Arbiter) period(now time.Time) int64 {
	if a.epoch.IsZero() {
		a.epoch = now
	}
	return int64(now.Sub(a.epoch) / windowPeriod)
}

// window sums what was added during the last one to two periods.
type window struct {
	period            int64
	current, previous float64
}

func (w *window) roll(period int64) {
	switch {
	case period <= w.period:
	case period == w.period+1:
		w.previous, w.current, w.period = w.current, 0, period
	default:
		w.previous, w.current, w.period = 0, 0, period
	}
}

func (w *window) add(period int64, v float64) {
	w.roll(period)
	w.current += v
}

func (w *window) sum(period int64) float64 {
	w.roll(period)
	return w.current + w.previous
}

// classWindow has what all hosts have started of a class.
type classWindow struct{ work, count window }

// classWindow returns the window of a class and creates it if needed; a.mu is held.
func (a *Arbiter) classWindow(key ClassKey) *classWindow {
	w := a.classes[key]
	if w == nil {
		w = &classWindow{}
		a.classes[key] = w
	}
	return w
}

// dropIdleWindows drops the windows that are empty, once in each period; a.mu is held.
func (a *Arbiter) dropIdleWindows(period int64) {
	for key, w := range a.classes {
		if w.work.sum(period) == 0 && w.count.sum(period) == 0 {
			delete(a.classes, key)
		}
	}
	for key, w := range a.works {
		if w.sum(period) == 0 {
			delete(a.works, key)
		}
	}
}
