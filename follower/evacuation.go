// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import "time"

// Evacuation is the operators' word that an availability zone is to be emptied: its
// upstreams are sent nothing new until it is taken back.
type Evacuation struct {
	AvailabilityZone string
	Over             bool // Over tells that the zone is taken back.
}

// evacuations is what is known of each availability zone that was ever evacuated.
type evacuations map[string]evacuation

type evacuation struct {
	offset int64
	over   time.Time // over is when this host heard that the zone is taken back; zero while it is evacuated.
}

// put takes in what a record says and reports whether that changes anything. Records are
// told by several hosts: an older one changes nothing.
func (e evacuations) put(now time.Time, v Evacuation, offset int64) bool {
	had, known := e[v.AvailabilityZone]
	if known && offset <= had.offset || !known && v.Over {
		return false
	}
	next := evacuation{offset: offset}
	if v.Over {
		next.over = now
	}
	e[v.AvailabilityZone] = next
	return !known || had.over.IsZero() != next.over.IsZero()
}

// evacuated returns the zones that are to be sent nothing.
func (e evacuations) evacuated() map[string]bool {
	out := make(map[string]bool)
	for zone, had := range e {
		if had.over.IsZero() {
			out[zone] = true
		}
	}
	return out
}

// returned returns when each zone that was evacuated was taken back.
func (e evacuations) returned() map[string]time.Time {
	out := make(map[string]time.Time)
	for zone, had := range e {
		if !had.over.IsZero() {
			out[zone] = had.over
		}
	}
	return out
}
