// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package receiver

import "time"

// Effect is what a signal does to a host.
type Effect string

// Effects of signals.
const (
	Drain   Effect = "Drain"   // Drain begins a drain, or makes one that SIGINT began independent of further ones.
	Ignored Effect = "Ignored" // Ignored changes nothing.
	Cut     Effect = "Cut"     // Cut ends the drain and the requests in progress.
	Reload  Effect = "Reload"  // Reload reads the settings again.
)

// RepeatTime is the time from the first SIGINT from which on a further one is a decision of the operator.
const RepeatTime = time.Second

// phase says what a host does.
type phase string

const (
	running     phase = ""            // running serves.
	interrupted phase = "Interrupted" // interrupted drains for an operator, who may end the drain.
	terminated  phase = "Terminated"  // terminated drains until it is done.
	ending      phase = "Ending"      // ending ends requests in progress.
)

// Policy decides what signals do. Its zero value is that of a host that serves.
//
// A supervisor may repeat SIGTERM, and a process group may get it twice, so that no further signal ends the drain that it
// began. An operator at a terminal sends SIGINT again to end the drain.
type Policy struct {
	phase phase
	since time.Time // since is the time of the first SIGINT.
}

// Take returns the policy after a signal that came at now, by a clock that stands still while the process does, and the
// effect of the signal.
func (p Policy) Take(s Signal, now time.Time) (Policy, Effect) {
	switch {
	case s == Hangup && p.phase == running:
		return p, Reload
	case s == Interrupt && p.phase == running:
		return Policy{phase: interrupted, since: now}, Drain
	case s == Terminate && (p.phase == running || p.phase == interrupted):
		return Policy{phase: terminated}, Drain
	case s == Interrupt && p.phase == interrupted && now.Sub(p.since) >= RepeatTime:
		return Policy{phase: ending}, Cut
	default:
		return p, Ignored
	}
}
