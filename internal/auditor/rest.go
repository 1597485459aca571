// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package auditor

import "fmt"

// restViolations describes the times of rest in which a host sent too many requests.
func (a *Auditor) restViolations(name string) []string {
	var out []string
	u := a.upstream(name)
	for _, r := range u.rests {
		if n := a.restArrivals(u, r); n > MaxRestArrivals {
			out = append(out, fmt.Sprintf("%s asked %s for %v of rest and got %d requests from it in that time", name, r.host, r.span, n))
		}
	}
	return out
}

// RestArrivals returns the number of requests in times of rest.
func (a *Auditor) RestArrivals(name string) int {
	u := a.upstream(name)
	n := 0
	for _, r := range u.rests {
		n += a.restArrivals(u, r)
	}
	return n
}

// restArrivals returns the number of requests of the host in one time of rest.
func (a *Auditor) restArrivals(u *upstream, r rest) int {
	told := u.leftAt(r.at)
	from, to := told.Add(TellTime), told.Add(r.span)
	n := 0
	for _, v := range u.arrivals {
		if v.host == r.host && u.earliest(v).After(from) && v.at.Before(to) && !a.excused(r.host, r.at, v.at) {
			n++
		}
	}
	return n
}
