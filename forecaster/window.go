// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forecaster

import (
	"math"
	"time"
)

// Sizes of the window, which counts only time in which the class has waited.
const (
	bucketTime  = 50 * time.Millisecond
	buckets     = 80 // 4 s
	windowSize  = 20 // windowSize is the number of buckets that are counted if they have enough starts.
	measureTime = 250 * time.Millisecond
	// minStarts is the number of starts that are needed for a rate. At fewer, twice the square root of the
	// count is more than the count.
	minStarts = 5
	// maxGap is the time without a call after which the process is taken to have been paused, as the
	// admission tick is 20 ms while requests wait.
	maxGap = 500 * time.Millisecond
	// maxIdle is the time in which the class has not waited after which the window starts anew.
	maxIdle = time.Second
)

// window counts requests in buckets of the time in which the class has waited.
type window struct {
	entered, started []int32 // entered and started are rings of counts, allocated at the first wait.
	at               int     // at is the index of the newest bucket.
	filled           int     // filled is the number of buckets before the newest.
	inBucket         time.Duration
	last             time.Time // last is when the window was last advanced.
	lastWait         time.Time // lastWait is when the class last waited.
}

// advance moves the window to now. waits reports whether the class has waited since the last call. It
// returns false if the window starts anew after a pause.
func (w *window) advance(now time.Time, waits bool) bool {
	if waits && w.entered == nil {
		w.entered, w.started = make([]int32, buckets), make([]int32, buckets)
	}
	gap := now.Sub(w.last)
	if gap < 0 { // callers read the clock before they take the gate's lock
		return true
	}
	w.last = now
	switch {
	case !waits:
		return true
	case gap > maxGap, !w.lastWait.IsZero() && now.Sub(w.lastWait) > maxIdle+gap:
		w.reset()
	}
	w.lastWait = now
	if gap > maxGap {
		return false
	}
	for w.inBucket += gap; w.inBucket >= bucketTime; w.inBucket -= bucketTime {
		w.at = (w.at + 1) % buckets
		w.entered[w.at], w.started[w.at] = 0, 0
		w.filled = min(w.filled+1, buckets-1)
	}
	return true
}

func (w *window) reset() {
	w.filled, w.inBucket = 0, 0
	w.entered[w.at], w.started[w.at] = 0, 0
}

func (w *window) add(entered, started int) {
	w.entered[w.at] += int32(entered)
	w.started[w.at] += int32(started)
}

// rates are in requests a second. The bounds are twice the square root of the counts away.
type rates struct {
	known       bool
	entered     float64
	started     float64
	enteredLow  float64
	startedHigh float64
}

// measured returns the rates of the class. They are not known until it has waited for measureTime and
// minStarts of its requests have started meanwhile, and no longer once it has not waited for maxIdle.
func (c *class) measured(now time.Time) rates {
	if now.Sub(c.window.lastWait) > maxIdle {
		return rates{}
	}
	return c.latest(now)
}

// latest returns the rates of the class when it last waited.
func (c *class) latest(now time.Time) rates {
	if !c.ratesAt.Equal(now) {
		c.rates, c.ratesAt = c.window.rates(), now
	}
	return c.rates
}

// rates returns the rates over the last second, or over as much of the ring as has the same ones within
// the bounds of that second: under a lasting load they are known better.
func (w *window) rates() rates {
	if w.entered == nil {
		return rates{}
	}
	var last, all counts
	for n := 0; n <= w.filled; n++ {
		i := (w.at - n + buckets) % buckets
		if n > windowSize && all.started >= minStarts && last.span == 0 {
			last = all
		}
		all.entered += float64(w.entered[i])
		all.started += float64(w.started[i])
		all.span = (time.Duration(n)*bucketTime + w.inBucket).Seconds()
	}
	if last.span == 0 || last.agrees(all) {
		last = all
	}
	if last.span < measureTime.Seconds() || last.started < minStarts {
		return rates{}
	}
	return rates{
		known:       true,
		entered:     last.entered / last.span,
		started:     last.started / last.span,
		enteredLow:  max(0, last.entered-2*math.Sqrt(last.entered)) / last.span,
		startedHigh: (last.started + 2*math.Sqrt(last.started)) / last.span,
	}
}

// counts are the requests that entered and started in a span of seconds.
type counts struct{ entered, started, span float64 }

// agrees reports whether the rates of a longer span are within the bounds of this one's.
func (c counts) agrees(long counts) bool {
	return within(c.entered, long.entered*c.span/long.span) && within(c.started, long.started*c.span/long.span)
}

func within(n, expected float64) bool { return math.Abs(n-expected) <= 2*math.Sqrt(n) }
