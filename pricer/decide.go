// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package pricer

import "time"

// Thresholds of Decide.
const (
	// LongTokens is the length from which a fetch may take a large part of the objective to spare an engine
	// a prefill that would be sooner. The prefill of a shorter part takes under 48 ms at the usual pace,
	// about a tenth of the shortest objective of prompts, and makes few of the engine's other requests late.
	LongTokens = 2000
	// shortShare is the share of the objective by which the fetch of a short part may exceed its prefill, and
	// shortGrace the same without an objective: little enough that no caller is late for it.
	shortShare = 0.05
	shortGrace = 20 * time.Millisecond
	// maxFactor and grace bound the fetch of a long part by its prefill. The factor is 1 for the request
	// itself and 1.4 for the requests that its prefill would delay.
	maxFactor = 2.4
	grace     = 20 * time.Millisecond
	// objectiveShare is the share of an objective that the fetch of a long part may take while it is met.
	// Several requests share long parts, so that a prefill which is avoided once is avoided for all.
	objectiveShare = 0.5
	// maxQueue is the time in a link's queue after which an engine does not start a fetch.
	maxQueue = 2 * time.Second
)

// Part is a part of a prompt, or several that are only usable together.
type Part struct {
	Tokens int
	Source bool          // Source reports that a store or another engine is believed to hold the part.
	Queue  time.Duration // Queue is the time until the transfer starts.
	// Fetch is the time until the transfer has ended, including Queue.
	Fetch   time.Duration
	Prefill time.Duration // Prefill is the time that the engine takes for the part at its present pace.
	// Objective is the caller's objective; 0 if there is none.
	Objective time.Duration
	// Slack is what the objective leaves for the part at the time of the choice. It is negative if the
	// request is late already, and means nothing without an objective.
	Slack time.Duration
	// Others is the number of the engine's other requests, each of which the prefill delays.
	Others int
}

// Reason says why a part is fetched or prefilled.
type Reason string

// Values of Reason.
const (
	NoSource        Reason = "NoSource"        // NoSource means that nothing holds the part.
	QueuedTooLong   Reason = "QueuedTooLong"   // QueuedTooLong means that the engine would not start the fetch.
	FetchedSooner   Reason = "FetchedSooner"   // FetchedSooner means that the fetch is not longer than the prefill.
	PrefilledSooner Reason = "PrefilledSooner" // PrefilledSooner means that the fetch is longer, and not worth its time.
	// ObjectiveLeavesNoTime means that only the prefill meets the objective.
	ObjectiveLeavesNoTime Reason = "ObjectiveLeavesNoTime"
	// SparesEngine means that the fetch is longer, but spares the engine's other requests the prefill.
	SparesEngine Reason = "SparesEngine"
)

// Reasons lists all reasons.
var Reasons = [...]Reason{NoSource, QueuedTooLong, FetchedSooner, PrefilledSooner, ObjectiveLeavesNoTime, SparesEngine}

// Decision is what to do with a part.
type Decision struct {
	Fetch  bool
	Reason Reason
}

// Decide returns whether a part is fetched. A part below LongTokens is fetched although it is prefilled sooner
// only if the prefill would delay the engine's other requests by more in sum than the fetch delays this one,
// and that delay is a small share of the objective.
func Decide(p Part) Decision {
	switch {
	case !p.Source:
		return Decision{Reason: NoSource}
	case p.Queue >= maxQueue:
		return Decision{Reason: QueuedTooLong}
	case p.Fetch <= p.Prefill:
		return Decision{Fetch: true, Reason: FetchedSooner}
	case p.Tokens < LongTokens && p.Fetch-p.Prefill > p.shortLimit():
		return Decision{Reason: PrefilledSooner}
	case p.Objective > 0 && p.Fetch > p.Slack && p.Prefill <= p.Slack:
		return Decision{Reason: ObjectiveLeavesNoTime}
	case p.Tokens >= LongTokens && p.Fetch > p.limit():
		return Decision{Reason: PrefilledSooner}
	}
	return Decision{Fetch: true, Reason: SparesEngine}
}

// shortLimit returns the longest time by which the fetch of a short part may exceed its prefill.
func (p *Part) shortLimit() time.Duration {
	limit := shortGrace
	if p.Objective > 0 {
		limit = time.Duration(shortShare * float64(p.Objective))
	}
	return min(limit, time.Duration(p.Others)*p.Prefill)
}

// limit returns the longest fetch of a long part. The objective extends it only while it can be met.
func (p *Part) limit() time.Duration {
	limit := time.Duration(maxFactor*float64(p.Prefill)) + grace
	if p.Objective > 0 {
		limit = max(limit, min(p.Slack, time.Duration(objectiveShare*float64(p.Objective))))
	}
	return limit
}

// Tally counts decisions by their reasons, in the order of Reasons.
type Tally [len(Reasons)]uint8

// Add counts n decisions.
func (t *Tally) Add(r Reason, n int) {
	for i, known := range Reasons {
		if known == r {
			t[i] = uint8(min(255, int(t[i])+n))
		}
	}
}

// Count returns how many decisions had a reason.
func (t *Tally) Count(r Reason) int {
	for i, known := range Reasons {
		if known == r {
			return int(t[i])
		}
	}
	return 0
}
