// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package activator

import "time"

const (
	// riseBy and riseLeast are how far use must rise above what was told last before it
	// is told again: each change goes to all hosts.
	riseBy    = 1.25
	riseLeast = 0.1 // riseLeast is in cores.
	// fallTo is the part of what was told last under which use must stay for fallAfter
	// before less is told, so that hosts are not called and sent away in turns.
	fallTo    = 0.6
	fallAfter = 10 * time.Second
	// smoothing is the time over which use is averaged: a garbage collection or one
	// long prompt is no trend.
	smoothing = 2 * time.Second
)

// Gauge turns measurements of what the hosts of an availability zone use into the
// figure that all hosts are told. The zero value is ready.
type Gauge struct {
	told  float64
	mean  float64
	at    time.Time
	below time.Time // below is since when use is under what may be told as less.
}

// Update takes the cores that are used now. It returns the figure to tell, and whether
// it has changed.
func (g *Gauge) Update(now time.Time, used float64) (told float64, changed bool) {
	g.average(now, used)
	switch {
	case g.mean > g.told*riseBy && g.mean > g.told+riseLeast:
		g.told, g.below = g.mean, time.Time{}
		return g.told, true
	case g.mean >= g.told*fallTo || g.told <= riseLeast:
		g.below = time.Time{}
	case g.below.IsZero():
		g.below = now
	case now.Sub(g.below) >= fallAfter:
		g.told, g.below = g.mean, time.Time{}
		return g.told, true
	}
	return g.told, false
}

func (g *Gauge) average(now time.Time, used float64) {
	weight := 1.0
	if !g.at.IsZero() {
		weight = min(1, float64(now.Sub(g.at))/float64(smoothing))
	}
	g.mean += weight * (used - g.mean)
	g.at = now
}
