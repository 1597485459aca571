// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forecaster

import (
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
)

const (
	leadWeight = 1. / 16 // leadWeight is the weight of a new observation.
	// leadDeviations is the number of mean deviations above the mean that Lead allows for, which covers
	// nine in ten of normally distributed times.
	leadDeviations = 1.75
	maxLead        = time.Minute // maxLead is the longest plausible time to a first byte.
)

// lead is the mean of the times from start to first byte and their mean absolute deviation, with
// exponentially decaying weights.
type lead struct {
	known           bool
	mean, deviation float64 // in seconds
}

// ObserveLead records the time from the start of a request to its first byte.
func (f *Forecaster) ObserveLead(key arbiter.ClassKey, d time.Duration) {
	if d < 0 || d > maxLead {
		return
	}
	l, s := &f.class(key).lead, d.Seconds()
	if !l.known {
		*l = lead{known: true, mean: s}
		return
	}
	l.deviation += leadWeight * (abs(s-l.mean) - l.deviation)
	l.mean += leadWeight * (s - l.mean)
}

func abs(x float64) float64 { return max(x, -x) }

// Lead returns the time from start to first byte that about nine in ten requests of a class stay below;
// 0 if none has been observed.
func (f *Forecaster) Lead(key arbiter.ClassKey) time.Duration {
	c := f.class(key)
	return time.Duration((c.lead.mean + leadDeviations*c.lead.deviation) * float64(time.Second))
}
