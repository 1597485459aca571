// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/exchanger"
)

// PlanDrain returns the plan of a drain that begins now and has a time left; 0 if it is not bounded. The time to live is
// that of the directory's answers.
func PlanDrain(now time.Time, left, timeToLive time.Duration) exchanger.Drain {
	early := addressTTLFactor * timeToLive
	d := exchanger.Drain{}
	if left != 0 {
		left -= endReserve
		d.End = now.Add(left)
		early = min(early, time.Duration(maxEarlyShare*float64(left)))
	}
	d.Refuses = now.Add(early)
	return d
}

// DrainProgress is what decides when a host that drains takes no more requests.
type DrainProgress struct {
	Drain   exchanger.Drain
	Active  time.Time // Active is the last time at which a request arrived or ended.
	Open    int64     // Open is the number of requests in progress.
	Brief   int64     // Brief is the number of those for which a host that is alone does not wait.
	Reading bool      // Reading reports that a request is in progress or is being read.
	Slow    bool      // Slow reports that a request has been read, or an answer been written, for longer than a brief one lasts.
}

// Over reports whether the time of the drain is over.
func (p DrainProgress) Over(now time.Time) bool { return over(p.Drain, now) }

// Idle reports whether callers should no longer use cached addresses, nothing is left and no request arrives any more.
func (p DrainProgress) Idle(now time.Time) bool {
	return now.After(p.Drain.Refuses.Add(drainIdleTime)) && now.Sub(p.Active) > drainIdleTime && !p.Reading
}

// OnlyBrief reports whether the host is alone and only brief requests are left.
func (p DrainProgress) OnlyBrief(now time.Time) bool {
	return p.Drain.Alone && now.After(p.Drain.Refuses) && p.Open <= p.Brief && !p.Slow
}
