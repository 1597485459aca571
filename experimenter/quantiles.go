// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times collects durations. It is not safe for concurrent use.
type Times struct {
	histogram *hdrhistogram.Histogram
}

// largest is the longest duration that is told from longer ones.
const largest = 10 * time.Minute

// NewTimes returns an empty collection with three significant figures.
func NewTimes() *Times { return &Times{histogram: hdrhistogram.New(1, int64(largest), 3)} }

// Add adds a duration.
func (t *Times) Add(d time.Duration) {
	_ = t.histogram.RecordValue(min(max(int64(d), 1), int64(largest)))
}

// Merge adds all durations of another collection.
func (t *Times) Merge(o *Times) { t.histogram.Merge(o.histogram) }

// Count returns the number of durations.
func (t *Times) Count() int64 { return t.histogram.TotalCount() }

// At returns a quantile; q is from 0 to 1.
func (t *Times) At(q float64) time.Duration {
	return time.Duration(t.histogram.ValueAtQuantile(q * 100))
}

// String returns the usual quantiles.
func (t *Times) String() string {
	return fmt.Sprintf("p50 %8s  p95 %8s  p99 %8s", round(t.At(0.5)), round(t.At(0.95)), round(t.At(0.99)))
}

func round(d time.Duration) time.Duration {
	switch {
	case d > time.Second:
		return d.Round(time.Millisecond)
	case d > time.Millisecond:
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(100 * time.Nanosecond)
}
