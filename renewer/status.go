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
		s.Ordered = make(map[string]time.Duration)
		for id, j := range r.jobs {
			if !j.ordered.IsZero() {
				s.Ordered[id] = now.Sub(j.ordered)
			}
			if j.loading {
				s.Avoid = append(s.Avoid, id)
			}
		}
		s.Avoid = append(s.Avoid, r.next...)
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

// Heard takes in what another host says.
func (r *Renewer) Heard(now time.Time, s *Status) {
	r.saw(now, s.Lease)
	if s.Holding {
		r.holder = now
	}
	for id, age := range s.Ordered {
		if at := now.Add(-age); at.After(r.foreign[id]) {
			r.foreign[id] = at
		}
	}
	for _, id := range s.Avoid {
		r.avoid[id] = now.Add(statusLife)
	}
	switch {
	case !s.Stopped:
	case s.Lease == r.lease.now:
		r.holder = time.Time{}
		r.lease.released = true
	case s.Lease == r.lease.prior:
		// This host has taken over meanwhile and need not wait any longer.
		r.notBefore = time.Time{}
	}
}

// Avoid returns the engines that load now or will soon.
func (r *Renewer) Avoid(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for id, until := range r.avoid {
		if now.After(until) {
			delete(r.avoid, id)
			continue
		}
		out[id] = true
	}
	for id, j := range r.jobs {
		if j.loading {
			out[id] = true
		}
	}
	for _, id := range r.next {
		out[id] = true
	}
	return out
}
