// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forecaster

import (
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
)

const (
	// minRetryAfter keeps a refused request from returning before the load can have changed.
	minRetryAfter = 50 * time.Millisecond
	// minSlotRate spreads the retries if no rate is left over, in requests a second.
	minSlotRate = 10
	// slotJitter is the part of the interval between two retry times that is random, so that the retry
	// times given by several hosts do not coincide.
	slotJitter = 0.5
	// timeShare is the part of a request's remaining time in which its retry time lies. Callers wait for
	// at most a third of it.
	timeShare = 1. / 3
)

// RetryAfter returns when a refused request may return. Each request gets a time of its own, at the rate
// that newly arriving requests leave over. latest is its latest start that meets the deadline.
func (f *Forecaster) RetryAfter(now time.Time, key arbiter.ClassKey, latest time.Time) time.Duration {
	c := f.class(key)
	r := c.measured(now)
	first := now.Add(minRetryAfter)
	last := now.Add(max(minRetryAfter, time.Duration(timeShare*float64(latest.Sub(now)))))
	interval := time.Duration(float64(time.Second) / max(minSlotRate, r.started-r.entered))
	slot := c.nextSlot
	if slot.Before(first) {
		slot = first
	}
	if slot.After(last) { // more are refused than can return in time: the times are filled again from the first
		slot = first.Add(time.Duration(f.rng.Float64() * float64(last.Sub(first))))
	} else {
		c.nextSlot = slot.Add(interval)
		slot = slot.Add(time.Duration(slotJitter * f.rng.Float64() * float64(interval)))
	}
	return max(minRetryAfter, min(slot.Sub(now), last.Sub(now)))
}
