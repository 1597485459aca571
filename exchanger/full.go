// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"net/http"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/forwarder"
)

// maxHeldAttempts limits how often one request is refused by full upstreams. A request that waits in
// between seldom comes near it.
const maxHeldAttempts = 16

// A request to a plain service starts, or is refused, at least answerTime before its deadline: a service
// takes 30 ms and the host looks at waiting requests every 20 ms. Of short deadlines it is a share.
const (
	answerTime     = 50 * time.Millisecond
	maxAnswerShare = 0.25
)

// latestStart returns until when a request to a plain service may wait for an upstream.
func (e *exchange) latestStart() time.Time {
	if !e.opts.HoldFull {
		return e.deadline
	}
	return e.deadline.Add(-min(answerTime, time.Duration(maxAnswerShare*float64(e.timeout()))))
}

// refusedFull reports whether an upstream refused the request because it is full. One that asks for rest
// says itself when it takes requests again.
func (d *delivery) refusedFull(a *attempt, r dispatcher.Result) bool {
	f := r.Failure
	if !d.opts.HoldFull || a.resting || f == nil || f.Cause != forwarder.CauseRefused || f.Ran != forwarder.RanNo {
		return false
	}
	return f.RetryAfter == 0 && (f.Status == http.StatusServiceUnavailable || f.Status == http.StatusTooManyRequests)
}

// hold lets the request wait for the upstreams that refused it as full, this one included.
func (d *delivery) hold(upstream string, r *dispatcher.Result) {
	r.Held = true
	d.tried = slices.DeleteFunc(d.tried, func(id string) bool { return id == upstream })
	d.outcome.HeldFull++
}
