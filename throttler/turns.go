// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package throttler

import (
	"cmp"
	"slices"
	"time"
)

// Step hands out tokens and asks other hosts for theirs, and returns the messages to send. It is to be
// called at least every 50 ms while Active is true.
func (t *Throttler) Step(now time.Time) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start(now)
	out := make(outbox)
	for _, s := range t.limits {
		if !s.limited() {
			continue
		}
		t.refresh(now, s)
		t.serve(now, s, out)
		t.ask(now, s, out)
	}
	return out.messages()
}

func (o outbox) messages() []Message {
	var all []Message
	for _, m := range o {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Message) int { return cmp.Compare(a.To, b.To) })
	return all
}

// start sets the time that asks are dated from.
func (t *Throttler) start(now time.Time) {
	if t.started.IsZero() {
		t.started = now
	}
}

// TakeChanges returns the statements that this host has learned from answers since the last call, for
// the other hosts.
func (t *Throttler) TakeChanges() []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Limit
	for instance := range t.queued {
		if s := t.limits[instance]; s != nil {
			out = append(out, s.Limit)
		}
	}
	clear(t.queued)
	return out
}

// serve hands the tokens of a bucket to the hosts that ask, in the order in which they last had their
// turn. It keeps one for this host when its turn comes.
func (t *Throttler) serve(now time.Time, s *state, out outbox) {
	for s.hasToken() {
		host := s.nextAsker(now)
		if s.wanted(now) && (host == "" || !s.servedAt.After(s.askers[host].servedAt)) {
			s.ownTurn = true
			return
		}
		s.ownTurn = false
		if host == "" {
			return
		}
		a := s.askers[host]
		a.ask.Count--
		a.servedAt = now
		s.tokens--
		t.stats.Granted++
		out.to(host).addGrant(Grant{Instance: s.Instance, Sent: a.ask.Sent, Count: 1})
	}
}

// addGrant adds a grant, to an earlier one for the same ask if there is one.
func (m *Message) addGrant(g Grant) {
	for i := range m.Grants {
		if m.Grants[i].Instance == g.Instance && m.Grants[i].Sent == g.Sent {
			m.Grants[i].Count += g.Count
			return
		}
	}
	m.Grants = append(m.Grants, g)
}

// nextAsker returns the host whose turn comes first of those that wait for a token, or "".
func (s *state) nextAsker(now time.Time) string {
	first := ""
	for host, a := range s.askers {
		if !a.waits(now) {
			continue
		}
		if first == "" || a.before(s.askers[first]) || a.servedAt.Equal(s.askers[first].servedAt) && host < first {
			first = host
		}
	}
	return first
}

// waits reports whether the host still waits for a token.
func (a *asker) waits(now time.Time) bool { return a.ask.Count > 0 && now.Sub(a.at) <= askTTL }

func (a *asker) before(o *asker) bool { return a.servedAt.Before(o.servedAt) }

// ask asks the owners of a limit for as many tokens as requests wait here.
func (t *Throttler) ask(now time.Time, s *state, out outbox) {
	if !s.wanted(now) || now.Sub(s.askedAt) < askInterval || t.opts.Waiting == nil {
		return
	}
	need := min(t.opts.Waiting(), maxAsked) - len(s.permits)
	others := slices.DeleteFunc(slices.Clone(s.owners), func(o string) bool { return o == t.opts.Host })
	if need <= 0 || len(others) == 0 {
		return
	}
	s.askedAt = now
	// Few tokens are asked of few owners, which differ from one ask to the next, so that no more
	// arrive than are used.
	each := (need + len(others) - 1) / len(others)
	for ; need > 0; need -= each {
		owner := others[s.nextOwner%len(others)]
		s.nextOwner++
		m := out.to(owner)
		m.Asks = append(m.Asks, Ask{Instance: s.Instance, Sent: now.Sub(t.started), Count: min(each, need)})
	}
}

// ReceiveAsks records what another host asks for, and returns the grants that can be made at once, to
// this or other hosts.
func (t *Throttler) ReceiveAsks(now time.Time, from string, asks []Ask) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(outbox)
	for _, a := range asks {
		s := t.limits[a.Instance]
		if s == nil || !s.limited() || a.Count <= 0 {
			continue
		}
		t.refresh(now, s)
		if !s.owner {
			continue
		}
		known := s.askers[from]
		if known == nil {
			known = &asker{}
			s.askers[from] = known
		}
		a.Count = min(a.Count, maxAsked)
		known.ask, known.at = a, now
		t.serve(now, s, out)
	}
	return out.messages()
}

// ReceiveGrants records tokens that another host has handed out.
func (t *Throttler) ReceiveGrants(now time.Time, grants []Grant) {
	if t.receive(now, grants) && t.opts.Granted != nil {
		t.opts.Granted()
	}
}

func (t *Throttler) receive(now time.Time, grants []Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	received := false
	for _, g := range grants {
		s := t.limits[g.Instance]
		expires := t.started.Add(g.Sent + permitTTL)
		if s == nil || !s.limited() || now.After(expires) {
			t.stats.Expired += uint64(max(0, g.Count))
			continue
		}
		for range min(g.Count, maxAsked) {
			s.permits = append(s.permits, permit{expires: expires})
			t.stats.Received++
			received = true
		}
	}
	return received
}
