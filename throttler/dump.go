// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package throttler

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of one limit for inspection.
type Dump struct {
	Limit
	Known   time.Duration // Known is the time since this host learned of the statement.
	Owners  []string      // Owners are the hosts that divide the limit, as this host sees it.
	Rate    float64       // Rate is the rate of each owner, in requests a second.
	Tokens  float64       // Tokens are those in this host's bucket; 0 if it is no owner.
	Permits int           // Permits are tokens received from owners and not used yet.
	Askers  []string      // Askers are the hosts that wait for tokens of this one.
}

// Dump returns the state of all limits, also of withdrawn ones.
func (t *Throttler) Dump(now time.Time) []Dump {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Dump
	for _, s := range t.limits {
		if s.limited() {
			t.refresh(now, s)
		}
		d := Dump{Limit: s.Limit, Known: now.Sub(s.since), Owners: slices.Clone(s.owners), Rate: s.rate, Tokens: s.tokens, Permits: len(s.permits)}
		for host, a := range s.askers {
			if a.waits(now) {
				d.Askers = append(d.Askers, host)
			}
		}
		slices.Sort(d.Askers)
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Dump) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Limited returns the number of upstreams with a limit in force.
func (t *Throttler) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.limits {
		if s.limited() {
			n++
		}
	}
	return n
}
