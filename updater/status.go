// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package updater

import "time"

// Status returns what the other hosts need to know, or nil if there is nothing to report.
func (up *Updater) Status(now time.Time) *Status {
	holding := up.held(now)
	if !holding && !up.wasHeld && len(up.completed) == 0 {
		return nil
	}
	s := &Status{Lease: up.lease.newest, Holding: holding, Renewed: up.completed}
	up.completed = nil
	if holding || up.wasHeld {
		s.Ordered = up.recentOrders(now)
		s.Wait = max(0, up.notBefore.Sub(now))
		for id, j := range up.jobs {
			if j.loading {
				s.Loading = append(s.Loading, id)
			}
		}
		s.Next = append(s.Next, up.next...)
		s.Doubts = up.doubtList(now)
	}
	if !holding && up.wasHeld {
		// No more orders are sent under this hold, so the next holder need not wait for its term to end.
		s.Stopped = up.lease.newest.Record.Host == up.opts.Host
		up.wasHeld = false
		if s.Stopped {
			up.lease.token = 0
			clear(up.lease.sentAt) // a write that succeeds later must not grant a hold
		}
	}
	return s
}

// recentOrders returns, for each engine that any host ordered within the last HandoverGap, how long ago
// that was. Orders reported by other hosts are included, so that they survive several handovers.
func (up *Updater) recentOrders(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, orders := range []map[string]time.Time{up.ownOrders, up.othersOrders} {
		for id, at := range orders {
			age := now.Sub(at)
			if age > up.opts.HandoverGap+up.opts.Margin {
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
func (up *Updater) HandleStatus(now time.Time, s *Status) {
	up.observeLease(now, s.Lease)
	up.mergeDoubts(now, s.Doubts)
	if s.Holding {
		up.holderSeen = now
	}
	for id, age := range s.Ordered {
		if at := now.Add(-age); at.After(up.othersOrders[id]) {
			up.othersOrders[id] = at
		}
	}
	if s.Holding || s.Stopped {
		replaceAll(up.othersLoading, s.Loading, now.Add(statusTTL))
		replaceAll(up.othersNext, s.Next, now.Add(statusTTL))
	}
	switch {
	case !s.Stopped:
	case s.Lease == up.lease.newest:
		up.holderSeen = time.Time{}
		up.lease.released, up.lease.orderFrom = true, now.Add(s.Wait)
	case s.Lease == up.lease.prior:
		// This host has already taken over; it need not wait for the rest of the previous term.
		up.notBefore = now.Add(s.Wait)
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
func (up *Updater) Phases(now time.Time) map[string]Phase {
	out := make(map[string]Phase)
	add := func(noted map[string]time.Time, phase Phase) {
		for id, until := range noted {
			if now.Before(until) {
				out[id] = phase
			}
		}
	}
	add(up.othersNext, PhaseNext)
	for _, id := range up.next {
		out[id] = PhaseNext
	}
	add(up.othersLoading, PhaseLoading)
	for id, j := range up.jobs {
		if j.loading {
			out[id] = PhaseLoading
		}
	}
	return out
}
