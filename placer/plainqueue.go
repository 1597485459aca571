// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"
)

// Parameters of the hold-back from full upstreams.
const (
	minHold = 10 * time.Millisecond // minHold is about the interval at which waiting requests are tried again.
	// maxHold bounds the wait for an upstream that keeps refusing. It is a fraction of the shortest
	// deadlines (1 s), so that a request can try several times.
	maxHold = 200 * time.Millisecond
	// fullTTL is how long after the last refusal an upstream still counts as full. Reports of the load of
	// other hosts have arrived by then.
	fullTTL = time.Second
	// maxFullChanges bounds the changes that wait to be logged.
	maxFullChanges = 64
	// outlierFactor and outlierMargin bound the failure rate of an upstream by the median of its service.
	// The rate is smoothed over ten requests, so that a rate of 0.2 varies by more than 0.1.
	outlierFactor = 2
	outlierMargin = 0.2
	// outlierPenalty ranks an outlier behind all other upstreams for a retry.
	outlierPenalty = time.Second
)

// full is what refusals have shown of an upstream that is full.
type full struct {
	at      time.Time // at is the time of the last refusal; zero if the upstream is not full.
	until   time.Time // until is when the next request may be sent.
	window  float64   // window is the number of this host's requests that the upstream had room for.
	base    float64   // base is window as of the last refusal.
	refused int       // refused is the number of probes in a row that were refused.
}

// FullChange reports that an upstream has become full or has room again.
type FullChange struct {
	Instance string
	Full     bool
	Window   int // Window is the number of this host's requests that it had room for.
}

// refusedFull records that an upstream refused a request as full. Requests that were sent before the last
// refusal say nothing new of the time until it has room.
func (p *Placer) refusedFull(now time.Time, tk *Ticket) {
	t := tk.target
	t.probing = false
	f := &t.full
	if !t.isFull(now) {
		*f = full{}
		p.noteFull(FullChange{Instance: t.instance, Full: true, Window: t.own.Requests})
		f.refused = 1
	} else if f.refused == 0 || tk.start.After(f.at) {
		f.refused++ // at least 1 here, since an answer resets it
	}
	f.window, f.base = float64(t.own.Requests), float64(t.own.Requests)
	f.at, f.until = now, now.Add(p.holdTime(t))
}

// holdTime estimates the time until a full upstream has a free slot.
func (p *Placer) holdTime(t *target) time.Duration {
	slots := max(t.upstream.Slots, 1)
	over := max(1, t.work().Requests+1-slots)
	d := time.Duration(over) * t.serviceTime / time.Duration(slots)
	d = min(max(d, minHold)<<min(t.full.refused-1, 8), maxHold)
	return time.Duration((0.75 + 0.5*p.rng.Float64()) * float64(d)) // hosts must not come back together
}

func (t *target) isFull(now time.Time) bool {
	return !t.full.at.IsZero() && now.Sub(t.full.at) < fullTTL
}

// answered records that an upstream gave an answer, which ends the wait for a slot.
func (p *Placer) answered(now time.Time, t *target) {
	if t.full.at.IsZero() {
		return
	}
	f := &t.full
	f.until, f.refused = now, 0
	f.window += 1 / max(f.window, 1)
	if f.window >= f.base+float64(max(t.upstream.Slots, 1)) {
		p.hasRoom(t)
	}
}

func (p *Placer) hasRoom(t *target) {
	t.full = full{}
	p.noteFull(FullChange{Instance: t.instance})
}

// heldBack reports whether a request must wait for an upstream that is full.
func (p *Placer) heldBack(now time.Time, t *target) bool {
	if t.full.at.IsZero() {
		return false
	}
	if !t.isFull(now) {
		p.hasRoom(t)
		return false
	}
	if t.statesRoom() {
		return false
	}
	return now.Before(t.full.until) || t.own.Requests >= max(1, int(t.full.window))
}

// statesRoom reports whether the upstream has stated since its last refusal that it has more free slots than
// this host has sent requests since. Its next refusal ends the effect of the statement.
func (t *target) statesRoom() bool {
	load, at := t.stated.Stated()
	return at.After(t.full.at) && load.Running+load.Waiting+t.sentAfter(at) < load.Slots
}

// sentAfter returns the number of this host's requests in flight that were sent after a time.
func (t *target) sentAfter(at time.Time) int {
	n := 0
	for tk := range t.tickets {
		if tk.start.After(at) {
			n++
		}
	}
	return n
}

func (p *Placer) noteFull(c FullChange) {
	if len(p.fullChanges) < maxFullChanges {
		p.fullChanges = append(p.fullChanges, c)
	}
}

// TakeFullChanges returns which upstreams have become full or have room again since the last call.
func (p *Placer) TakeFullChanges(now time.Time) []FullChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		p.heldBack(now, t) // ends what has expired
	}
	changes := p.fullChanges
	p.fullChanges = nil
	return changes
}

// setOutlierLimit computes the failure rate above which a retry prefers another upstream.
func (p *Placer) setOutlierLimit(all []*target, req *PlacementRequest) {
	if !req.Retry || len(all) < 3 { // two upstreams have no outlier
		req.outlierLimit = 1
		return
	}
	rates := make([]float64, len(all))
	for i, t := range all {
		rates[i] = t.failureRate
	}
	slices.Sort(rates)
	req.outlierLimit = outlierFactor*rates[(len(rates)-1)/2] + outlierMargin
}

// retryPenalty returns the cost of a retry at an upstream that fails more often than others.
func (t *target) retryPenalty(req *PlacementRequest) time.Duration {
	if req.Retry && t.failureRate > req.outlierLimit {
		return outlierPenalty
	}
	return 0
}
