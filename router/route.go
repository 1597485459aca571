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
	opts  Options
	rng   *rand.Rand
	costs []cost
}

type cost struct {
	value    float64
	decision Decision
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
	r.costs = slices.Grow(r.costs[:0], len(pool))[:len(pool)]
	best := -1
	for i := range pool {
		if !pool[i].Usable || i < len(req.Exclude) && req.Exclude[i] {
			r.costs[i].value = -1
			continue
		}
		r.costs[i] = r.bare(&pool[i], i, req)
	}
	r.holdings(pool, req)
	r.affinity(pool, req)
	for i := range r.costs {
		if r.costs[i].value >= 0 && (best < 0 || r.costs[i].value < r.costs[best].value) {
			best = i
		}
	}
	if best < 0 {
		return Decision{}, false
	}
	if !r.opts.NoTwoChoices {
		best = r.twoChoices(pool, best)
	}
	return r.costs[best].decision, true
}

// bare returns the cost at a target that holds nothing of the prompt.
func (r *Router) bare(t *Target, i int, req *Request) cost {
	return r.total(t, req, part{target: i})
}

// part is one way to serve a request at a target.
type part struct {
	target  int
	cached  float64 // cached is the expected number of leading tokens in accelerator memory.
	restore float64 // restore is the expected number of tokens to move over the link.
	kept    int     // kept is the number of leading tokens that the target may restore; 0 to compute instead.
}

func (r *Router) total(t *Target, req *Request, p part) cost {
	var prefill, again float64
	reused := p.cached + p.restore
	if t.PrefillRate > 0 {
		prefill = (float64(req.Tokens) - reused) / t.PrefillRate
		again = max(0, float64(req.Known)-reused) / t.PrefillRate
	}
	var link float64
	if p.restore > 0 {
		link = t.linkSeconds(p.restore)
	}
	wait := r.queueTime(t) + prefill + link
	value := req.Weights.Time*wait + req.Weights.Recompute*again + req.Weights.Link*link
	if !t.Near {
		value += req.Weights.Time * req.Weights.FarZone.Std().Seconds()
	}
	return cost{value: value, decision: Decision{Target: p.target, Wait: wait, Reused: int(reused), Restore: p.kept}}
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
		if h.Target >= len(pool) || r.costs[h.Target].value < 0 {
			continue
		}
		t := &pool[h.Target]
		cached := float64(min(h.Cached, req.Tokens))
		r.improve(h.Target, r.total(t, req, part{target: h.Target, cached: cached}))
		if kept := min(h.Kept, req.Tokens); kept > 0 && !r.opts.NoRestore {
			r.improve(h.Target, r.total(t, req, part{target: h.Target, cached: cached, restore: max(0, float64(kept)-cached), kept: kept}))
		}
	}
}

func (r *Router) improve(i int, c cost) {
	if c.value <= r.costs[i].value {
		r.costs[i] = c
	}
}

// affinity prefers the first in rendezvous rank when nobody is known to hold
// the prompt.
func (r *Router) affinity(pool []Target, req *Request) {
	first := -1
	var rank uint64
	for i := range pool {
		if r.costs[i].value < 0 {
			continue
		}
		if w := Rendezvous(pool[i].Hash, req.Key); first < 0 || w > rank {
			first, rank = i, w
		}
	}
	if first < 0 {
		return
	}
	r.costs[first].decision.First = true
	if r.opts.NoAffinity || pool[first].PrefillRate <= 0 || len(req.Holdings) > 0 && !r.opts.NoHoldings {
		return
	}
	bonus := req.Weights.Time * r.opts.AffinityShare * float64(req.Tokens) / pool[first].PrefillRate
	r.costs[first].value = max(0, r.costs[first].value-bonus)
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
	limit := r.costs[best].value*(1+nearlyEqual) + nearlyEqualSeconds
	a, b, n := best, best, 0
	for i := range r.costs {
		if r.costs[i].value < 0 || r.costs[i].value > limit {
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
