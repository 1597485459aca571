// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package renewer

import "time"

// Status returns what the other hosts should know; nil if there is nothing.
func (r *Renewer) Status(now time.Time) *Status {
	holding := r.held(now)
	if !holding && !r.wasHeld && len(r.told) == 0 {
		return nil
	}
	s := &Status{Lease: r.lease.now, Holding: holding, Renewed: r.told}
	r.told = nil
	if holding || r.wasHeld {
		s.Ordered = r.recent(now)
		s.Wait = max(0, r.notBefore.Sub(now))
		for id, j := range r.jobs {
			if j.loading {
				s.Loading = append(s.Loading, id)
			}
		}
		s.Next = append(s.Next, r.next...)
		s.Doubts = r.doubtsNow(now)
	}
	if !holding && r.wasHeld {
		// The hold has ended and nothing is sent under it any more: another host
		// need not wait for it.
		s.Stopped = r.lease.now.Record.Host == r.opts.Host
		r.wasHeld = false
		if s.Stopped {
			r.lease.token = 0
			clear(r.lease.sent) // a write that lands from here on gives no hold
		}
	}
	return s
}

// recent returns how long ago engines were ordered within a turn, by whichever host.
// What others told of is passed on: who hears only the last of several holders must
// keep the turns of those before it as well.
func (r *Renewer) recent(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, orders := range []map[string]time.Time{r.given, r.foreign} {
		for id, at := range orders {
			age := now.Sub(at)
			if age > r.opts.Turn+r.opts.Margin {
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

// Heard takes in what another host says.
func (r *Renewer) Heard(now time.Time, s *Status) {
	r.saw(now, s.Lease)
	r.heardDoubts(now, s.Doubts)
	if s.Holding {
		r.holder = now
	}
	for id, age := range s.Ordered {
		if at := now.Add(-age); at.After(r.foreign[id]) {
			r.foreign[id] = at
		}
	}
	if s.Holding || s.Stopped {
		noteAll(r.loading, s.Loading, now.Add(statusLife))
		noteAll(r.soon, s.Next, now.Add(statusLife))
	}
	switch {
	case !s.Stopped:
	case s.Lease == r.lease.now:
		r.holder = time.Time{}
		r.lease.released, r.lease.orderFrom = true, now.Add(s.Wait)
	case s.Lease == r.lease.prior:
		// This host has taken over meanwhile and need not wait any longer.
		r.notBefore = now.Add(s.Wait)
	}
}

// noteAll replaces what is noted by ids.
func noteAll(noted map[string]time.Time, ids []string, until time.Time) {
	clear(noted)
	for _, id := range ids {
		noted[id] = until
	}
}

// Phase says how near an engine is to loading weights.
type Phase string

const (
	// PhaseLoading says that an engine was ordered to load: until it has, it refuses what
	// it is sent.
	PhaseLoading Phase = "Loading"
	// PhaseNext says that an engine will be ordered soon: what it is sent holds that up.
	PhaseNext Phase = "Next"
)

// Phases returns the engines that load now or will soon.
func (r *Renewer) Phases(now time.Time) map[string]Phase {
	out := make(map[string]Phase)
	add := func(noted map[string]time.Time, phase Phase) {
		for id, until := range noted {
			if now.Before(until) {
				out[id] = phase
			}
		}
	}
	add(r.soon, PhaseNext)
	for _, id := range r.next {
		out[id] = PhaseNext
	}
	add(r.loading, PhaseLoading)
	for id, j := range r.jobs {
		if j.loading {
			out[id] = PhaseLoading
		}
	}
	return out
}
