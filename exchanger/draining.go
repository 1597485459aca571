// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Drain is the drain of a host.
type Drain struct {
	// Refuses is from when on requests are refused that may outlast the host. Before, callers may still use cached addresses.
	Refuses time.Time
	End     time.Time // End is when requests in progress are ended; zero if never.
	Alone   bool      // Alone reports that no other host takes requests; this one ends as soon as it can, to be back sooner.
	Closing bool      // Closing reports that the host ends once the requests in progress have ended, and takes no others.
}

// Admit reports whether the host takes a request, and why. Brief is the result of Durations.Brief.
//
// Only the deadline bounds a request. How long others have lasted decides whether the host waits for it before it closes.
func (d Drain) Admit(now, deadline time.Time, brief bool) (Basis, bool) {
	switch {
	case d.Closing:
	case now.Before(d.Refuses):
		return BasisEarly, true
	case d.covers(deadline) && (!d.Alone || brief):
		return BasisDeadline, true
	}
	return BasisNone, false
}

// RetryAfter returns the time after which the caller of a refused request is to return.
func (d Drain) RetryAfter() time.Duration {
	if d.Alone {
		return restartTime
	}
	return retryAfterFull
}

// covers reports whether t is not after End, or there is no End.
func (d Drain) covers(t time.Time) bool { return d.End.IsZero() || !t.After(d.End) }

const (
	// estimateMargin multiplies the longest duration of a route's last requests.
	estimateMargin = 1.25
	// BriefTime is how long a request lasts that does not keep a host from closing.
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
		if !draining {
			defer e.countTaken()()
			return next(ctx, e)
		}
		brief := e.durations.Brief(now, e.deadline, e.route.Name)
		basis, taken := drain.Admit(now, e.deadline, brief)
		if taken {
			defer e.countTaken()()
			drain, _ = e.opts.Draining() // a host that closes reads the count after it has set Closing
		}
		if !taken || drain.Closing {
			return e.refuse(Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonDraining, RetryAfter: drain.RetryAfter()})
		}
		e.outcome.Taken = basis
		if basis == BasisDeadline && brief {
			defer e.countBrief()()
		}
		return next(ctx, e)
	}
}

// countTaken counts the request as taken until the returned function is called.
func (e *exchange) countTaken() func() {
	e.taken.Add(1)
	return func() { e.taken.Add(-1) }
}

// Taken returns the number of requests in progress that were not refused because of a drain.
func (x *Exchanger) Taken() int64 { return x.taken.Load() }

// countBrief counts the request as brief until the returned function is called, for BriefTime at most.
func (e *exchange) countBrief() func() {
	e.brief.Add(1)
	end := sync.OnceFunc(func() { e.brief.Add(-1) })
	cancel := e.opts.Timer.After(BriefTime, func(time.Time) { end() })
	return func() {
		cancel()
		end()
	}
}

// Brief returns the number of requests in progress for which a host that is alone does not wait before it closes.
func (x *Exchanger) Brief() int64 { return x.brief.Load() }

// Brief reports whether a request probably lasts no longer than BriefTime, by its deadline or by others of its route.
func (d *Durations) Brief(now, deadline time.Time, route string) bool {
	if !deadline.After(now.Add(BriefTime)) {
		return true
	}
	longest, known := d.Longest(route)
	return known && time.Duration(estimateMargin*float64(longest)) <= BriefTime
}
