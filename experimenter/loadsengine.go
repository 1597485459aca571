// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/assessor"
)

// loadsEngine prefills one prompt after another at a pace that changes in each period.
type loadsEngine struct {
	machine float64       // machine is the factor by which it is always slower.
	paces   []float64     // paces is the factor in each period.
	freeAt  time.Duration // freeAt is when the last prefill ends.
	runs    []loadsRun    // runs are those that may not have ended.
}

// loadsRun is when a request begins and ends.
type loadsRun struct{ begin, end time.Duration }

func newLoadsEngine(rng *rand.Rand, o LoadsOptions, index int) *loadsEngine {
	e := &loadsEngine{machine: 1}
	if index%3 == 0 {
		e.machine = loadsMachine
	}
	for range int(o.For/loadsPeriod) + 1 {
		pace := 1.0
		if rng.Float64() < o.Slow {
			pace = o.Slowdown
		}
		e.paces = append(e.paces, pace)
	}
	return e
}

func (e *loadsEngine) pace(at time.Duration) float64 {
	return e.paces[min(int(at/loadsPeriod), len(e.paces)-1)]
}

// finish returns when work that begins at a time ends, at the paces of the periods that it spans.
func (e *loadsEngine) finish(at, work time.Duration) time.Duration {
	work = time.Duration(e.machine * float64(work))
	for {
		next := (at/loadsPeriod + 1) * loadsPeriod
		end := at + time.Duration(float64(work)*e.pace(at))
		if end <= next {
			return end
		}
		work -= time.Duration(float64(next-at) / e.pace(at))
		at = next
	}
}

// run returns the times of the first token and of the end of a request that arrives at a time.
func (e *loadsEngine) run(at, prefill time.Duration) (first, end time.Duration) {
	e.runs = slices.DeleteFunc(e.runs, func(r loadsRun) bool { return r.end <= at })
	begin := max(at, e.freeAt)
	if n := len(e.runs); n >= loadsSlots {
		var ends []time.Duration
		for _, r := range e.runs {
			ends = append(ends, r.end)
		}
		slices.Sort(ends)
		begin = max(begin, ends[n-loadsSlots])
	}
	first = e.finish(begin, prefill)
	end = e.finish(first, loadsRunTime)
	e.freeAt = first
	e.runs = append(e.runs, loadsRun{begin, end})
	return first, end
}

// load returns what the engine states at a time.
func (e *loadsEngine) load(at time.Duration) assessor.Load {
	l := assessor.Load{Slots: loadsSlots, Slowdown: float32(e.pace(at))}
	for _, r := range e.runs {
		switch {
		case r.begin > at:
			l.Waiting++
		case r.end > at:
			l.Running++
		}
	}
	return l
}
