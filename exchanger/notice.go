// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"time"

	"amaranthgate.example/amaranthgate/assessor"
	"amaranthgate.example/amaranthgate/follower"
)

// Notice is what an upstream says of itself in the header of an answer.
type Notice struct {
	Upstream  follower.Upstream
	RequestID string
	Attempt   int       // Attempt is the number of the attempt whose answer it is, as in AttemptResult.
	Sent      time.Time // Sent is when the request was sent, At when the header had been read.
	At        time.Time
	Rate      RateNotice
	Leaving   bool // Leaving reports whether the upstream is leaving and accepts no new work.
	Rest      RestNotice
	Load      LoadNotice
	Brittle   BrittleNotice
}

// RateNotice is what an answer says of the upstream's rate limit.
type RateNotice struct {
	PerSecond float64 // PerSecond is the limit in requests a second for all hosts together; 0 if there is none.
	Malformed string  // Malformed is the text of a limit that cannot be decoded; it says nothing.
}

// RestNotice is how long an upstream wants no requests from this host.
type RestNotice struct {
	For       time.Duration // For is 0 if it asks for none.
	Malformed string        // Malformed is the text of a time that cannot be decoded; it says nothing.
}

// LoadNotice is what an answer says of the upstream's load.
type LoadNotice struct {
	Load      assessor.Load
	Stated    bool   // Stated reports whether the answer states a load.
	Refused   bool   // Refused reports that the request did not run, so that Load does not count it.
	Malformed string // Malformed is the text of a load that cannot be decoded; it says nothing.
}

// BrittleNotice is what an answer says of whether refusing requests may end the upstream.
type BrittleNotice struct {
	Stated bool // Stated reports whether the upstream is brittle.
	// PerSecond is the number of refusals for want of room in a second beyond which the upstream ends.
	PerSecond float64
	Malformed string // Malformed is the text of a number that cannot be decoded; it says nothing.
}
