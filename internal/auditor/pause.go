// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package auditor

import "time"

// Pause records a pause of an upstream. Requests that it reads in the pause or up to TellTime later may have
// reached it when the pause began, and answers that it writes in the pause leave at its end.
func (a *Auditor) Pause(upstream string, from, to time.Time) {
	u := a.upstream(upstream)
	u.pauses = append(u.pauses, interval{from, to})
}

// earliest returns when a request may have reached the upstream at the earliest.
func (u *upstream) earliest(r arrival) time.Time {
	first := r.at
	for _, p := range u.pauses {
		if !r.at.Before(p.from) && r.at.Sub(p.to) <= TellTime && p.from.Before(first) {
			first = p.from
		}
	}
	return first
}

// leftAt returns when an answer that was written at a time left the upstream.
func (u *upstream) leftAt(written time.Time) time.Time {
	for _, p := range u.pauses {
		if !written.Before(p.from) && written.Before(p.to) {
			return p.to
		}
	}
	return written
}
