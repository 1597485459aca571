// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"slices"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/dispatcher"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// Skip says why a request was not retried although its route allows it.
type Skip string

// Values of Skip.
const (
	SkipNone        Skip = ""
	SkipFailedTwice Skip = "FailedTwice" // SkipFailedTwice means that two different upstreams answered with a 5xx.
	SkipReturned    Skip = "Returned"    // SkipReturned means that they did so in an earlier try of the caller.
	SkipNoBudget    Skip = "NoBudget"    // SkipNoBudget means that the retry budget was used up.
)

const (
	// maxFailures is the number of different upstreams after whose 5xx a failure belongs to the request.
	maxFailures = 2
	// maxFailedRequests bounds the memory of failed requests, at about 150 bytes each.
	maxFailedRequests = 4096
)

// failedRequest is a request that upstreams have answered with a 5xx.
type failedRequest struct {
	upstreams []string  // upstreams are the IDs of up to maxFailures of them.
	until     time.Time // until is the latest deadline of its tries.
}

// failedRequests remembers failed requests until their deadlines. The zero value is ready to use; it is
// safe for concurrent use.
type failedRequests struct {
	mu       sync.Mutex
	requests map[quarantiner.Identity]failedRequest
}

// upstreams returns the upstreams that have answered the request with a 5xx.
func (f *failedRequests) upstreams(now time.Time, id quarantiner.Identity) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.requests[id]
	if !ok || !now.Before(r.until) {
		return nil
	}
	return slices.Clone(r.upstreams)
}

// add records which upstreams have answered the request with a 5xx. While the memory is full of requests
// whose deadlines have not passed, others are not recorded.
func (f *failedRequests) add(now time.Time, id quarantiner.Identity, upstreams []string, deadline time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[quarantiner.Identity]failedRequest)
	}
	r, known := f.requests[id]
	if !known && len(f.requests) >= maxFailedRequests {
		f.dropExpired(now)
		if len(f.requests) >= maxFailedRequests {
			return
		}
	}
	if deadline.After(r.until) {
		r.until = deadline
	}
	r.upstreams = slices.Clone(upstreams)
	f.requests[id] = r
}

func (f *failedRequests) dropExpired(now time.Time) {
	for id, r := range f.requests {
		if !now.Before(r.until) {
			delete(f.requests, id)
		}
	}
}

// recallFailures looks up the failures of earlier tries of the request.
func (d *delivery) recallFailures() {
	if d.opts.HoldFull && d.route.Repeatable() {
		d.failed = d.failures.upstreams(d.opts.Timer.Now(), d.outcome.Identity)
		d.returned = len(d.failed) >= maxFailures
	}
}

// recordFailure records a 5xx of an upstream.
func (d *delivery) recordFailure(upstream string, r dispatcher.Result) {
	if r.Verdict != dispatcher.MayHaveRun {
		return
	}
	d.retry = true
	if !d.opts.HoldFull || !d.route.Repeatable() || r.Failure != nil || len(d.failed) >= maxFailures || slices.Contains(d.failed, upstream) {
		return
	}
	d.failed = append(d.failed, upstream)
	d.failures.add(d.opts.Timer.Now(), d.outcome.Identity, d.failed, d.deadline)
}

// hopeless reports whether the failure belongs to the request, so that a retry would fail as well.
func (d *delivery) hopeless() bool {
	if !d.retry || len(d.failed) < maxFailures {
		return false
	}
	d.outcome.RetrySkipped = SkipFailedTwice
	if d.returned {
		d.outcome.RetrySkipped = SkipReturned
	}
	return true
}
