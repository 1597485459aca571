// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package router

import (
	"math/rand/v2"
	"slices"

	"amaranthgate.example/amaranthgate/configurer"
)

// Holding is what one target is believed to hold of a prompt.
type Holding struct {
	Target int // Target is an index into the pool.
	Cached int // Cached is the number of leading tokens in accelerator memory.
	Kept   int // Kept is the number of leading tokens in memory or store together.
}

// Request is what routing must know of a request.
type Request struct {
	Key      uint64 // Key is the same for all turns of a conversation.
	Tokens   int    // Tokens is the length of the prompt.
	Known    int    // Known is the number of leading tokens that were computed before.
	Holdings []Holding
	Weights  configurer.RoutingWeights
	Exclude  []bool // Exclude marks targets that may not be used; nil for none.
}

// Decision is where a request goes.
type Decision struct {
	Target  int
	Wait    float64 // Wait is the estimated time to the first token, in seconds.
	Restore int     // Restore is the number of leading tokens to restore from the store; 0 for none.
	First   bool    // First tells that the target ranks first for the key, as every host can work out.
	Reused  int     // Reused is the number of leading tokens that need no computing.
}

// Options switch mechanisms off, for measurements.
type Options struct {
	NoAffinity    bool
	NoTwoChoices  bool
	NoCorrection  bool
	NoRestore     bool
	NoHoldings    bool
	AffinityShare float64 // AffinityShare is the part of a prompt's computing time by which the first in rank is preferred; default 0.5.
}

// defaultAffinity is the default of Options.AffinityShare.
const defaultAffinity = 0.5

// nearlyEqual is the relative difference of costs within which two targets are
// taken as equal, and nearlyEqualSeconds the absolute one.
const (
	nearlyEqual        = 0.03
	nearlyEqualSeconds = 0.003
)

// Router decides. It is not safe for concurrent use; give each goroutine its
// own, or guard it.
type Router struct {
	opts   Options
	rng    *rand.Rand
	values []float64 // values are the costs of the targets; negative for those that cannot be used.
	better []part    // better are the ways that are cheaper than to compute everything.
	far    float64   // far is the cost of leaving the availability zone.
	first  int       // first is the target that ranks first for the key.
}

// New returns a router that draws from rng.
func New(rng *rand.Rand) *Router { return NewWithOptions(rng, Options{}) }

// NewWithOptions returns a router with mechanisms switched off.
func NewWithOptions(rng *rand.Rand, opts Options) *Router {
	if opts.AffinityShare == 0 {
		opts.AffinityShare = defaultAffinity
	}
	return &Router{opts: opts, rng: rng}
}

// Route returns the decision for a request, and false if no target is usable.
func (r *Router) Route(pool []Target, req *Request) (Decision, bool) {
	r.values = slices.Grow(r.values[:0], len(pool))[:len(pool)]
	r.better = r.better[:0]
	r.far = req.Weights.Time * req.Weights.FarZone.Std().Seconds()
	for i := range pool {
		if !pool[i].Usable || i < len(req.Exclude) && req.Exclude[i] {
			r.values[i] = -1
			continue
		}
		r.values[i] = r.bare(&pool[i], req)
	}
	r.holdings(pool, req)
	r.affinity(pool, req)
	best := -1
	for i, v := range r.values {
		if v >= 0 && (best < 0 || v < r.values[best]) {
			best = i
		}
	}
	if best < 0 {
		return Decision{}, false
	}
	if !r.opts.NoTwoChoices {
		best = r.twoChoices(pool, best)
	}
	return r.decision(pool, req, best), true
}

// part is one way to serve a request at a target.
type part struct {
	target  int
	cached  float64 // cached is the number of leading tokens that are believed to be in accelerator memory.
	restore float64 // restore is the expected number of tokens to move over the link.
	kept    int     // kept is the number of leading tokens that the target may restore; 0 to compute instead.
}

// bare returns the cost at a target that holds nothing of the prompt.
func (r *Router) bare(t *Target, req *Request) float64 {
	value, _ := r.cost(t, req, part{})
	return value
}

// cost returns the weighed cost of one way, and the time to the first token.
func (r *Router) cost(t *Target, req *Request, p part) (value, wait float64) {
	var prefill, again, link float64
	reused := p.cached + p.restore
	if t.PrefillRate > 0 {
		prefill = (float64(req.Tokens) - reused) / t.PrefillRate
		again = max(0, float64(req.Known)-reused) / t.PrefillRate
	}
	if p.restore > 0 {
		link = t.linkSeconds(p.restore)
	}
	wait = r.queueTime(t) + prefill + link
	value = req.Weights.Time*wait + req.Weights.Recompute*again + req.Weights.Link*link
	if !t.Near {
		value += r.far
	}
	return value, wait
}

// decision describes the best way at a target.
func (r *Router) decision(pool []Target, req *Request, target int) Decision {
	p := part{target: target}
	for _, b := range r.better {
		if b.target == target {
			p = b // the last one is the cheapest
		}
	}
	_, wait := r.cost(&pool[target], req, p)
	return Decision{
		Target:  target,
		Wait:    wait,
		Reused:  int(p.cached + p.restore),
		Restore: p.kept,
		First:   target == r.first,
	}
}

func (r *Router) queueTime(t *Target) float64 {
	if !r.opts.NoCorrection {
		return t.queue()
	}
	s := float64(t.Load.WaitingTokens) / max(t.PrefillRate, 1)
	if over := float64(t.Load.Running+t.Load.Waiting) + 1 - t.Slots; over > 0 {
		s += over / t.Slots * t.Meter.Hold()
	}
	return s
}

// holdings improves the costs of targets that hold part of the prompt. Restore
// competes with computing again; the cheaper way is taken. A target may restore
// although the host believes it has everything in memory: if the belief is
// wrong, that costs the link and not the computing.
func (r *Router) holdings(pool []Target, req *Request) {
	if r.opts.NoHoldings {
		return
	}
	for _, h := range req.Holdings {
		if h.Target >= len(pool) || r.values[h.Target] < 0 {
			continue
		}
		cached := float64(min(h.Cached, req.Tokens))
		r.improve(pool, req, part{target: h.Target, cached: cached})
		if kept := min(h.Kept, req.Tokens); kept > 0 && !r.opts.NoRestore {
			r.improve(pool, req, part{target: h.Target, cached: cached, restore: max(0, float64(kept)-cached), kept: kept})
		}
	}
}

// improve takes a way if it is no dearer than the best one known.
func (r *Router) improve(pool []Target, req *Request, p part) {
	value, _ := r.cost(&pool[p.target], req, p)
	if value <= r.values[p.target] {
		r.values[p.target] = value
		r.better = append(r.better, p)
	}
}

// affinity prefers the first in rendezvous rank when nobody is known to hold
// the prompt.
func (r *Router) affinity(pool []Target, req *Request) {
	r.first = -1
	var rank uint64
	for i := range pool {
		if r.values[i] < 0 {
			continue
		}
		if w := Rendezvous(pool[i].Hash, req.Key); r.first < 0 || w > rank {
			r.first, rank = i, w
		}
	}
	if r.first < 0 || r.opts.NoAffinity || pool[r.first].PrefillRate <= 0 || len(req.Holdings) > 0 && !r.opts.NoHoldings {
		return
	}
	bonus := req.Weights.Time * r.opts.AffinityShare * float64(req.Tokens) / pool[r.first].PrefillRate
	r.values[r.first] = max(0, r.values[r.first]-bonus)
}

// Rendezvous returns the weight of a node for a key: the finalizer of
// SplitMix64 over both.
func Rendezvous(node, key uint64) uint64 {
	x := node ^ key*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// twoChoices takes two random targets among those nearly as cheap as the best
// and returns the one with fewer requests of this host.
func (r *Router) twoChoices(pool []Target, best int) int {
	limit := r.values[best]*(1+nearlyEqual) + nearlyEqualSeconds
	a, b, n := best, best, 0
	for i, v := range r.values {
		if v < 0 || v > limit {
			continue
		}
		n++
		if r.rng.IntN(n) == 0 {
			a, b = i, a
		} else if r.rng.IntN(n) == 0 {
			b = i
		}
	}
	if pool[b].Meter.InFlight() < pool[a].Meter.InFlight() {
		return b
	}
	return a
}
