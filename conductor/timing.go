// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import "time"

// Timing has the intervals of the control plane.
type Timing struct {
	Tick    time.Duration // Tick is the interval of the control loop.
	Beat    time.Duration // Beat is the interval between heartbeats.
	Report  time.Duration // Report is the interval between reports of work under way.
	Suspect time.Duration // Suspect is the silence after which a host is no longer named to callers.

	// BeatStandby and SuspectStandby are the same for hosts that stand by in a large
	// fleet, and towards them.
	BeatStandby    time.Duration
	SuspectStandby time.Duration

	Forget time.Duration // Forget is how long hosts that are gone are remembered.

	Admit time.Duration // Admit is the interval between looks at the times of requests that wait.

	Wait   time.Duration // Wait is how long the store holds a question for the next record.
	Fresh  time.Duration // Fresh is the age from which the second in rank reads a feed as well.
	Step   time.Duration // Step is added to Fresh for each further one.
	Gather time.Duration // Gather is the least time between two questions, in which records come together.
	// GatherMany is Gather in a large fleet, where each page goes to all hosts.
	GatherMany time.Duration
	Again      time.Duration // Again is the pause after a call to the store that failed.
	Behind     time.Duration // Behind is how long another host may know more before it is asked.
	Ask        time.Duration // Ask is the interval between questions to other hosts for a page.
	AskAll     time.Duration // AskAll is the same for a whole listing in a large fleet.

	// Term is how long a hold on the renewals' lease lasts without renewal. When its
	// holder dies, the next order comes a term, a turn of 3 s and a margin later, and
	// 18 engines take 6 s: together they must stay within the 10 s in which engines
	// are to be renewed.
	Term   time.Duration
	Margin time.Duration // Margin is taken off a term by its holder, and added by others.
}

// DefaultTiming returns timings with which a change is known everywhere within
// 2 s although the host that reads for all has just been cut off: others hear
// from it every 0.8 s, and the next one reads 1.15 s after it was heard last.
func DefaultTiming() Timing {
	return Timing{
		Tick:    50 * time.Millisecond,
		Beat:    200 * time.Millisecond,
		Report:  100 * time.Millisecond,
		Suspect: 800 * time.Millisecond,

		BeatStandby:    time.Second,
		SuspectStandby: 3500 * time.Millisecond,

		Forget: 30 * time.Second,
		Admit:  20 * time.Millisecond,
		Wait:   700 * time.Millisecond,
		Fresh:  time.Second,
		Step:   150 * time.Millisecond,
		Gather: 100 * time.Millisecond,

		GatherMany: 250 * time.Millisecond,

		Again:  250 * time.Millisecond,
		Behind: 150 * time.Millisecond,
		Ask:    300 * time.Millisecond,
		AskAll: 1200 * time.Millisecond,
		Term:   time.Second,
		Margin: 200 * time.Millisecond,
	}
}
