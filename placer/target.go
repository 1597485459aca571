// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"time"

	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/renewer"
)

// Work is what hosts have under way at an upstream.
type Work struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	Pending  int `cbor:"2,keyasint,omitempty"` // Pending are prompt tokens that are still to be read.
	Memory   int `cbor:"3,keyasint,omitempty"` // Memory are tokens of requests that have not ended.
}

func (w *Work) add(o Work) {
	w.Requests += o.Requests
	w.Pending += o.Pending
	w.Memory += o.Memory
}

func (w *Work) sub(o Work) {
	w.Requests -= o.Requests
	w.Pending -= o.Pending
	w.Memory -= o.Memory
}

// target is an upstream with what is known of its load.
type target struct {
	*member
	engine *matcher.Engine // engine is nil for plain services.

	own     Work
	peers   Work
	failing float64       // failing is the recent share of requests that failed.
	hold    time.Duration // hold is how long a request of a plain service takes, smoothed.

	bears      float64       // bears is how many requests a second it bears while it is cold; 0 if any.
	coldFor    time.Duration // coldFor is how long it is cold after a start.
	guarded    time.Time     // guarded is until when it may be cold although nobody says so.
	share      int           // share is this host's part of what it bears, as of shareRound.
	shareRound int
	sent       []time.Time // sent is when this host last sent requests there.

	slow slowness // slow is how an engine's pace compares with the estimate.

	tickets      map[*Ticket]struct{} // tickets are this host's requests under way.
	eased        time.Time            // eased is when it last had more room than before.
	sign         time.Time            // sign is the last sign of life.
	suspectUntil time.Time
	pause        time.Duration
	probing      bool
	phase        renewer.Phase // phase tells that the engine loads weights or is about to.
	kept         keptSet
}

// work is what all hosts have under way there.
func (t *target) work() Work {
	w := t.own
	w.add(t.peers)
	return w
}

// Weights of smoothing and bounds of suspicion.
const (
	failWeight   = 0.1                    // failWeight follows a change within about ten requests.
	holdWeight   = 0.1                    // holdWeight does the same for times.
	firstHold    = 15 * time.Millisecond  // firstHold is assumed before the first answer.
	firstPause   = 500 * time.Millisecond // firstPause is how long an upstream that could not be reached rests.
	longestPause = 4 * time.Second
)

func (t *target) succeeded(now time.Time) {
	if t.pause > 0 {
		t.guarded = now.Add(coldGuard)
	}
	t.failing -= failWeight * t.failing
	t.suspectUntil, t.pause, t.probing = time.Time{}, 0, false
}

// took learns how long a request takes.
func (t *target) took(d time.Duration) { t.hold += time.Duration(holdWeight * float64(d-t.hold)) }

func (t *target) failed() {
	t.failing += failWeight * (1 - t.failing)
	t.probing = false
}

// unreached keeps new work away for a pause that grows with each failure.
func (t *target) unreached(now time.Time) {
	t.failed()
	if now.Before(t.suspectUntil) {
		return // requests that were under way fail together
	}
	t.pause = min(longestPause, max(firstPause, 2*t.pause))
	t.suspectUntil = now.Add(t.pause)
}

// suspect tells that an upstream rests, or is being tried by one request after
// its pause.
func (t *target) suspect(now time.Time) bool {
	return now.Before(t.suspectUntil) || t.pause > 0 && t.probing
}
