// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import "time"

// Evacuation is an operator's order to drain an availability zone: its upstreams get no
// new requests until the evacuation ends.
type Evacuation struct {
	AvailabilityZone string
	Ended            bool // Ended reports that the evacuation has ended.
}

// evacuations holds the latest evacuation of each availability zone that ever had one.
type evacuations map[string]evacuation

type evacuation struct {
	offset  int64
	endedAt time.Time // endedAt is when this host learned of the end; zero while the zone is evacuated.
}

// apply applies a record and reports whether anything changed. Several hosts pass records
// on, so that older ones are ignored.
func (e evacuations) apply(now time.Time, ev Evacuation, offset int64) bool {
	current, known := e[ev.AvailabilityZone]
	if known && offset <= current.offset || !known && ev.Ended {
		return false
	}
	updated := evacuation{offset: offset}
	if ev.Ended {
		updated.endedAt = now
	}
	e[ev.AvailabilityZone] = updated
	return !known || current.endedAt.IsZero() != updated.endedAt.IsZero()
}

// evacuated returns the zones that are evacuated now.
func (e evacuations) evacuated() map[string]bool {
	out := make(map[string]bool)
	for zone, ev := range e {
		if ev.endedAt.IsZero() {
			out[zone] = true
		}
	}
	return out
}

// endTimes returns when each past evacuation ended, by zone.
func (e evacuations) endTimes() map[string]time.Time {
	out := make(map[string]time.Time)
	for zone, ev := range e {
		if !ev.endedAt.IsZero() {
			out[zone] = ev.endedAt
		}
	}
	return out
}
