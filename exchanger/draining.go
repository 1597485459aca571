// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"time"
)

// Drain is the drain of a host.
type Drain struct {
	// Refuses is from when on requests are refused that may outlast the host. Callers have not heard of the drain before.
	Refuses time.Time
	End     time.Time // End is when requests in progress are ended.
	Alone   bool      // Alone reports that no other host takes requests; this one ends as soon as it can, to be back sooner.
}

// end returns when a request must have ended that is taken now.
func (d Drain) end(now time.Time) time.Time {
	if brief := now.Add(BriefTime); d.Alone && brief.Before(d.End) {
		return brief
	}
	return d.End
}

const (
	// drainMargin multiplies the longest duration of a route's last requests.
	drainMargin = 1.25
	// BriefTime is how long a request may last that does not keep a host from ending.
	BriefTime = 400 * time.Millisecond
	// restartTime is the usual time from the end of requests in progress until a host that ends is back.
	restartTime = time.Second
)

// refuseUnfinishable refuses requests that may outlast this host: as not run, so that callers can go elsewhere at once.
func refuseUnfinishable(next handler) handler {
	return func(ctx context.Context, e *exchange) Outcome {
		if e.opts.Draining == nil {
			return next(ctx, e)
		}
		now := e.opts.Timer.Now()
		drain, draining := e.opts.Draining()
		end := drain.end(now)
		switch {
		case !draining:
			return next(ctx, e)
		case now.Before(drain.Refuses):
			e.outcome.Taken = BasisEarly
			return next(ctx, e)
		case e.endsBefore(end):
			e.outcome.Taken = BasisEstimate
			if !e.deadline.After(end) {
				e.outcome.Taken = BasisDeadline
			}
			e.brief.Add(1)
			defer e.brief.Add(-1)
			return next(ctx, e)
		}
		r := Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonDraining, RetryAfter: retryAfterFull}
		if drain.Alone {
			r.RetryAfter = restartTime
		}
		return e.refuse(r)
	}
}

// Brief returns the number of requests in progress that were taken as they end before this host does.
func (x *Exchanger) Brief() int64 { return x.brief.Load() }

// endsBefore reports whether the request will have ended by a time, by its deadline or by how long others of its route last.
func (e *exchange) endsBefore(end time.Time) bool {
	if !e.deadline.After(end) {
		return true
	}
	longest, known := e.durations.longest(e.route.Name)
	return known && !e.opts.Timer.Now().Add(time.Duration(drainMargin*float64(longest))).After(end)
}
