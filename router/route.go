// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package router

import (
	"math/rand/v2"
	"slices"

	"amaranthgate.example/amaranthgate/configurer"
)

// Holding is the part of a prompt that a target is estimated to have cached.
type Holding struct {
	Target int // Target is an index into the pool.
	Cached int // Cached is the number of leading tokens in accelerator memory.
	Kept   int // Kept is the number of leading tokens in memory or store together.
}

// Request describes a request to be routed.
type Request struct {
	Key      uint64 // Key is the routing key; the turns of a conversation share it.
	Tokens   int    // Tokens is the length of the prompt in tokens.
	Known    int    // Known is the number of leading tokens that some upstream has prefilled before.
	Holdings []Holding
	Weights  configurer.RoutingWeights
	Exclude  []bool // Exclude marks targets that must not be used; nil for none.
}

// Decision is the result of routing a request.
type Decision struct {
	Target  int
	Wait    float64 // Wait is the estimated time to the first token, in seconds.
	Restore int     // Restore is the number of leading tokens to restore from the store; 0 for none.
	First   bool    // First reports whether the target ranks first for the key by rendezvous hashing.
	Reused  int     // Reused is the number of leading tokens that need no prefill.
}

// Options disable mechanisms for comparison.
type Options struct {
	NoAffinity    bool
	NoTwoChoices  bool
	NoCorrection  bool
	NoRestore     bool
	NoHoldings    bool
	AffinityShare float64 // AffinityShare is the bonus of the first in rank per prefill time; default 0.5.
}

const defaultAffinityShare = 0.5

// costTolerance is the relative and costToleranceSeconds the absolute difference up
// to which costs count as equal.
const (
	costTolerance        = 0.03
	costToleranceSeconds = 0.003
)

// Router routes requests. It is not safe for concurrent use.
type Router struct {
	opts         Options
	rng          *rand.Rand
	costs        []float64 // costs has the cost of each target; negative if it cannot be used.
	alternatives []plan    // alternatives are the plans that cost no more than a full prefill.
	farCost      float64   // farCost is the cost of leaving the availability zone.
	preferred    int       // preferred is the target that ranks first for the key.
}

// New returns a router that draws from rng.
func New(rng *rand.Rand) *Router { return NewWithOptions(rng, Options{}) }

// NewWithOptions returns a router with options.
func NewWithOptions(rng *rand.Rand, opts Options) *Router {
	if opts.AffinityShare == 0 {
		opts.AffinityShare = defaultAffinityShare
	}
	return &Router{opts: opts, rng: rng}
}

// Route returns the decision for a request, or false if no target is usable.
func (r *Router) Route(pool []Target, req *Request) (Decision, bool) {
	r.costs = slices.Grow(r.costs[:0], len(pool))[:len(pool)]
	r.alternatives = r.alternatives[:0]
	r.farCost = req.Weights.Time * req.Weights.FarZone.Std().Seconds()
	for i := range pool {
		if !pool[i].Usable || i < len(req.Exclude) && req.Exclude[i] {
			r.costs[i] = -1
			continue
		}
		r.costs[i] = r.uncachedCost(&pool[i], req)
	}
	r.applyHoldings(pool, req)
	r.applyAffinity(pool, req)
	best := -1
	for i, v := range r.costs {
		if v >= 0 && (best < 0 || v < r.costs[best]) {
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

// plan is one way to serve a request at a target.
type plan struct {
	target  int
	cached  float64 // cached is the estimated number of leading tokens in accelerator memory.
	restore float64 // restore is the expected number of tokens to move over the link.
	kept    int     // kept is the number of leading tokens that the target may restore; 0 for none.
}

// uncachedCost returns the cost at a target that has cached nothing of the prompt.
func (r *Router) uncachedCost(t *Target, req *Request) float64 {
	value, _ := r.cost(t, req, plan{})
	return value
}

// cost returns the weighted cost of a plan and the time to the first token.
func (r *Router) cost(t *Target, req *Request, p plan) (value, wait float64) {
	var prefill, recompute, link float64
	reused := p.cached + p.restore
	if t.PrefillRate > 0 {
		prefill = (float64(req.Tokens) - reused) / t.PrefillRate
		recompute = max(0, float64(req.Known)-reused) / t.PrefillRate
	}
	if p.restore > 0 {
		link = t.linkSeconds(p.restore)
	}
	wait = r.queueSeconds(t) + prefill + link
	value = req.Weights.Time*wait + req.Weights.Recompute*recompute + req.Weights.Link*link
	if !t.Near {
		value += r.farCost
	}
	return value, wait
}

// decision returns the cheapest plan at a target as a Decision.
func (r *Router) decision(pool []Target, req *Request, target int) Decision {
	p := plan{target: target}
	for _, b := range r.alternatives {
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
		First:   target == r.preferred,
	}
}

func (r *Router) queueSeconds(t *Target) float64 {
	if !r.opts.NoCorrection {
		return t.queueSeconds()
	}
	s := float64(t.Load.WaitingTokens) / max(t.PrefillRate, 1)
	if over := float64(t.Load.Running+t.Load.Waiting) + 1 - t.Slots; over > 0 {
		s += over / t.Slots * t.Meter.MeanSeconds()
	}
	return s
}

// applyHoldings lowers the costs of targets that have cached part of the
// prompt. Restoring competes with computing again and the cheaper plan is taken. A
// target may restore tokens that are estimated to be in accelerator memory: if the
// estimate is wrong, they are read over the link rather than computed again.
func (r *Router) applyHoldings(pool []Target, req *Request) {
	if r.opts.NoHoldings {
		return
	}
	for _, h := range req.Holdings {
		if h.Target >= len(pool) || r.costs[h.Target] < 0 {
			continue
		}
		cached := float64(min(h.Cached, req.Tokens))
		r.consider(pool, req, plan{target: h.Target, cached: cached})
		if kept := min(h.Kept, req.Tokens); kept > 0 && !r.opts.NoRestore {
			r.consider(pool, req, plan{target: h.Target, cached: cached, restore: max(0, float64(kept)-cached), kept: kept})
		}
	}
}

// consider takes a plan if it costs no more than the best known plan of its target.
func (r *Router) consider(pool []Target, req *Request, p plan) {
	value, _ := r.cost(&pool[p.target], req, p)
	if value <= r.costs[p.target] {
		r.costs[p.target] = value
		r.alternatives = append(r.alternatives, p)
	}
}

// applyAffinity gives a bonus to the first target in rendezvous order if no target
// is known to have cached the prompt.
func (r *Router) applyAffinity(pool []Target, req *Request) {
	r.preferred = -1
	var rank uint64
	for i := range pool {
		if r.costs[i] < 0 {
			continue
		}
		if w := Rendezvous(pool[i].Hash, req.Key); r.preferred < 0 || w > rank {
			r.preferred, rank = i, w
		}
	}
	if r.preferred < 0 || r.opts.NoAffinity || pool[r.preferred].PrefillRate <= 0 || len(req.Holdings) > 0 && !r.opts.NoHoldings {
		return
	}
	bonus := req.Weights.Time * r.opts.AffinityShare * float64(req.Tokens) / pool[r.preferred].PrefillRate
	r.costs[r.preferred] = max(0, r.costs[r.preferred]-bonus)
}

// Rendezvous returns the rendezvous hashing weight of a node for a key, by the
// finalizer of SplitMix64.
func Rendezvous(node, key uint64) uint64 {
	x := node ^ key*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// twoChoices draws two random targets among those nearly as cheap as the best and
// returns the one with fewer requests of this host in flight.
func (r *Router) twoChoices(pool []Target, best int) int {
	limit := r.costs[best]*(1+costTolerance) + costToleranceSeconds
	a, b, n := best, best, 0
	for i, v := range r.costs {
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
