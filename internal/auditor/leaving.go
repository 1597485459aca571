// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package auditor

import (
	"fmt"
	"time"
)

// leavingViolations describes the requests that hosts forwarded to an upstream too long after an answer
// had told them that it is leaving.
func (a *Auditor) leavingViolations(name string) []string {
	var out []string
	u := a.upstream(name)
	for _, r := range u.arrivals {
		if told, ok := a.toldLeaving(u, r); ok && r.sent.Sub(told) > a.opts.Drain {
			out = append(out, fmt.Sprintf("%s got a request from %s %v after an answer had said that it is leaving, sent %v after",
				name, r.host, r.at.Sub(told), r.sent.Sub(told)))
		}
	}
	return out
}

// LatestAfterLeaving returns the longest time from an answer that said that the upstream is leaving to a
// request from the same host, and the number of such requests.
func (a *Auditor) LatestAfterLeaving(name string) (latest time.Duration, requests int) {
	u := a.upstream(name)
	for _, r := range u.arrivals {
		if told, ok := a.toldLeaving(u, r); ok {
			requests++
			latest = max(latest, r.at.Sub(told))
		}
	}
	return latest, requests
}

// toldLeaving returns when the host of a request was first told that the upstream is leaving, with no
// restart since.
func (a *Auditor) toldLeaving(u *upstream, r arrival) (first time.Time, ok bool) {
	for _, written := range u.leaving[r.host] {
		t := u.leftAt(written)
		if t.After(r.at) || a.restarted(r.host, t, r.at) {
			continue
		}
		if !ok || t.Before(first) {
			first, ok = t, true
		}
	}
	return first, ok
}
