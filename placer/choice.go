// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/renewer"
)

// Ask is what placement must know of a request.
type Ask struct {
	Service string
	Prompt  *Prompt // Prompt is nil for plain services.
	// SaltOf returns the text that sets apart context of a weight version.
	SaltOf  func(weights uint64) string
	Exclude []string
	// Apart is set for a request under which upstreams have ended.
	Apart Apart
	// Homes are the lists of regions that may serve the request; each of them binds.
	Homes [][]string
	// Due is when the first byte must be there to be on time; if it is zero, the request
	// waits for no reading of another one.
	Due time.Time
	// Wait is set if Choose says Awaits.
	Wait Wait
	// Objective is the time to the first byte in which an answer counts as on time; 0
	// if there is none.
	Objective time.Duration

	now    time.Time
	size   int        // size are the tokens that the request takes of an engine's memory.
	round  uint64     // round counts the choices that were tried for the request.
	one    [1]chained // one is the room for chains in the usual case.
	chains []chained  // chains has the prompt's keys by weight version, as far as they were needed.
}

// chained is a prompt as it is known under one weight version.
type chained struct {
	weights uint64
	round   uint64 // round is the choice for which sources and stored were looked up.
	salt    string
	keys    []PartKey
	few     [4]PartKey // few is the room for keys in the usual case.
	sources sources
	stored  []*store // stored has for each part the store that holds it, up to the first that none holds.
}

// Basis is what a choice was based on.
type Basis struct {
	Estimate time.Duration // Estimate is the time to the first token or to a slot, with penalties.
	Work     Work          // Work was under way at the upstream, of all hosts.
	Missing  int           // Missing are prompt tokens to be read there.
	Alone    int           // Alone are prompt tokens of the last part, which no other request begins with.
	Moved    int           // Moved are prompt tokens to be fetched.
	Behind   time.Duration // Behind is the estimated time to read what waits there before it.
	Reading  time.Duration // Reading is that of reading what is missing.
	Fetching time.Duration // Fetching is that of its transfers.
	Replaced bool          // Replaced tells that a newer weight version than the upstream's was named.
	Stored   int           // Stored is the number of leading parts that stores hold.
	Saved    int           // Saved is the number of parts that are to be saved to stores.
	Shared   PartKey       // Shared names the deepest part that other requests may have; 0 if there is none.
	PeersAge time.Duration // PeersAge is the age of the oldest word of another host that was counted.
}

// Choice is an upstream and what to tell it.
type Choice struct {
	Upstream follower.Upstream
	Weights  uint64   // Weights is the version that the upstream is believed to have.
	Fetch    []string // Fetch has for each part the address that keeps it, or "".
	Until    int64    // Until bounds the fetches from stores, in milliseconds of the upstreams' clock; 0 if there are none.
	Save     []string // Save has for each part the store to save it to, or "".
	Basis    Basis
	Ticket   *Ticket
}

// Verdict says what came of a choice.
type Verdict string

const (
	// Chosen says that the request is to be sent.
	Chosen Verdict = "Chosen"
	// Busy says that no upstream can begin the request now, but one will.
	Busy Verdict = "Busy"
	// Awaits says that an engine is reading what the request begins with, and that it had
	// better wait for that.
	Awaits Verdict = "Awaits"
	// None says that the service has no upstream for the request.
	None Verdict = "None"
)

// Choose picks an upstream that can begin the request and counts it as under way there.
func (p *Placer) Choose(now time.Time, ask *Ask) (Choice, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ask.now = now
	ask.round++
	if ask.Prompt != nil {
		ask.size = ask.Prompt.Tokens() + ask.Prompt.Output
	}
	if ask.Wait = p.wait(now, ask); ask.Wait.Read != nil {
		return Choice{}, Awaits
	}
	best, estimate, verdict := p.best(now, ask)
	if verdict != Chosen {
		return Choice{}, verdict
	}
	if best.pause > 0 {
		best.probing = true
	}
	c := Choice{Upstream: *best.upstream, Basis: Basis{Estimate: estimate, Work: best.work(), PeersAge: p.peersAge(now)}}
	tk := &Ticket{placer: p, target: best, start: now, work: Work{Requests: 1}}
	if ask.Prompt != nil {
		c.Weights = best.upstream.Weights[ask.Prompt.Model]
		p.plan(now, ask, best, &c, tk)
	}
	tk.fetching = c.Basis.Moved > 0
	tk.expected = best.takes(now, c.Basis.Behind+c.Basis.Reading) + c.Basis.Fetching
	if best.engine != nil && ask.Prompt != nil {
		running := time.Duration(c.Basis.Work.Requests) * runningPenalty
		tk.common, tk.fetchTime = firstToken+running+c.Basis.Behind+c.Basis.Reading, c.Basis.Fetching
	}
	p.begin(now, tk, tk.reads)
	best.own.add(tk.work)
	best.noteSent(now)
	p.changed[best], p.working[best] = struct{}{}, struct{}{}
	best.tickets[tk] = struct{}{}
	if tk.work.Pending+tk.moved.Pending >= urgentTokens && p.opts.Urgent != nil {
		p.opts.Urgent()
	}
	c.Ticket = tk
	return c, Chosen
}

// shortlist is what a look at the candidates of a request has found.
type shortlist struct {
	best  *target       // best is the one with the least cost that can begin the request.
	least time.Duration // least is the cost of best.
	busy  bool          // busy tells that another one will be able to.
	last  *target       // last is one that is loading or has expired weights.
	spare *target       // spare is the suspect that rests for the shortest time.
}

// best returns the target with the least cost among those that can begin the request,
// and the cost. It begins anywhere among the candidates: hosts that know nothing yet see
// all of them alike, and must not all take the first.
func (p *Placer) best(now time.Time, ask *Ask) (*target, time.Duration, Verdict) {
	in := p.pools[ask.Service]
	if in == nil {
		return nil, 0, None
	}
	if !in.large() && !p.anyBegins(in, ask) {
		return nil, 0, Busy
	}
	if ask.Apart.asked() {
		return p.apart(now, ask)
	}
	var s shortlist
	p.weigh(now, p.candidates(in, ask), ask, &s)
	if s.best == nil && in.large() {
		p.weigh(now, p.draw(in.all, drawnAgain), ask, &s)
	}
	return p.settle(&s, ask)
}

// weigh puts candidates on the list.
func (p *Placer) weigh(now time.Time, all []*target, ask *Ask, s *shortlist) {
	for i, from := 0, p.anywhere(len(all)); i < len(all); i++ {
		t := all[(from+i)%len(all)]
		if p.eligible(t, ask) {
			p.consider(now, t, ask, s)
		}
	}
}

// eligible tells that a request may go to an upstream at all.
func (p *Placer) eligible(t *target, ask *Ask) bool {
	return !slices.Contains(ask.Exclude, t.upstream.ID) && p.home(ask, t.upstream.AvailabilityZone)
}

// consider puts a candidate where it belongs on the list.
func (p *Placer) consider(now time.Time, t *target, ask *Ask, s *shortlist) {
	switch {
	case p.rationed(now, t):
		s.busy = true
	case t.suspect(now):
		if s.spare == nil || t.suspectUntil.Before(s.spare.suspectUntil) {
			s.spare = t
		}
	case t.phase == renewer.PhaseLoading || p.expired(now, t, ask):
		s.last = t
	case !p.begins(t, ask):
		s.busy = true
	default:
		if cost := p.cost(now, t, ask); s.best == nil || cost < s.least {
			s.best, s.least = t, cost
		}
	}
}

// settle takes the best of the list; what loads, has expired weights or is suspected only
// if there is nothing else to wait for.
func (p *Placer) settle(s *shortlist, ask *Ask) (*target, time.Duration, Verdict) {
	switch {
	case s.best != nil:
		return s.best, s.least, Chosen
	case s.busy:
		return nil, 0, Busy
	case s.last != nil && p.begins(s.last, ask):
		return s.last, 0, Chosen
	case s.last != nil:
		return nil, 0, Busy
	case s.spare != nil:
		return s.spare, 0, Chosen
	}
	return nil, 0, None
}

func (p *Placer) anywhere(n int) int {
	if n == 0 {
		return 0
	}
	return p.rng.IntN(n)
}
