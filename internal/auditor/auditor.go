// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package auditor

import (
	"maps"
	"slices"
	"time"
)

// Bounds of declared rates.
const (
	RateWindow = 4 * time.Second
	RateFactor = 1.5
	RateSlack  = 5
	// TellTime is the time from an answer after which its host is bound.
	TellTime = 500 * time.Millisecond
)

// Options configure an Auditor.
type Options struct {
	Settle time.Duration // Settle is the time from the first declaration of a rate to the first window that is checked.
}

// Auditor collects records in any order. It is not safe for concurrent use.
type Auditor struct {
	opts      Options
	upstreams map[string]*upstream
	excuses   map[string][]interval // excuses are by host.
}

type interval struct{ from, to time.Time }

// upstream is the record of one upstream instance.
type upstream struct {
	rates    []declaration
	told     map[string][]time.Time // told has the times of answers that declared a rate, by host.
	arrivals []arrival
}

type declaration struct {
	at        time.Time
	perSecond float64
}

type arrival struct {
	host string
	at   time.Time
}

// New returns an Auditor without records.
func New(opts Options) *Auditor {
	return &Auditor{opts: opts, upstreams: make(map[string]*upstream), excuses: make(map[string][]interval)}
}

func (a *Auditor) upstream(name string) *upstream {
	u := a.upstreams[name]
	if u == nil {
		u = &upstream{told: make(map[string][]time.Time)}
		a.upstreams[name] = u
	}
	return u
}

// Declare records the rate that an upstream declares from a time on; 0 if it declares none.
func (a *Auditor) Declare(upstream string, at time.Time, perSecond float64) {
	u := a.upstream(upstream)
	u.rates = append(u.rates, declaration{at, perSecond})
}

// Told records that a host had an answer that declared a rate.
func (a *Auditor) Told(upstream, host string, at time.Time) {
	u := a.upstream(upstream)
	u.told[host] = append(u.told[host], at)
}

// Arrived records a request.
func (a *Auditor) Arrived(upstream, host string, at time.Time) {
	u := a.upstream(upstream)
	u.arrivals = append(u.arrivals, arrival{host, at})
}

// Excuse records a fault of a host: a restart, a pause or a cut.
func (a *Auditor) Excuse(host string, from, to time.Time) {
	a.excuses[host] = append(a.excuses[host], interval{from, to})
}

// Violations describes the broken rules.
func (a *Auditor) Violations() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(a.upstreams)) {
		if w := a.WorstWindow(name); float64(w.Arrivals) > w.Allowed {
			out = append(out, w.describe(name))
		}
	}
	return out
}

// bound reports whether one of the times told binds a host at a time: long enough before, and with no
// fault of the host since.
func (a *Auditor) bound(host string, told []time.Time, at time.Time) bool {
	return slices.ContainsFunc(told, func(t time.Time) bool {
		return at.Sub(t) >= TellTime && !a.excused(host, t, at)
	})
}

// excused reports whether a fault of a host overlaps an interval.
func (a *Auditor) excused(host string, from, to time.Time) bool {
	return slices.ContainsFunc(a.excuses[host], func(i interval) bool {
		return !i.to.Before(from) && !i.from.After(to)
	})
}
