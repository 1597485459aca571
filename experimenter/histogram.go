// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram records durations. It is not safe for concurrent use.
type Histogram struct {
	histogram *hdrhistogram.Histogram
}

// maxDuration is the largest recordable duration. Longer ones are recorded as
// this one.
const maxDuration = 10 * time.Minute

// NewHistogram returns an empty histogram with a precision of three
// significant figures.
func NewHistogram() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(1, int64(maxDuration), 3)}
}

// Add records a duration.
func (h *Histogram) Add(d time.Duration) {
	_ = h.histogram.RecordValue(min(max(int64(d), 1), int64(maxDuration)))
}

// Merge adds all durations of another histogram.
func (h *Histogram) Merge(other *Histogram) { h.histogram.Merge(other.histogram) }

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 { return h.histogram.TotalCount() }

// Quantile returns the q-quantile, with q from 0 to 1.
func (h *Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.histogram.ValueAtQuantile(q * 100))
}

// String returns the median and the 95th and 99th percentiles.
func (h *Histogram) String() string {
	return fmt.Sprintf("p50 %8s  p95 %8s  p99 %8s",
		round(h.Quantile(0.5)), round(h.Quantile(0.95)), round(h.Quantile(0.99)))
}

// round rounds a duration for printing.
func round(d time.Duration) time.Duration {
	switch {
	case d > time.Second:
		return d.Round(time.Millisecond)
	case d > time.Millisecond:
		return d.Round(10 * time.Microsecond)
	}
	return d.Round(100 * time.Nanosecond)
}
