// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"time"

	"amaranthgate.example/amaranthgate/assessor"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/updater"
)

// Work is the load of requests in flight at an upstream.
type Work struct {
	Requests int `cbor:"1,keyasint,omitempty"`
	Pending  int `cbor:"2,keyasint,omitempty"` // Pending is the number of prompt tokens still to prefill.
	// Memory is the number of tokens of requests that have not ended.
	Memory int `cbor:"3,keyasint,omitempty"`
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

// target is an upstream with its load state.
type target struct {
	*member
	engine *matcher.Engine // engine is nil for plain services.

	own         Work
	peers       Work
	ownLink     Work // ownLink and peerLink are transfers in flight on its link.
	peerLink    Work
	linkChanged bool          // linkChanged reports that ownLink has changed since the last report.
	linkUsed    bool          // linkUsed reports that Placer.usedLinks has it.
	failureRate float64       // failureRate is smoothed.
	serviceTime time.Duration // serviceTime is the smoothed time of a request at a plain service.

	// coldLimit is its limit of requests a second while it is cold; 0 if there is none.
	coldLimit      float64
	coldDuration   time.Duration // coldDuration is how long it is cold after a start.
	maybeColdUntil time.Time     // maybeColdUntil is until when it may be cold after an unreported restart.
	share          int           // share is this host's share of coldLimit, as of shareVersion.
	shareVersion   int
	sent           []time.Time // sent has the times of this host's latest requests.

	full      full        // full is set while the upstream is full.
	lingering []time.Time // lingering has for each request that ended without an answer until when it counts.
	slowness  slowness
	stated    *assessor.Record // stated is the last load that the upstream stated; nil if it stated none.
	// statedPace is the pace stated, hidden the number of requests stated and not reported by any host, as of
	// assessedIn; they are 1 and 0 if nothing was stated.
	statedPace float64
	hidden     int
	stating    bool          // stating reports that what it stated has an effect.
	ends       []requestEnds // ends are the latest ends of requests.
	assessedIn uint64        // assessedIn is the Placer.interval in which the effects were last computed.

	tickets      map[*Ticket]struct{} // tickets are this host's requests in flight.
	freedAt      time.Time            // freedAt is when it last had more room than before.
	replaced     bool                 // replaced reports that another instance has taken its ID.
	lastActivity time.Time            // lastActivity is when bytes or an end of an answer last arrived.
	suspectUntil time.Time
	suspectedAt  time.Time
	evidence     Evidence // evidence is set from a failure until the upstream answers.
	rateBefore   float64  // rateBefore is failureRate before the failure that set evidence.
	backoff      time.Duration
	probing      bool
	phase        updater.Phase // phase is set while the engine loads weights or is about to.
	cache        cacheEstimate
}

// work returns the work of all hosts.
func (t *target) work() Work {
	w := t.own
	w.add(t.peers)
	return w
}

// Smoothing weights and backoff.
const (
	failureWeight      = 0.1 // failureWeight smooths over about ten requests.
	serviceTimeWeight  = 0.1
	initialServiceTime = 15 * time.Millisecond // initialServiceTime is assumed before the first answer.
	// initialBackoff is the first pause after a connection failure.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

func (t *target) succeeded(now time.Time) {
	if t.backoff > 0 {
		t.maybeColdUntil = now.Add(coldRecovery)
	}
	t.failureRate -= failureWeight * t.failureRate
	t.suspectUntil, t.backoff, t.probing = time.Time{}, 0, false
}

// observeServiceTime merges the time of a request.
func (t *target) observeServiceTime(d time.Duration) {
	t.serviceTime += time.Duration(serviceTimeWeight * float64(d-t.serviceTime))
}

func (t *target) failed() {
	t.failureRate += failureWeight * (1 - t.failureRate)
	t.probing = false
}

// markUnreachable starts a backoff, which doubles with each failure.
func (t *target) markUnreachable(now time.Time) {
	t.failed()
	if now.Before(t.suspectUntil) {
		return // requests in flight fail together
	}
	t.backoff = min(maxBackoff, max(initialBackoff, 2*t.backoff))
	t.suspectUntil = now.Add(t.backoff)
}

// suspect reports whether an upstream is in backoff, or is being probed by one request after it.
func (t *target) suspect(now time.Time) bool {
	return now.Before(t.suspectUntil) || t.backoff > 0 && t.probing
}
