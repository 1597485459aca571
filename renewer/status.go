// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package renewer

import "time"

// Status returns what the other hosts need to know, or nil if there is nothing to report.
func (r *Renewer) Status(now time.Time) *Status {
	holding := r.held(now)
	if !holding && !r.wasHeld && len(r.completed) == 0 {
		return nil
	}
	s := &Status{Lease: r.lease.newest, Holding: holding, Renewed: r.completed}
	r.completed = nil
	if holding || r.wasHeld {
		s.Ordered = r.recentOrders(now)
		s.Wait = max(0, r.notBefore.Sub(now))
		for id, j := range r.jobs {
			if j.loading {
				s.Loading = append(s.Loading, id)
			}
		}
		s.Next = append(s.Next, r.next...)
		s.Doubts = r.doubtList(now)
	}
	if !holding && r.wasHeld {
		// No more orders are sent under this hold, so the next holder need not wait for its term to end.
		s.Stopped = r.lease.newest.Record.Host == r.opts.Host
		r.wasHeld = false
		if s.Stopped {
			r.lease.token = 0
			clear(r.lease.sentAt) // a write that succeeds later must not grant a hold
		}
	}
	return s
}

// recentOrders returns, for each engine that any host ordered within the last turn, how long ago
// that was. Orders reported by other hosts are included, so that they survive several handovers.
func (r *Renewer) recentOrders(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, orders := range []map[string]time.Time{r.ownOrders, r.othersOrders} {
		for id, at := range orders {
			age := now.Sub(at)
			if age > r.opts.HandoverGap+r.opts.Margin {
				delete(orders, id)
				continue
			}
			if known, ok := out[id]; !ok || age < known {
				out[id] = age
			}
		}
	}
	return out
}

// HandleStatus processes the status of another host.
func (r *Renewer) HandleStatus(now time.Time, s *Status) {
	r.observeLease(now, s.Lease)
	r.mergeDoubts(now, s.Doubts)
	if s.Holding {
		r.holderSeen = now
	}
	for id, age := range s.Ordered {
		if at := now.Add(-age); at.After(r.othersOrders[id]) {
			r.othersOrders[id] = at
		}
	}
	if s.Holding || s.Stopped {
		replaceAll(r.othersLoading, s.Loading, now.Add(statusTTL))
		replaceAll(r.othersNext, s.Next, now.Add(statusTTL))
	}
	switch {
	case !s.Stopped:
	case s.Lease == r.lease.newest:
		r.holderSeen = time.Time{}
		r.lease.released, r.lease.orderFrom = true, now.Add(s.Wait)
	case s.Lease == r.lease.prior:
		// This host has already taken over; it need not wait for the rest of the previous term.
		r.notBefore = now.Add(s.Wait)
	}
}

// replaceAll replaces the contents of noted by ids, each valid until the given time.
func replaceAll(noted map[string]time.Time, ids []string, until time.Time) {
	clear(noted)
	for _, id := range ids {
		noted[id] = until
	}
}

// Phase is the stage of an engine in a rollout.
type Phase string

const (
	// PhaseLoading means that the engine was ordered to load; it refuses requests until it has.
	PhaseLoading Phase = "Loading"
	// PhaseNext means that the engine will be ordered soon; new requests would delay that.
	PhaseNext Phase = "Next"
)

// Phases returns the engines that are loading or will be ordered soon.
func (r *Renewer) Phases(now time.Time) map[string]Phase {
	out := make(map[string]Phase)
	add := func(noted map[string]time.Time, phase Phase) {
		for id, until := range noted {
			if now.Before(until) {
				out[id] = phase
			}
		}
	}
	add(r.othersNext, PhaseNext)
	for _, id := range r.next {
		out[id] = PhaseNext
	}
	add(r.othersLoading, PhaseLoading)
	for id, j := range r.jobs {
		if j.loading {
			out[id] = PhaseLoading
		}
	}
	return out
}
