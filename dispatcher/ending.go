// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package dispatcher

import (
	"context"

	"amaranthgate.example/amaranthgate/forwarder"
)

// Ending says why a request got no answer from an upstream.
type Ending string

// Values of Ending. After NoUpstream, Unreached and Refused no attempt has run.
const (
	CallerGone Ending = "CallerGone" // CallerGone means that the caller left.
	Deadline   Ending = "Deadline"   // Deadline means that the deadline passed.
	NoUpstream Ending = "NoUpstream" // NoUpstream means that no upstream was available.
	Unreached  Ending = "Unreached"  // Unreached means that no connection was established at the last attempt.
	Refused    Ending = "Refused"    // Refused means that the last upstream refused the request.
	Unknown    Ending = "Unknown"    // Unknown means that an attempt may have run.
)

// Ending returns why the request got no answer; Done must be false.
func (s *Summary) Ending(ctx context.Context) Ending {
	var cause forwarder.Cause
	if s.Last.Failure != nil {
		cause = s.Last.Failure.Cause
	}
	switch {
	case ctx.Err() == context.Canceled, ctx.Err() == nil && cause == forwarder.CauseCallerGone:
		return CallerGone
	case ctx.Err() != nil:
		return Deadline
	case s.Runs > 0:
		return Unknown
	case s.Attempts == 0:
		return NoUpstream
	case cause == forwarder.CauseConnect:
		return Unreached
	}
	return Refused
}

// Ran reports whether any attempt ran or may have run.
func (s *Summary) Ran() forwarder.Ran {
	switch {
	case s.Runs == 0:
		return forwarder.RanNo
	case s.Last.Failure != nil && s.Last.Failure.Ran == forwarder.RanYes:
		return forwarder.RanYes
	}
	return forwarder.RanUnknown
}
