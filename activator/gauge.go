// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package activator

import "time"

const (
	// riseFactor and minRiseCores are how far use must exceed the last reported value before
	// it is reported again: each report goes to all hosts.
	riseFactor   = 1.25
	minRiseCores = 0.1
	// fallFactor is the fraction of the last reported value below which use must stay for
	// fallDelay before less is reported, so that hosts do not flap.
	fallFactor = 0.6
	fallDelay  = 10 * time.Second
	// smoothingTime is the time constant of the average, which filters short peaks such as
	// a garbage collection.
	smoothingTime = 2 * time.Second
)

// Gauge smooths measurements of the cores in use in an availability zone, and applies
// hysteresis to the value that is reported to all hosts. The zero value is ready to use.
type Gauge struct {
	reported   float64
	mean       float64
	updatedAt  time.Time
	belowSince time.Time // belowSince is since when use permits a lower report; zero if it does not.
}

// Update adds a measurement of the cores in use. It returns the value to report, in cores,
// and whether it has changed.
func (g *Gauge) Update(now time.Time, used float64) (reported float64, changed bool) {
	g.average(now, used)
	switch {
	case g.mean > g.reported*riseFactor && g.mean > g.reported+minRiseCores:
		g.reported, g.belowSince = g.mean, time.Time{}
		return g.reported, true
	case g.mean >= g.reported*fallFactor || g.reported <= minRiseCores:
		g.belowSince = time.Time{}
	case g.belowSince.IsZero():
		g.belowSince = now
	case now.Sub(g.belowSince) >= fallDelay:
		g.reported, g.belowSince = g.mean, time.Time{}
		return g.reported, true
	}
	return g.reported, false
}

func (g *Gauge) average(now time.Time, used float64) {
	weight := 1.0
	if !g.updatedAt.IsZero() {
		weight = min(1, float64(now.Sub(g.updatedAt))/float64(smoothingTime))
	}
	g.mean += weight * (used - g.mean)
	g.updatedAt = now
}
