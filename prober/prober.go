// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package prober

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// State says whether a host reaches upstreams.
type State string

// Values of State.
const (
	Reaching State = "Reaching"
	Doubting State = "Doubting"
	CutOff   State = "CutOff"
)

// Cause says why a connection failed.
type Cause string

// Values of Cause.
const (
	CauseNone    Cause = ""        // CauseNone means that the connection was established.
	CauseTimeout Cause = "Timeout" // CauseTimeout means that there was no reply.
	CauseRefused Cause = "Refused"
	CauseReset   Cause = "Reset" // CauseReset means that it ended before an answer.
	CauseOther   Cause = "Other"
	CauseSkipped Cause = "Skipped" // CauseSkipped means that a probe was not made; it is no evidence.
)

// Upstream is where a connection can be made.
type Upstream struct {
	Address          string
	Service          string
	AvailabilityZone string
}

// Outcome is the outcome of a new connection.
type Outcome struct {
	Address string
	Started time.Time // Started is when the connection was begun.
	Cause   Cause     // Cause is CauseNone if it was established.
}

// Input is the external state that a step depends on.
type Input struct {
	// Upstreams returns the upstreams that should accept connections. It is not called while the host is
	// Reaching.
	Upstreams func() []Upstream
	// Quiet is how long requests have been in progress without activity of any upstream.
	Quiet time.Duration
	// OthersReach reports whether another live host says that it reaches upstreams.
	OthersReach bool
}

// Evidence is what a state is based on.
type Evidence struct {
	Failed      int           // Failed is the number of upstreams whose last connection failed.
	Reached     int           // Reached is the number of upstreams to which connections succeeded since.
	Tried       int           // Tried is the number of upstreams to which connections were attempted.
	Causes      map[Cause]int // Causes counts the causes of failures by upstream.
	Since       time.Time     // Since is when the doubt began that led to the cut.
	LastReached time.Time     // LastReached is when a connection was last established; zero if never.
}

// Step is the result of a step.
type Step struct {
	Probes  []Upstream // Probes are upstreams to connect to now.
	Changed bool       // Changed reports a transition to or from CutOff.
}

// Prober decides whether a host reaches upstreams.
type Prober struct {
	opts        Options
	rng         *rand.Rand
	state       State
	othersReach bool
	confirmed   bool      // confirmed reports that a connection of the cut failed while other hosts reached upstreams.
	aloneAt     time.Time // aloneAt is when no other host was last known to reach upstreams.

	since       time.Time        // since is when the doubt began, or the one that led to the cut.
	failed      map[string]Cause // failed are the addresses whose last connection failed, since then.
	tried       map[string]bool  // tried are the addresses of all connections since then.
	reached     map[string]bool  // reached are the addresses of connections in the current streak of a cut.
	streakSince time.Time        // streakSince is when the streak began; zero if there is none.
	streakSolid bool             // streakSolid reports that the cut was confirmed when the streak began.
	missed      map[string]bool  // missed are the addresses that failed since the last success.
	ended       map[string]bool  // ended are the addresses that failed in the streak and were not reached since.
	inFlight    map[string]bool  // inFlight are the addresses of running probes.
	probed      int              // probed is the number of probes in the doubt.
	lastProbed  time.Time
	quietDoubt  time.Time // quietDoubt is when the last doubt without a failed connection began.
	lastReached time.Time
	lastStep    time.Time
	ignoreUntil time.Time // ignoreUntil is until when failures are no evidence.
	returnedAt  time.Time // returnedAt is the time of the last return.
	repeats     int       // repeats counts cuts in a series.
	required    time.Duration
}

// New returns a Prober of a host that reaches upstreams.
func New(opts Options) *Prober {
	p := &Prober{opts: opts.withDefaults(), rng: rand.New(rand.NewPCG(opts.Seed, 3)), state: Reaching, inFlight: make(map[string]bool)}
	p.clear()
	return p
}

// State returns the state that this host's own connections show.
func (p *Prober) State() State { return p.state }

// CutOff reports whether the host is cut off and another one is not. If all hosts were cut off, the return of the first
// one says nothing of this one until a connection has failed since.
func (p *Prober) CutOff() bool { return p.state == CutOff && p.othersReach && p.confirmed }

// Evidence returns the evidence of the current state.
func (p *Prober) Evidence() Evidence {
	e := Evidence{Failed: len(p.failed), Reached: len(p.reached), Tried: len(p.tried), Causes: make(map[Cause]int), Since: p.since, LastReached: p.lastReached}
	for _, c := range p.failed {
		e.Causes[c]++
	}
	return e
}

// clear drops the evidence.
func (p *Prober) clear() {
	p.since, p.streakSince = time.Time{}, time.Time{}
	p.failed, p.tried = make(map[string]Cause), make(map[string]bool)
	p.reached, p.missed, p.ended = make(map[string]bool), make(map[string]bool), make(map[string]bool)
}

// Record records the outcome of a connection.
func (p *Prober) Record(now time.Time, o Outcome) {
	switch o.Cause {
	case CauseSkipped:
	case CauseNone:
		p.recordReached(now, o)
	default:
		p.recordFailed(now, o)
	}
}

// ProbeEnded records the outcome of a probe.
func (p *Prober) ProbeEnded(now time.Time, o Outcome) {
	delete(p.inFlight, o.Address)
	p.Record(now, o)
}

func (p *Prober) recordReached(now time.Time, o Outcome) {
	if o.Started.Before(p.since) {
		return // it may have been established before the cut
	}
	p.lastReached = now
	switch p.state {
	case Doubting:
		p.state = Reaching
		p.clear()
	case CutOff:
		if p.streakSince.IsZero() {
			p.streakSince, p.streakSolid = now, p.confirmed
		}
		p.tried[o.Address], p.reached[o.Address] = true, true
		delete(p.failed, o.Address)
		delete(p.ended, o.Address)
		clear(p.missed)
	}
}

func (p *Prober) recordFailed(now time.Time, o Outcome) {
	if now.Before(p.ignoreUntil) {
		return
	}
	switch p.state {
	case Reaching:
		p.doubt(now)
	case CutOff:
		p.confirmed = p.confirmed || p.othersReach && o.Started.After(p.aloneAt)
		delete(p.reached, o.Address)
		if !o.Started.Before(p.streakSince) {
			p.missed[o.Address], p.ended[o.Address] = true, true
		}
	}
	p.tried[o.Address], p.failed[o.Address] = true, o.Cause
}

func (p *Prober) doubt(now time.Time) {
	p.clear()
	p.state, p.since, p.probed = Doubting, now, 0
}

// Step decides on the state and returns the probes to make. It is to be called several times a second, and soon after
// an outcome.
func (p *Prober) Step(now time.Time, in Input) Step {
	p.othersReach = in.OthersReach
	if !in.OthersReach {
		p.confirmed, p.aloneAt = false, now
	}
	p.detectStall(now)
	switch p.state {
	case Doubting:
		return p.stepDoubt(now, in.Upstreams())
	case CutOff:
		return p.stepCutOff(now, in.Upstreams())
	}
	if in.Quiet < p.opts.MaxQuiet || now.Before(p.ignoreUntil) || now.Sub(p.quietDoubt) < p.opts.QuietInterval {
		return Step{}
	}
	p.quietDoubt = now
	p.doubt(now)
	return p.stepDoubt(now, in.Upstreams())
}

// detectStall ends a doubt whose evidence may come from a stall of this process.
func (p *Prober) detectStall(now time.Time) {
	if !p.lastStep.IsZero() && now.Sub(p.lastStep) > p.opts.MaxSteps {
		p.ignoreUntil = now.Add(p.opts.StallGrace)
		if p.state == Doubting {
			p.state = Reaching
			p.clear()
		}
	}
	p.lastStep = now
}

func (p *Prober) stepDoubt(now time.Time, known []Upstream) Step {
	if len(known) < p.opts.MinFailed {
		p.state = Reaching
		p.clear()
		return Step{}
	}
	c := newCoverage(known)
	for address := range p.failed {
		c.add(address)
	}
	shown := c.shows(p.opts.MinFailed)
	if shown && len(p.inFlight) == 0 && (p.probed >= minOwnProbes || !p.anyUntried(c)) {
		if now.Sub(p.since) < p.opts.MinDoubt {
			return Step{}
		}
		maps.DeleteFunc(p.failed, func(address string, _ Cause) bool { return !c.added[address] })
		p.cut(now)
		return Step{Changed: true, Probes: p.probe(now, known)}
	}
	return p.probeDoubt(c)
}

// minOwnProbes is the least number of probes in a doubt, whatever the connections of requests show. It is also the
// number of the first probes in a doubt without a failed connection.
const minOwnProbes = 2

// anyUntried reports whether there is an upstream without a connection since the doubt began.
func (p *Prober) anyUntried(c *coverage) bool {
	return slices.ContainsFunc(c.known, func(u Upstream) bool { return !p.tried[u.Address] })
}

// probeDoubt returns probes that decide a doubt. c covers the upstreams that failed.
func (p *Prober) probeDoubt(c *coverage) Step {
	for address := range p.inFlight {
		c.add(address)
	}
	limit := p.opts.DoubtProbes
	if len(p.failed) == 0 {
		limit = minOwnProbes
	}
	var s Step
	for len(p.inFlight) < limit && (p.probed < minOwnProbes || !c.shows(p.opts.MinFailed)) {
		u, ok := c.next(p.rng, func(u Upstream) bool { return !p.tried[u.Address] && !p.inFlight[u.Address] })
		if !ok {
			break
		}
		c.add(u.Address)
		p.probed++
		p.inFlight[u.Address], p.tried[u.Address] = true, true
		s.Probes = append(s.Probes, u)
	}
	if len(s.Probes) == 0 && len(p.inFlight) == 0 && !c.shows(p.opts.MinFailed) {
		p.state = Reaching // upstreams were removed or probes skipped, so that nothing remains to try
		p.clear()
	}
	return s
}

// cut begins a cut.
func (p *Prober) cut(now time.Time) {
	p.state, p.confirmed = CutOff, p.othersReach
	if !p.returnedAt.IsZero() && p.since.Sub(p.returnedAt) < p.opts.RepeatInterval {
		p.repeats++
	} else {
		p.repeats = 0
	}
	p.required = p.opts.MinReturn
	for range p.repeats {
		p.required = min(2*p.required, p.opts.MaxReturn)
	}
	p.required += time.Duration(returnSpread * p.rng.Float64() * float64(p.required))
	p.lastProbed = time.Time{}
}

func (p *Prober) stepCutOff(now time.Time, known []Upstream) Step {
	enough := min(2, len(known))
	if len(p.missed) >= max(1, enough) {
		p.streakSince = time.Time{}
		clear(p.reached)
		clear(p.missed)
		clear(p.ended)
	}
	required := p.required
	if !p.streakSolid {
		required = 0 // all hosts return together
	}
	if !p.streakSince.IsZero() && now.Sub(p.streakSince) >= required && len(p.reached) >= enough {
		p.state, p.returnedAt = Reaching, now
		return Step{Changed: true}
	}
	return Step{Probes: p.probe(now, known)}
}

// probe returns the probes of a host that is cut off.
func (p *Prober) probe(now time.Time, known []Upstream) []Upstream {
	if now.Sub(p.lastProbed) < p.opts.ProbeInterval {
		return nil
	}
	c := newCoverage(known)
	for address := range p.inFlight {
		c.add(address)
	}
	var out []Upstream
	for len(p.inFlight) < p.opts.Probes {
		u, ok := c.next(p.rng, func(u Upstream) bool { return !p.inFlight[u.Address] && !p.ended[u.Address] && !p.reached[u.Address] })
		if !ok {
			u, ok = c.next(p.rng, func(u Upstream) bool { return !p.inFlight[u.Address] && !p.ended[u.Address] })
		}
		if !ok {
			u, ok = c.next(p.rng, func(u Upstream) bool { return !p.inFlight[u.Address] })
		}
		if !ok {
			break
		}
		c.add(u.Address)
		p.inFlight[u.Address] = true
		out = append(out, u)
	}
	if len(out) > 0 {
		p.lastProbed = now
	}
	return out
}

// Failed returns the sorted addresses whose last connection failed.
func (p *Prober) Failed() []string { return slices.Sorted(maps.Keys(p.failed)) }
