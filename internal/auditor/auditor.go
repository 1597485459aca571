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

// MaxRestArrivals is the number of requests that may reach an upstream from a host in a time of rest.
const MaxRestArrivals = 2

// Options configure an Auditor.
type Options struct {
	Settle time.Duration // Settle is the time from the first declaration of a rate to the first window that is checked.
	// Drain is the time from an answer that says that its upstream is leaving, after which the host may
	// forward no newer request there.
	Drain time.Duration
}

// Auditor collects records in any order. It is not safe for concurrent use.
type Auditor struct {
	opts      Options
	upstreams map[string]*upstream
	restarts  map[string][]interval // restarts are by host.
	cuts      map[string][]interval // cuts are by host.
}

type interval struct{ from, to time.Time }

// upstream is the record of one upstream instance.
type upstream struct {
	rates    []declaration
	told     map[string][]time.Time // told has the times of answers that declared a rate, by host.
	leaving  map[string][]time.Time // leaving has the times of answers that said that it is leaving, by host.
	rests    []rest
	arrivals []arrival
	pauses   []interval
}

// rest is an answer that asked a host for rest.
type rest struct {
	host string
	at   time.Time
	span time.Duration
}

type declaration struct {
	at        time.Time
	perSecond float64
}

type arrival struct {
	host string
	sent time.Time // sent is when the caller sent the request to the host.
	at   time.Time
}

// New returns an Auditor without records.
func New(opts Options) *Auditor {
	return &Auditor{
		opts: opts, upstreams: make(map[string]*upstream),
		restarts: make(map[string][]interval), cuts: make(map[string][]interval),
	}
}

func (a *Auditor) upstream(name string) *upstream {
	u := a.upstreams[name]
	if u == nil {
		u = &upstream{told: make(map[string][]time.Time), leaving: make(map[string][]time.Time)}
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

// ToldLeaving records that a host had an answer that said that its upstream is leaving.
func (a *Auditor) ToldLeaving(upstream, host string, at time.Time) {
	u := a.upstream(upstream)
	u.leaving[host] = append(u.leaving[host], at)
}

// ToldRest records that a host had an answer that asked it for rest.
func (a *Auditor) ToldRest(upstream, host string, at time.Time, span time.Duration) {
	u := a.upstream(upstream)
	u.rests = append(u.rests, rest{host, at, span})
}

// Arrived records a request that its caller sent to the host at a time.
func (a *Auditor) Arrived(upstream, host string, sent, at time.Time) {
	u := a.upstream(upstream)
	u.arrivals = append(u.arrivals, arrival{host, sent, at})
}

// Excuse records a restart or a pause of a host.
func (a *Auditor) Excuse(host string, from, to time.Time) {
	a.restarts[host] = append(a.restarts[host], interval{from, to})
}

// ExcuseCut records a cut of a host's paths, which is no excuse for requests to an upstream that is
// leaving.
func (a *Auditor) ExcuseCut(host string, from, to time.Time) {
	a.cuts[host] = append(a.cuts[host], interval{from, to})
}

// Violations describes the broken rules.
func (a *Auditor) Violations() []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(a.upstreams)) {
		if w := a.WorstWindow(name); float64(w.Arrivals) > w.Allowed {
			out = append(out, w.describe(name))
		}
		out = append(out, a.leavingViolations(name)...)
		out = append(out, a.restViolations(name)...)
	}
	return out
}

// bound reports whether an answer that declared the rate binds the host of a request: it was given long
// enough before, and the host has had no fault since.
func (a *Auditor) bound(u *upstream, r arrival) bool {
	return slices.ContainsFunc(u.told[r.host], func(t time.Time) bool {
		return u.earliest(r).Sub(t) >= TellTime && !a.excused(r.host, t, r.at)
	})
}

// excused reports whether a restart, a pause or a cut of a host overlaps an interval.
func (a *Auditor) excused(host string, from, to time.Time) bool {
	return a.restarted(host, from, to) || overlaps(a.cuts[host], from, to)
}

// restarted reports whether a restart or a pause of a host overlaps an interval.
func (a *Auditor) restarted(host string, from, to time.Time) bool {
	return overlaps(a.restarts[host], from, to)
}

func overlaps(all []interval, from, to time.Time) bool {
	return slices.ContainsFunc(all, func(i interval) bool { return !i.to.Before(from) && !i.from.After(to) })
}
