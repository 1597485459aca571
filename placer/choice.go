// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/pricer"
	"amaranthgate.example/amaranthgate/updater"
)

// PlacementRequest describes a request for the choice of an upstream.
type PlacementRequest struct {
	Service string
	Prompt  *Prompt // Prompt is nil for plain services.
	// SaltOf returns the cache salt of a weight version.
	SaltOf  func(weights uint64) string
	Exclude []string
	// Software is the version of the software that the upstream must have; nil for any.
	Software *string
	// Isolation is set for a request during which upstreams have ended.
	Isolation Isolation
	// Regions are lists of regions that may serve the request. Each list that is not empty applies.
	Regions [][]string
	// Due is when the first byte must arrive to be on time. If it is zero, the request does not
	// wait for another request's prefill.
	Due time.Time
	// Wait is set if Choose returns AwaitPrefill.
	Wait Wait
	// RestEnds is set if Choose returns None because all upstreams want no requests for a time: when
	// the first of them takes requests again.
	RestEnds time.Time
	// Objective is the target time to the first byte; 0 if there is none.
	Objective time.Duration
	// Turn is what the request's place among the requests that wait at all hosts depends on.
	Turn arbiter.Request

	// Retry is set if an upstream has failed to answer the request.
	Retry bool

	outlierLimit float64   // outlierLimit is the failure rate above which a retry goes elsewhere.
	pricing      bool      // pricing reports whether pricer decides what is fetched.
	due          time.Time // due is Due as of the first call of Choose.
	now          time.Time
	size         int                // size is the memory that the request takes at an engine, in tokens.
	round        uint64             // round is incremented by each call of Choose.
	versionBuf   [1]versionedPrompt // versionBuf avoids an allocation for a single weight version.
	versions     []versionedPrompt  // versions has the prompt's keys by weight version, filled on demand.
}

// versionedPrompt is a prompt with its keys and cache locations under one weight version.
type versionedPrompt struct {
	weights uint64
	round   uint64 // round is the round of the PlacementRequest that sources and stores were looked up in.
	salt    string
	keys    []PartKey
	keyBuf  [4]PartKey // keyBuf avoids an allocation for short chains.
	sources sources
	// stores has for each leading part the store that holds it, up to the first part that none
	// holds.
	stores []*store
	stale  bool // stale reports that stores hold more, but have not stated so lately.
}

// Basis is the state and the estimates that a choice was based on.
type Basis struct {
	// Estimate is the cost of the choice: the time to the first token or to a slot, with
	// penalties.
	Estimate       time.Duration
	Work           Work          // Work is that of all hosts at the upstream.
	PrefillTokens  int           // PrefillTokens is the number of prompt tokens to prefill.
	UnsharedTokens int           // UnsharedTokens is the number of tokens of the last part, which no other request shares.
	FetchTokens    int           // FetchTokens is the number of prompt tokens to fetch.
	BacklogTime    time.Duration // BacklogTime is the estimated prefill time of the upstream's backlog.
	PrefillTime    time.Duration // PrefillTime is the estimated prefill time of the missing tokens.
	FetchTime      time.Duration // FetchTime is the estimated time of the transfers.
	Replaced       bool          // Replaced reports that a newer weight version than the upstream's is in force.
	StoredParts    int           // StoredParts is the number of leading parts that stores hold.
	SavedParts     int           // SavedParts is the number of parts to save to stores.
	Statement      Statement     // Statement is what the first fetch from a store rests on.
	StaleStatement bool          // StaleStatement reports that a store was left out for the age of its statement.
	DelayedSaves   int           // DelayedSaves is the number of parts that cannot be saved yet.
	// SharedKey is the key of the last part that other requests may share; 0 if there is none.
	SharedKey PartKey
	PeersAge  time.Duration // PeersAge is the age of the oldest report of another host that was counted.
	// Throttled is the number of upstreams that were passed over for their rate limits.
	Throttled int
	Resting   int // Resting is the number of upstreams that wanted no requests from this host.
	// StatedPace is the factor by which work at the upstream takes longer than usual, as it stated; 0 if it
	// is as usual.
	StatedPace float64
	// HiddenRequests is the number of requests that the upstream stated and no host had reported.
	HiddenRequests int
	// FetchReasons counts the parts that the upstream does not cache by why they are fetched or prefilled.
	FetchReasons pricer.Tally
}

// Choice is the chosen upstream with its instructions.
type Choice struct {
	Upstream follower.Upstream
	Weights  uint64   // Weights is the weight version that the upstream is believed to have.
	Salt     string   // Salt is the cache salt that Fetch and Save hold for.
	Fetch    []string // Fetch has for each part the address to fetch it from, or "".
	// FetchDeadline is the deadline of fetches from stores, in milliseconds of the upstreams' clock; 0 if
	// there are none.
	FetchDeadline int64
	Save          []string  // Save has for each part the address of the store to save it to, or "".
	SaveUntil     time.Time // SaveUntil is when the request must have been sent for Save to hold.
	Basis         Basis
	Ticket        *Ticket
}

// Verdict is the outcome of a choice.
type Verdict string

const (
	// Chosen means that an upstream was chosen for the request.
	Chosen Verdict = "Chosen"
	// Busy means that no upstream can begin the request now, but one will.
	Busy Verdict = "Busy"
	// AwaitPrefill means that another request's prefill covers a leading part of the prompt and that the
	// request should wait for it.
	AwaitPrefill Verdict = "Awaits"
	// None means that the service has no upstream for the request.
	None Verdict = "None"
)

// Choose picks an upstream that can begin the request and records the request as in flight there.
func (p *Placer) Choose(now time.Time, req *PlacementRequest) (Choice, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	req.now = now
	req.round++
	p.beginChoice(now)
	req.pricing = p.opts.FetchPricing
	if req.due.IsZero() {
		req.due = req.Due
	}
	p.endTransfers(now)
	if req.Prompt != nil {
		req.size = req.Prompt.Tokens() + req.Prompt.Output
	}
	if req.Wait = p.wait(now, req); req.Wait.Done != nil {
		return Choice{}, AwaitPrefill
	}
	p.beginTurn(now, req)
	var s shortlist
	best, estimate, verdict := p.best(now, req, &s)
	p.endTurn(verdict)
	if verdict == Chosen && !p.limits.Take(now, best.instance) {
		verdict = Busy
		s.throttled = append(s.throttled, best)
	}
	if verdict != Chosen {
		p.wantThrottled(now, &s)
		p.wantCrowded(now, &s)
		p.signalLending()
		if verdict == None {
			req.RestEnds = p.earliestRestEnd(now, req)
		}
		return Choice{}, verdict
	}
	if best.backoff > 0 {
		best.probing = true
	}
	c := Choice{Upstream: *best.upstream, Basis: Basis{Estimate: estimate, Work: best.work(), PeersAge: p.peersAge(now), Throttled: len(s.throttled), Resting: s.resting}}
	p.assess(now, best)
	if best.statedPace != 1 {
		c.Basis.StatedPace = best.statedPace
	}
	c.Basis.HiddenRequests = best.hidden
	tk := &Ticket{placer: p, target: best, start: now, work: Work{Requests: 1}}
	p.takeSlot(now, tk)
	if req.Prompt != nil {
		c.Weights = best.upstream.Weights[req.Prompt.Model]
		p.plan(now, req, best, &c, tk)
	}
	tk.fetching = c.Basis.FetchTokens > 0
	tk.expected = best.atMost(now, c.Basis.BacklogTime+c.Basis.PrefillTime) + c.Basis.FetchTime
	if best.engine != nil && req.Prompt != nil {
		running := time.Duration(c.Basis.Work.Requests) * runningPenalty
		tk.baseline, tk.fetchTime = firstTokenTime+running+c.Basis.BacklogTime+c.Basis.PrefillTime, c.Basis.FetchTime
		tk.estimate = best.scaled(now, tk.baseline) + tk.fetchTime
	}
	p.startPrefills(now, tk, tk.firstPrefilled)
	best.own.add(tk.work)
	best.recordSent(now)
	p.began(now, req)
	p.changed[best], p.activeTargets[best] = struct{}{}, struct{}{}
	best.tickets[tk] = struct{}{}
	if tk.work.Pending+tk.transfer.Pending >= urgentTokens || p.scarce(best) {
		p.requestReport()
	}
	c.Ticket = tk
	p.signalLending()
	return c, Chosen
}

// shortlist collects the candidates of a choice by kind.
type shortlist struct {
	best      *target       // best has the least cost of those that can begin the request.
	leastCost time.Duration // leastCost is the cost of best.
	busy      bool          // busy reports that a candidate will be able to begin the request later.
	fallback  *target       // fallback is a candidate that is loading weights or has expired ones.
	suspect   *target       // suspect is the suspect candidate with the earliest end of its backoff.
	resting   int           // resting is the number of candidates that want no requests from this host.
	crowded   []*target     // crowded are the brittle candidates that have no slot for this host now.
	throttled []*target     // throttled are the candidates whose rate limits leave nothing for this host now.
}

// best returns the candidate with the least cost among those that can begin the request, and its
// cost. The scan starts at a random candidate, so that hosts with equal knowledge do not all choose
// the same one.
func (p *Placer) best(now time.Time, req *PlacementRequest, s *shortlist) (*target, time.Duration, Verdict) {
	pl := p.pools[req.Service]
	if pl == nil || !pl.serves(req) {
		return nil, 0, None
	}
	if !pl.large() && !p.anyAdmits(pl, req) {
		return nil, 0, Busy
	}
	if req.Isolation.requested() {
		return p.chooseIsolated(now, req, s)
	}
	p.considerAll(now, p.candidates(pl, req), req, s)
	if s.best == nil && pl.large() && req.Software == nil {
		p.considerAll(now, p.sample(pl.all, retrySamples), req, s)
	}
	return p.pick(s, req)
}

// considerAll adds the eligible candidates to the shortlist.
func (p *Placer) considerAll(now time.Time, all []*target, req *PlacementRequest, s *shortlist) {
	p.setOutlierLimit(all, req)
	for i, from := 0, p.randomIndex(len(all)); i < len(all); i++ {
		t := all[(from+i)%len(all)]
		if p.eligible(t, req) {
			p.consider(now, t, req, s)
		}
	}
}

// eligible reports whether a request may go to an upstream at all.
func (p *Placer) eligible(t *target, req *PlacementRequest) bool {
	return !slices.Contains(req.Exclude, t.upstream.ID) && t.runs(req) && p.allowedIn(req, t.upstream.AvailabilityZone)
}

// consider adds a candidate to the shortlist.
func (p *Placer) consider(now time.Time, t *target, req *PlacementRequest, s *shortlist) {
	switch {
	case t.resting(now):
		s.resting++
	case p.heldBack(now, t):
		s.busy = true
	case p.crowded(now, t):
		s.busy = true
		s.crowded = append(s.crowded, t)
	case p.rationed(now, t):
		s.busy = true
	case t.suspect(now):
		s.addSuspect(t, p.throttled(now, t))
	case p.throttled(now, t):
		s.throttled = append(s.throttled, t)
	case t.phase == updater.PhaseLoading || p.expired(now, t, req):
		s.fallback = t
	case !p.admits(t, req):
		s.busy = true
	default:
		if cost := p.cost(now, t, req) + t.retryPenalty(req); s.best == nil || cost < s.leastCost {
			s.best, s.leastCost = t, cost
		}
	}
}

// addSuspect adds a suspect candidate, unless its rate limit forbids to try it.
func (s *shortlist) addSuspect(t *target, throttled bool) {
	if !throttled && (s.suspect == nil || t.suspectUntil.Before(s.suspect.suspectUntil)) {
		s.suspect = t
	}
}

// pick returns the best candidate of the shortlist. One that is loading, has expired weights or is
// suspect is returned only if no other will be able to begin the request.
func (p *Placer) pick(s *shortlist, req *PlacementRequest) (*target, time.Duration, Verdict) {
	switch {
	case s.best != nil:
		return s.best, s.leastCost, Chosen
	case s.busy:
		return nil, 0, Busy
	case s.fallback != nil && p.admits(s.fallback, req):
		return s.fallback, 0, Chosen
	case s.fallback != nil, len(s.throttled) > 0:
		return nil, 0, Busy
	case s.suspect != nil:
		return s.suspect, 0, Chosen
	}
	return nil, 0, None
}

func (p *Placer) randomIndex(n int) int {
	if n == 0 {
		return 0
	}
	return p.rng.IntN(n)
}
