// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package dispatcher

import (
	"context"

	"amaranthgate.example/amaranthgate/forwarder"
)

// Ending says why a request got no answer of an upstream.
type Ending string

// The endings. Those that say "not run" hold for all attempts.
const (
	CallerGone Ending = "CallerGone" // CallerGone says that the caller went away.
	Deadline   Ending = "Deadline"   // Deadline says that the caller's or the operator's time is over.
	NoUpstream Ending = "NoUpstream" // NoUpstream says that there was nowhere to send it: not run.
	Unreached  Ending = "Unreached"  // Unreached says that no connection was made: not run.
	Refused    Ending = "Refused"    // Refused says that the last upstream refused: not run.
	Unknown    Ending = "Unknown"    // Unknown says that an attempt may have run.
)

// Ending returns why a request got no answer; Done must be false.
func (t *Tries) Ending(ctx context.Context) Ending {
	var cause forwarder.Cause
	if t.Last.Failure != nil {
		cause = t.Last.Failure.Cause
	}
	switch {
	case ctx.Err() == context.Canceled, ctx.Err() == nil && cause == forwarder.CauseCaller:
		return CallerGone
	case ctx.Err() != nil:
		return Deadline
	case t.Runs > 0:
		return Unknown
	case t.Attempts == 0:
		return NoUpstream
	case cause == forwarder.CauseConnect:
		return Unreached
	}
	return Refused
}

// Ran tells whether the request ran, all attempts together.
func (t *Tries) Ran() forwarder.Ran {
	switch {
	case t.Runs == 0:
		return forwarder.RanNo
	case t.Last.Failure != nil && t.Last.Failure.Ran == forwarder.RanYes:
		return forwarder.RanYes
	}
	return forwarder.RanUnknown
}
