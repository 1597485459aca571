// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forecaster

import (
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
)

// overloadEnds is the time without a refusal after which an overload has ended.
const overloadEnds = 2 * time.Second

// overload is a time in which requests of a class are refused.
type overload struct {
	began   time.Time // began is zero if there is none.
	last    time.Time // last is when a request was last refused.
	refused uint64
	told    bool // told reports whether Changes has returned its beginning.
}

// Change is the beginning or the end of the overload of a class.
type Change struct {
	Key     arbiter.ClassKey
	Ended   bool
	Entered float64       // Entered and Started are rates over all hosts, in requests a second.
	Started float64       // They are 0 if they are not known any more.
	Refused uint64        // Refused is the number of requests refused at this host.
	Lasted  time.Duration // Lasted is the time from the first refusal to the last.
}

// Refused counts a request refused as hopeless.
func (f *Forecaster) Refused(now time.Time, key arbiter.ClassKey) {
	o := &f.class(key).overload
	if o.began.IsZero() {
		*o = overload{began: now}
	}
	o.last = now
	o.refused++
}

// Changes returns the overloads that have begun or ended since the last call.
func (f *Forecaster) Changes(now time.Time) []Change {
	var changes []Change
	for _, c := range f.list {
		o := &c.overload
		if o.began.IsZero() {
			continue
		}
		ended := now.Sub(o.last) >= overloadEnds
		if o.told && !ended {
			continue
		}
		r := c.measured(now)
		changes = append(changes, Change{Key: c.key, Ended: ended, Entered: r.entered, Started: r.started, Refused: o.refused, Lasted: o.last.Sub(o.began)})
		o.told = true
		if ended {
			*o = overload{}
		}
	}
	return changes
}
