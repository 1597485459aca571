// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
)

// AttemptResult is what an attempt has shown of whether the request ran.
type AttemptResult struct {
	Number   int    // Number is that of the attempt among those of the request, from 1.
	Upstream string // Upstream is empty if the request was passed on.
	PassedTo string // PassedTo is the host to which the request was passed on; empty if it was not.
	Status   int    // Status is that of the answer; 0 if there was none.
	Verdict  dispatcher.Verdict
	Cause    forwarder.Cause // Cause is why the attempt failed; empty if it did not.
	Held     bool            // Held reports that the upstream was full, and that the request waited afterwards.
	Trace    forwarder.Trace
}

// maxResults bounds Outcome.Results.
const maxResults = maxAttempts + maxHeldAttempts

// recordAttempt records what an attempt has shown.
func (d *delivery) recordAttempt(a *attempt, r dispatcher.Result) {
	if len(d.outcome.Results) == maxResults {
		return
	}
	out := AttemptResult{Number: a.number, Upstream: a.choice.Upstream.ID, Verdict: r.Verdict, Held: r.Held}
	if a.choice.host != nil {
		out.PassedTo = a.choice.host.Name
	}
	if traced, ok := a.answer.(interface{ Trace() forwarder.Trace }); ok {
		out.Status, out.Trace = a.answer.Status(), traced.Trace()
	}
	if f := r.Failure; f != nil {
		out.Cause = f.Cause
		if a.answer == nil {
			out.Status, out.Trace = f.Status, f.Trace
		}
	}
	d.outcome.Results = append(d.outcome.Results, out)
}
