// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/scheduler"
)

// arrive dispatches or queues a request.
func (h *simHost) arrive(t *turn) {
	s := h.sim
	class := s.classes[t.conv.class]
	if s.now >= s.spec.WarmUp {
		s.requests++
	}
	if s.policy.NoQueue || h.queue.Len() == 0 && h.hasRoom(class.Rank) {
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

// excluded reports for each engine whether it is reserved for higher ranks.
func (h *simHost) excluded(rank int) []bool {
	if h.sim.policy.SharedSlots {
		return nil
	}
	return router.Reserved(h.targets, configurer.ReservedAbove(h.sim.classes, rank))
}

// hasRoom reports whether a request of a rank may start.
func (h *simHost) hasRoom(rank int) bool {
	if !h.sim.policy.SharedSlots {
		requests, slots := router.OccupancyWithout(h.targets, h.excluded(rank))
		return requests < slots*slotOvercommit
	}
	requests, slots := router.Occupancy(h.targets)
	free := 1.0
	for _, c := range h.sim.classes {
		if c.Rank < rank {
			free -= c.Reserved
		}
	}
	return requests < slots*free*slotOvercommit
}

// drain starts queued requests while there is room and refuses those past their
// deadline.
func (h *simHost) drain() {
	s := h.sim
	for _, it := range h.queue.RemoveLate(s.clock()) {
		if s.now >= s.spec.WarmUp {
			s.refused++
		}
		delete(h.waiting, it)
	}
	for h.queue.Len() > 0 {
		it := h.queue.Pop(func(it *scheduler.Item) bool { return h.hasRoom(it.Rank) })
		if it == nil {
			return
		}
		t := h.waiting[it]
		delete(h.waiting, it)
		h.dispatch(t)
	}
}

// dispatch routes a request and submits it to an engine.
func (h *simHost) dispatch(t *turn) {
	s := h.sim
	i, d := h.choose(t)
	e := s.engines[i]
	m := &h.meters[i]
	started := s.now
	tokens := t.tokens - d.Reused
	m.Start(tokens)
	delay := hopLatency
	if e.zone != h.zone {
		delay *= 2
	}
	if e.down { // the connection fails; retry
		s.after(delay, func() {
			m.Finish(delay)
			h.targets[i].Usable = false
			h.dispatch(t)
		})
		return
	}
	j := &job{turn: t, rank: s.classes[t.conv.class].Rank, restore: d.Restore}
	j.onFirst = func() {
		m.FirstToken(tokens)
		s.recordServed(t, j, s.now+delay-t.at)
		h.recordPlacement(t.chain, i, d.First)
	}
	j.onFinish = func() {
		if s.policy.NoAnswers {
			h.recordTurn(t.chain, t, i)
		} else {
			h.recordPlacement(t.after, i, d.First)
			h.recordTurn(t.after, t, i)
		}
		m.Finish(s.now - started)
		h.drain()
	}
	s.after(delay, func() { e.submit(j) })
}

// choose returns the index of an engine and the routing decision.
func (h *simHost) choose(t *turn) (int, router.Decision) {
	s := h.sim
	if s.policy.Baseline != BaselineNone {
		i := h.baseline(t)
		return i, router.Decision{Target: i, Restore: h.restoreTokens(t, i), First: true}
	}
	req := router.Request{
		Key: t.conv.key, Tokens: t.tokens, Weights: s.spec.Weights,
		Exclude: h.excluded(s.classes[t.conv.class].Rank),
	}
	if s.policy.Perfect {
		h.fillExact(t, &req)
	} else {
		h.fillFromIndex(t, &req)
	}
	d, ok := h.router.Route(h.targets, &req)
	if !ok {
		return s.rng.IntN(len(s.engines)), d
	}
	return d.Target, d
}

// fillFromIndex fills in the holdings that this host's index knows.
func (h *simHost) fillFromIndex(t *turn, req *router.Request) {
	h.index.Lookup(h.sim.clock(), t.chain, &h.lookup)
	req.Known = h.lookup.Known * indexer.TokensPerBlock
	h.holdings = h.holdings[:0]
	for _, f := range h.lookup.Matches {
		h.holdings = append(h.holdings, router.Holding{
			Target: int(f.Upstream), Cached: f.Cached * indexer.TokensPerBlock, Kept: f.Kept * indexer.TokensPerBlock,
		})
	}
	req.Holdings = h.holdings
}

// fillExact fills in the exact holdings and loads of all engines.
func (h *simHost) fillExact(t *turn, req *router.Request) {
	req.Known = t.repeated
	h.holdings = h.holdings[:0]
	for i, e := range h.sim.engines {
		h.targets[i].Peers = router.PeerLoad{
			Fresh:    true,
			Requests: e.running + len(e.waiting) - h.meters[i].InFlight(),
			Tokens:   e.pendingTokens() - h.meters[i].Pending(),
		}
		h.targets[i].Usable = !e.down
		cached, kept := min(e.cachedTokens(t.conv.id), t.tokens), min(e.storedTokens[t.conv.id], t.tokens)
		if cached > 0 || kept > 0 {
			h.holdings = append(h.holdings, router.Holding{Target: i, Cached: cached, Kept: max(cached, kept)})
		}
	}
	req.Holdings = h.holdings
}

// baseline chooses an engine with the policy's baseline.
func (h *simHost) baseline(t *turn) int {
	s := h.sim
	best := -1
	for n := range h.targets {
		i := n
		if !h.targets[i].Usable {
			continue
		}
		switch s.policy.Baseline {
		case BaselineRandom:
			return h.nextUsable(s.rng.IntN(len(h.targets)))
		case BaselineRoundRobin:
			s.roundRobin++
			return h.nextUsable(s.roundRobin % len(h.targets))
		case BaselineLeastLoad:
			if best < 0 || h.occupancy(i) < h.occupancy(best) {
				best = i
			}
		case BaselineRendezvous:
			if best < 0 ||
				router.Rendezvous(h.targets[i].Hash, t.conv.key) > router.Rendezvous(h.targets[best].Hash, t.conv.key) {
				best = i
			}
		}
	}
	return max(best, 0)
}

// nextUsable returns the first usable engine from i on, cyclically, or i if
// there is none.
func (h *simHost) nextUsable(i int) int {
	for n := range h.targets {
		if k := (i + n) % len(h.targets); h.targets[k].Usable {
			return k
		}
	}
	return i
}

func (h *simHost) occupancy(i int) float64 {
	requests, _ := router.Occupancy(h.targets[i : i+1])
	return requests
}

// restoreTokens returns the number of leading tokens that a baseline's engine
// restores from its store: all of them if that is faster than prefill, or 0.
func (h *simHost) restoreTokens(t *turn, i int) int {
	s := h.sim
	e := s.engines[i]
	kept := min(e.storedTokens[t.conv.id], t.tokens)
	missing := kept - min(e.cachedTokens(t.conv.id), t.tokens)
	link := max(0, e.linkFree-s.now).Seconds() + float64(missing)*s.spec.BytesPerToken/s.spec.LinkRate
	if missing <= 0 || link > float64(missing)/s.spec.PrefillRate {
		return 0
	}
	return kept
}

// recordPlacement adds the blocks that an engine has computed to the index, and
// to the indexes of the other hosts if they cannot derive the placement from the
// key.
func (h *simHost) recordPlacement(chain indexer.Chain, i int, first bool) {
	s := h.sim
	n := chain.Len()
	if n == 0 {
		return
	}
	name := engineName(i)
	h.index.AddPlacement(s.clock(), name, chain)
	if !first && !s.policy.NoGossip {
		s.after(50*time.Millisecond, func() {
			for _, o := range s.hosts {
				if o != h {
					o.index.AddPlacementEnd(s.clock(), name, chain.At(n-1))
				}
			}
		})
	}
}

// recordTurn reports the end of a turn to the store's plan.
func (h *simHost) recordTurn(chain indexer.Chain, t *turn, i int) {
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
	tn := indexer.Turn{Upstream: name, From: from, Chance: s.spec.Classes[t.conv.class].ReturnProbability}
	if from > 0 {
		tn.Parent = chain.Raw(from - 1)
	}
	for b := from; b < n; b++ {
		tn.Blocks = append(tn.Blocks, chain.Raw(b))
	}
	s.blockOwners[chain.Raw(n-1)] = blockOwner{conv: t.conv.id, tokens: n * indexer.TokensPerBlock}
	s.stores[i].QueueTurn(s.clock(), tn)
}

// recordServed adds an answered request to the results.
func (s *simulation) recordServed(t *turn, j *job, took time.Duration) {
	if t.at < s.spec.WarmUp {
		return
	}
	s.times[t.conv.class].Add(took)
	whole := t.repeated / indexer.TokensPerBlock * indexer.TokensPerBlock
	s.repeatedTokens += float64(whole)
	s.recomputedTokens += float64(max(0, whole-j.reused))
	ideal := float64(t.tokens-whole)/s.spec.PrefillRate + hopLatency.Seconds()
	s.idealRatios[t.conv.workspace] += ideal / max(took.Seconds(), ideal)
	s.idealRatioCounts[t.conv.workspace]++
}
