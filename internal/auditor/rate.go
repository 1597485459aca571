// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package auditor

import (
	"fmt"
	"slices"
	"time"
)

// Window is the number of requests in one window of time.
type Window struct {
	From     time.Time
	Arrivals int
	Allowed  float64
}

func (w Window) describe(upstream string) string {
	return fmt.Sprintf("%s got %d requests within %v of hosts that its rate binds, %.1f are allowed (from %s)",
		upstream, w.Arrivals, RateWindow, w.Allowed, w.From.Format("15:04:05.000"))
}

// WorstWindow returns the window with the most requests beyond what the declared rate allows, or the
// zero Window if no window was checked.
func (a *Auditor) WorstWindow(name string) Window {
	u := a.upstream(name)
	u.sort()
	var worst Window
	counted := a.boundArrivals(u)
	for _, r := range counted {
		first := r.from
		w := Window{From: first}
		if !u.declaredThroughout(first, a.opts.Settle) {
			continue
		}
		w.Allowed = RateFactor*u.allowance(first, first.Add(RateWindow)) + RateSlack
		for _, other := range counted {
			if !other.from.Before(first) && other.to.Sub(first) < RateWindow {
				w.Arrivals++
			}
		}
		if worst.From.IsZero() || float64(w.Arrivals)-w.Allowed > float64(worst.Arrivals)-worst.Allowed {
			worst = w
		}
	}
	return worst
}

// Use returns the number of requests in an interval, of all hosts, as a share of what the declared rate
// allows.
func (a *Auditor) Use(name string, from, to time.Time) float64 {
	u := a.upstream(name)
	u.sort()
	n := 0
	for _, r := range u.arrivals {
		if !r.at.Before(from) && r.at.Before(to) {
			n++
		}
	}
	return float64(n) / u.allowance(from, to)
}

func (u *upstream) sort() {
	slices.SortFunc(u.arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	slices.SortStableFunc(u.rates, func(a, b declaration) int { return a.at.Compare(b.at) })
}

// boundArrivals returns when requests of hosts that were bound by the rate may have reached the upstream.
func (a *Auditor) boundArrivals(u *upstream) []interval {
	var out []interval
	for _, r := range u.arrivals {
		if a.bound(u, r) {
			out = append(out, interval{u.earliest(r), r.at})
		}
	}
	return out
}

// declaredThroughout reports whether a rate is declared in the whole window that begins at a time, which
// is settle or later after the first declaration.
func (u *upstream) declaredThroughout(from time.Time, settle time.Duration) bool {
	declared := false
	for _, d := range u.rates {
		switch {
		case !d.at.After(from.Add(-settle)):
			declared = declared || d.perSecond > 0
		case d.perSecond == 0 && d.at.Before(from.Add(RateWindow)):
			return false
		}
		if d.perSecond == 0 && !d.at.After(from) {
			declared = false
		}
	}
	return declared
}

// allowance returns the number of requests that the declared rates allow in an interval. Where a rate
// falls, the earlier one holds for TellTime more.
func (u *upstream) allowance(from, to time.Time) float64 {
	const step = 10 * time.Millisecond
	sum := 0.0
	for at := from; at.Before(to); at = at.Add(step) {
		sum += u.rateAt(at) * step.Seconds()
	}
	return sum
}

// rateAt returns the highest rate declared in the last TellTime before a time.
func (u *upstream) rateAt(at time.Time) float64 {
	highest, current := 0.0, 0.0
	for _, d := range u.rates {
		if d.at.After(at) {
			break
		}
		if d.at.After(at.Add(-TellTime)) {
			highest = max(highest, current)
		}
		current = d.perSecond
	}
	return max(highest, current)
}
