// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"slices"
	"time"
)

const (
	// PartBarThreshold is the number of ends from which a part of prompts is barred.
	PartBarThreshold = 4
	// minPartRequests is the number of different requests with a part under which upstreams must have ended before the
	// part is barred. Repeats of one request may have another cause.
	minPartRequests = 3
	// minPartSpan is the least time from the first end to the last one of a part that is barred. Upstreams that end
	// together, as with their rack or zone, end for another cause.
	minPartSpan = 100 * time.Millisecond
	// begunTTL is how long no end counts for a part after an upstream has begun an answer with it; it may be up to
	// twice as long.
	begunTTL = 2 * time.Second
	// maxBegun bounds the parts remembered for each begunTTL.
	maxBegun = 16384
)

// partTrials are the times after the last end, or the last trial, after which a bar of a part is suspended for one
// request. Their number is the number of trials.
var partTrials = []time.Duration{time.Minute, time.Hour}

// Evidence is what was in progress at an upstream: a request and the parts of its prompt that other requests may have.
// Parts are empty if the upstream had begun its answer, as they are not the cause of its end then.
type Evidence struct {
	Request Identity
	Parts   []Identity
}

// Begun records that an upstream has begun an answer with these parts, which clears their ends: a part that crashes
// upstreams does so before.
func (l *Ledger) Begun(now time.Time, parts []Identity) {
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range parts {
		l.begun.add(now, id)
		l.clear(now, id)
	}
}

// PartsStanding returns the status of a request by the parts of its prompt, and the part that decides it. The request is
// Suspect if the bar of that part is suspended for it, which is said once. A part is no
// reason to refuse a request if the ends under it have another known cause, which the request lacks: an answer to this
// request shows whether it is the cause.
func (l *Ledger) PartsStanding(now time.Time, parts []Identity) (Standing, Identity) {
	if l.size.Load() == 0 || len(parts) == 0 {
		return Free, Identity{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	standing, decisive := Free, Identity{}
	for _, id := range parts {
		r := l.records[id]
		if r == nil || !r.part || !r.barred() || now.Sub(r.changedAt) >= r.ttl() || l.explained(r, parts) {
			continue
		}
		if !l.tries(now, id, r) {
			return Barred, id
		}
		standing, decisive = Suspect, id
	}
	return standing, decisive
}

// explained reports whether so many ends of a part have another known cause that the others are no reason to bar it;
// l.mu is held. An end has another cause if it is also that of a barred request without the part, or of a barred part
// that is not among parts and has all ends of this one, or more of its own than this one has beside it.
func (l *Ledger) explained(r *record, parts []Identity) bool {
	var causes []*record
	for id := range l.barredRequests {
		if !r.hasRequest(id.Key()) {
			causes = append(causes, l.records[id])
		}
	}
	for id := range l.barredParts {
		other := l.records[id]
		if other == r || slices.Contains(parts, id) {
			continue
		}
		if rest := r.endsBeside(other); rest == 0 || other.endsBeside(r) > rest {
			causes = append(causes, other)
		}
	}
	left := record{part: true}
	for _, e := range r.ends {
		if !slices.ContainsFunc(causes, func(c *record) bool { return c.index(e.instance) >= 0 }) {
			left.ends = append(left.ends, e)
		}
	}
	return len(left.ends) < PartBarThreshold || left.requests() < minPartRequests
}

// tries reports whether the bar of a part is suspended for a request now; l.mu is held. One host does so, and an answer
// to the request lifts the bar everywhere.
func (l *Ledger) tries(now time.Time, id Identity, r *record) bool {
	if l.opts.Tries == nil || r.trials >= len(partTrials) || now.Sub(r.changedAt) < partTrials[r.trials] || !l.opts.Tries(id) {
		return false
	}
	l.update(now, id, func(r *record) bool {
		r.trials++
		return true
	})
	l.announce(id)
	return true
}

// recordPartEnd records an end that this host has observed under a part; l.mu is held.
func (l *Ledger) recordPartEnd(now time.Time, id, request Identity, instance string) {
	if l.begun.has(now, id) {
		return
	}
	key := max(request.Key(), 1) // 0 marks records of requests
	if l.updateEnds(now, now, id, func(r *record) bool {
		r.part = true
		return r.add(end{instance: instance, request: key})
	}) {
		l.announce(id)
	}
}

// recentTimes holds the identities that were added lately. Its zero value is ready for use.
type recentTimes struct {
	newer, older map[Identity]struct{}
	turned       time.Time // turned is when newer was begun.
}

// turn drops what is too old.
func (s *recentTimes) turn(now time.Time) {
	age := now.Sub(s.turned)
	switch {
	case age < begunTTL:
		return
	case age < 2*begunTTL:
		s.older = s.newer
	default:
		s.older = nil
	}
	s.newer, s.turned = nil, now
}

func (s *recentTimes) add(now time.Time, id Identity) {
	s.turn(now)
	if s.newer == nil {
		s.newer = make(map[Identity]struct{})
	}
	if len(s.newer) < maxBegun {
		s.newer[id] = struct{}{}
	}
}

func (s *recentTimes) has(now time.Time, id Identity) bool {
	s.turn(now)
	if _, ok := s.newer[id]; ok {
		return true
	}
	_, ok := s.older[id]
	return ok
}
