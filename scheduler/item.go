// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package scheduler

import (
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
)

// Item is one waiting request.
type Item struct {
	Class           string
	ClassWeight     float64
	Rank            int // Rank is the class's urgency; 0 is the most urgent.
	Workspace       string
	WorkspaceWeight float64
	Cost            float64   // Cost is the work of the request, in tokens.
	Latest          time.Time // Latest is the latest start that can meet the deadline.
	// Due is the latest start that can meet the objective; zero if there is none. Items past it wait
	// behind those that can still meet theirs.
	Due time.Time
	// Lead is the time from start to first byte that Due allows for. If a longer one is learned while
	// the item waits, its Due is earlier by the difference.
	Lead time.Duration
	// First is when the request was first attempted by its caller; Entered if zero.
	First time.Time
	// MayHaveRun reports that an earlier attempt may have run, so that the request can't be refused.
	MayHaveRun bool
	// Begin starts the request if there is capacity, and reports whether it did. It is
	// for admission by more than class and rank, and may be nil.
	Begin func() bool
	// Left is set by Begin if the item leaves the queue without a start at an upstream.
	Left bool
	// Group names the capacity that items compete for, such as a service.
	Group string
	// Rate returns the rate at which items like this one may be granted, in items a second, and false
	// if it is not limited. It may be nil.
	Rate func() (perSecond float64, limited bool)
	// Entered is when the item was passed to Gate.Enter. It may be zero if Rate is nil.
	Entered time.Time
	// Wait is set if the item is rejected because its turn would come too late: the time until then.
	Wait time.Duration
	// Forecast is set when the item is queued: the expected time until its start; 0 if it is not known.
	Forecast time.Duration
	// RetryAfter is set if the item is refused as hopeless: the time after which the request may return.
	RetryAfter time.Duration

	lane   arbiter.Lane
	class  *class
	flow   *flow // flow is nil in the late lane.
	queued bool
	result chan EnterResult
}

// Lane returns the lane in which the item waits or last waited; empty if it was never queued.
func (it *Item) Lane() arbiter.Lane { return it.lane }

// key returns the key of the item's class in forecasts and messages.
func (it *Item) key() arbiter.ClassKey { return arbiter.ClassKey{Service: it.Group, Class: it.Class} }

// first returns when the request was first attempted.
func (it *Item) first() time.Time {
	if it.First.IsZero() {
		return it.Entered
	}
	return it.First
}
