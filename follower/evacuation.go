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
	position Position
	begun    int64     // begun is the offset of the record that began it.
	endedAt  time.Time // endedAt is when this host learned of the end; zero while the zone is evacuated.
}

// apply applies a record. Several hosts pass records on, so that older ones are ignored.
func (e evacuations) apply(now time.Time, ev Evacuation, at Position) Effect {
	current, known := e[ev.AvailabilityZone]
	switch {
	case !known && ev.Ended:
		return EffectNone
	case known && (!current.position.Before(at) || current.outlives(ev, at)):
		return EffectOutdated
	}
	updated := evacuation{position: at, begun: at.Offset}
	if ev.Ended {
		updated.begun, updated.endedAt = current.begun, now
	}
	e[ev.AvailabilityZone] = updated
	if known && current.endedAt.IsZero() == updated.endedAt.IsZero() {
		return EffectNone
	}
	return EffectChanged
}

// outlives reports whether an evacuation has ended, and a record is the one that began it: the store lost
// the record of the end.
func (e evacuation) outlives(ev Evacuation, at Position) bool {
	return !ev.Ended && !e.endedAt.IsZero() && at.Era > e.position.Era && at.Offset == e.begun
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
