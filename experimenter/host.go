// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/scheduler"
)

// arrive takes a request of a caller.
func (h *simHost) arrive(t *turn) {
	s := h.sim
	class := s.classes[t.conv.class]
	if s.now >= s.spec.Warm {
		s.requests++
	}
	if s.policy.NoQueue || h.queue.Len() == 0 && h.room(class.Rank) {
		h.dispatch(t)
		return
	}
	it := &scheduler.Item{
		Class: class.Name, ClassWeight: class.Weight, Rank: class.Rank,
		Workspace: t.conv.salt, WorkspaceWeight: 1, Cost: float64(t.tokens + t.answer),
		Latest: s.clock().Add(s.spec.Classes[t.conv.class].Deadline),
	}
	h.waiting[it] = t
	h.queue.Push(it)
	h.drain()
}

// excluded returns the engines that a rank may not use.
func (h *simHost) excluded(rank int) []bool {
	if h.sim.policy.Share {
		return nil
	}
	return router.Reserved(h.pool, configurer.ReservedAbove(h.sim.classes, rank))
}

// room reports whether a request of a rank may start.
func (h *simHost) room(rank int) bool {
	if !h.sim.policy.Share {
		requests, slots := router.OccupancyWithout(h.pool, h.excluded(rank))
		return requests < slots*overcommit
	}
	requests, slots := router.Occupancy(h.pool)
	free := 1.0
	for _, c := range h.sim.classes {
		if c.Rank < rank {
			free -= c.Reserved
		}
	}
	return requests < slots*free*overcommit
}

// drain starts the waiting requests for which there is room and refuses those
// that are late.
func (h *simHost) drain() {
	s := h.sim
	for _, it := range h.queue.Late(s.clock()) {
		if s.now >= s.spec.Warm {
			s.refused++
		}
		delete(h.waiting, it)
	}
	for h.queue.Len() > 0 {
		it := h.queue.Pop(func(it *scheduler.Item) bool { return h.room(it.Rank) })
		if it == nil {
			return
		}
		t := h.waiting[it]
		delete(h.waiting, it)
		h.dispatch(t)
	}
}

// dispatch routes a request and follows it to its end.
func (h *simHost) dispatch(t *turn) {
	s := h.sim
	i, d := h.choose(t)
	e := s.engines[i]
	m := &h.meters[i]
	started := s.now
	tokens := t.tokens - d.Reused
	m.Start(tokens)
	delay := hop
	if e.zone != h.zone {
		delay *= 2
	}
	if e.down { // the connection fails; another attempt follows
		s.after(delay, func() {
			m.Finish(delay)
			h.pool[i].Usable = false
			h.dispatch(t)
		})
		return
	}
	j := &job{turn: t, rank: s.classes[t.conv.class].Rank, restore: d.Restore}
	j.onFirst = func() {
		m.FirstToken(tokens)
		s.served(t, j, s.now+delay-t.at)
		h.placed(t.chain, i, d.First)
	}
	j.onFinish = func() {
		if s.policy.NoAnswers {
			h.keep(t.chain, t, i)
		} else {
			h.placed(t.after, i, d.First)
			h.keep(t.after, t, i)
		}
		m.Finish(s.now - started)
		h.drain()
	}
	s.after(delay, func() { e.submit(j) })
}

// choose returns the engine and the decision that led to it.
func (h *simHost) choose(t *turn) (int, router.Decision) {
	s := h.sim
	if s.policy.Pick != PickRouter {
		i := h.baseline(t)
		return i, router.Decision{Target: i, Restore: h.worthRestoring(t, i), First: true}
	}
	req := router.Request{Key: t.conv.key, Tokens: t.tokens, Weights: s.spec.Weights, Exclude: h.excluded(s.classes[t.conv.class].Rank)}
	if s.policy.Perfect {
		h.truth(t, &req)
	} else {
		h.known(t, &req)
	}
	d, ok := h.router.Route(h.pool, &req)
	if !ok {
		return s.rng.IntN(len(s.engines)), d
	}
	return d.Target, d
}

// known fills in what this host's index knows.
func (h *simHost) known(t *turn, req *router.Request) {
	h.index.Lookup(h.sim.clock(), t.chain, &h.lookup)
	req.Known = h.lookup.Known * keeper.TokensPerBlock
	h.holdings = h.holdings[:0]
	for _, f := range h.lookup.Found {
		h.holdings = append(h.holdings, router.Holding{
			Target: int(f.Upstream), Cached: f.Cached * keeper.TokensPerBlock, Kept: f.Kept * keeper.TokensPerBlock,
		})
	}
	req.Holdings = h.holdings
}

// truth fills in what is, instantly.
func (h *simHost) truth(t *turn, req *router.Request) {
	req.Known = t.known
	h.holdings = h.holdings[:0]
	for i, e := range h.sim.engines {
		h.pool[i].Peers = router.PeerLoad{Fresh: true, Requests: e.running + len(e.waiting) - h.meters[i].InFlight(), Tokens: e.backlog() - h.meters[i].Pending()}
		h.pool[i].Usable = !e.down
		cached, kept := min(e.cachedTokens(t.conv.id), t.tokens), min(e.kept[t.conv.id], t.tokens)
		if cached > 0 || kept > 0 {
			h.holdings = append(h.holdings, router.Holding{Target: i, Cached: cached, Kept: max(cached, kept)})
		}
	}
	req.Holdings = h.holdings
}

// baseline chooses without the router.
func (h *simHost) baseline(t *turn) int {
	s := h.sim
	best := -1
	for n := range h.pool {
		i := n
		if !h.pool[i].Usable {
			continue
		}
		switch s.policy.Pick {
		case PickRandom:
			return h.usable(s.rng.IntN(len(h.pool)))
		case PickRoundRobin:
			s.robin++
			return h.usable(s.robin % len(h.pool))
		case PickLeastLoad:
			if best < 0 || h.occupancy(i) < h.occupancy(best) {
				best = i
			}
		case PickRendezvous:
			if best < 0 || router.Rendezvous(h.pool[i].Hash, t.conv.key) > router.Rendezvous(h.pool[best].Hash, t.conv.key) {
				best = i
			}
		}
	}
	return max(best, 0)
}

// usable returns the first usable engine from i on.
func (h *simHost) usable(i int) int {
	for n := range h.pool {
		if k := (i + n) % len(h.pool); h.pool[k].Usable {
			return k
		}
	}
	return i
}

func (h *simHost) occupancy(i int) float64 {
	requests, _ := router.Occupancy(h.pool[i : i+1])
	return requests
}

// worthRestoring is the engine's own decision for the baselines: to restore
// what its store has if that is faster than to compute it.
func (h *simHost) worthRestoring(t *turn, i int) int {
	s := h.sim
	e := s.engines[i]
	kept := min(e.kept[t.conv.id], t.tokens)
	missing := kept - min(e.cachedTokens(t.conv.id), t.tokens)
	link := max(0, e.linkFree-s.now).Seconds() + float64(missing)*s.spec.TokenBytes/s.spec.LinkRate
	if missing <= 0 || link > float64(missing)/s.spec.Prefill {
		return 0
	}
	return kept
}

// placed tells the index and the other hosts what an engine has computed.
func (h *simHost) placed(chain keeper.Chain, i int, first bool) {
	s := h.sim
	n := chain.Len()
	if n == 0 {
		return
	}
	name := engineName(i)
	h.index.Placed(s.clock(), name, chain)
	if !first && !s.policy.NoGossip {
		s.after(50*time.Millisecond, func() {
			for _, o := range s.hosts {
				if o != h {
					o.index.PlacedEnd(s.clock(), name, chain.At(n-1))
				}
			}
		})
	}
}

// keep tells the store's plan about the end of a turn.
func (h *simHost) keep(chain keeper.Chain, t *turn, i int) {
	s := h.sim
	n := chain.Len()
	if s.policy.NoExport || n == 0 {
		return
	}
	name := engineName(i)
	from := h.index.KeptBlocks(name, chain)
	if from == n {
		return
	}
	tn := keeper.Turn{Upstream: name, From: from, Chance: s.spec.Classes[t.conv.class].Return}
	if from > 0 {
		tn.Parent = chain.Raw(from - 1)
	}
	for b := from; b < n; b++ {
		tn.Blocks = append(tn.Blocks, chain.Raw(b))
	}
	s.convOf[chain.Raw(n-1)] = blockOwner{conv: t.conv.id, tokens: n * keeper.TokensPerBlock}
	s.stores[i].Turn(s.clock(), tn)
}

// served counts an answered request.
func (s *simulation) served(t *turn, j *job, took time.Duration) {
	if t.at < s.spec.Warm {
		return
	}
	s.times[t.conv.class].Add(took)
	whole := t.known / keeper.TokensPerBlock * keeper.TokensPerBlock
	s.before += float64(whole)
	s.again += float64(max(0, whole-j.reused))
	ideal := float64(t.tokens-whole)/s.spec.Prefill + hop.Seconds()
	s.ideal[t.conv.workspace] += ideal / max(took.Seconds(), ideal)
	s.idealCount[t.conv.workspace]++
}
