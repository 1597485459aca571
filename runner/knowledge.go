// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/server"
)

// knowledge is what this host knows of kept context. It implements
// server.Keeper and is safe for concurrent use.
type knowledge struct {
	post func(controller.Event)

	mu      sync.Mutex
	index   *keeper.Index
	lookup  keeper.Lookup
	returns map[string]*returnCount // returns is by workspace.
}

// returnCount measures how often a workspace's conversations go on.
type returnCount struct {
	turns   float64
	returns float64
}

// returnFading is the weight that older turns keep at each new one.
const returnFading = 0.999

func newKnowledge(post func(controller.Event)) *knowledge {
	return &knowledge{post: post, index: keeper.NewIndex(keeper.IndexOptions{}), returns: make(map[string]*returnCount)}
}

// Lookup implements server.Keeper.
func (k *knowledge) Lookup(now time.Time, workspace string, pool *publisher.Pool, chain keeper.Chain, req *router.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index.Lookup(now, chain, &k.lookup)
	req.Known = k.lookup.Known * keeper.TokensPerBlock
	k.count(workspace, k.lookup.Known > 0)
	if len(k.lookup.Found) == 0 {
		return
	}
	for i := range pool.Targets {
		id := k.index.ID(pool.Targets[i].Name)
		for _, f := range k.lookup.Found {
			if f.Upstream == id {
				req.Holdings = append(req.Holdings, router.Holding{
					Target: i,
					Cached: f.Cached * keeper.TokensPerBlock,
					Kept:   f.Kept * keeper.TokensPerBlock,
				})
			}
		}
	}
}

func (k *knowledge) count(workspace string, returned bool) {
	c := k.returns[workspace]
	if c == nil {
		c = &returnCount{turns: 2, returns: 1} // as likely as not before anything is known
		k.returns[workspace] = c
	}
	c.turns = c.turns*returnFading + 1
	c.returns *= returnFading
	if returned {
		c.returns++
	}
}

// Segments implements server.Keeper.
func (k *knowledge) Segments(now time.Time, upstream string, chain keeper.Chain, tokens int) []wire.SegmentRef {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []wire.SegmentRef
	for _, r := range k.index.Segments(now, upstream, chain, tokens/keeper.TokensPerBlock) {
		out = append(out, wire.SegmentRef{Name: keeper.WireName(r.Wire), Generation: r.Generation})
	}
	return out
}

// RecordPlacement implements server.Keeper.
func (k *knowledge) RecordPlacement(now time.Time, p server.Placement) {
	n := p.Chain.Len()
	if n == 0 {
		return
	}
	k.mu.Lock()
	k.index.Placed(now, p.Upstream, p.Chain)
	from := k.index.KeptBlocks(p.Upstream, p.Chain)
	chance := 0.5
	if c := k.returns[p.Workspace]; c != nil {
		chance = c.returns / c.turns
	}
	k.mu.Unlock()
	if p.NotPreferred {
		k.post(controller.PlacementMade{Placement: messenger.Placement{Upstream: p.Upstream, End: p.Chain.At(n - 1)}})
	}
	if from == n {
		return
	}
	t := keeper.Turn{Upstream: p.Upstream, From: from, Chance: chance}
	if from > 0 {
		t.Parent = p.Chain.Raw(from - 1)
	}
	for i := from; i < n; i++ {
		t.Blocks = append(t.Blocks, p.Chain.Raw(i))
	}
	k.post(controller.TurnEnded{Turn: t})
}

func (k *knowledge) keptChanged(a controller.CacheChanged) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.Full {
		k.index.ClearKept(a.Upstream)
	}
	for _, c := range a.Changes {
		c.Kept.Upstream = a.Upstream
		if c.Removed {
			k.index.RemoveKept(a.Upstream, c.Kept.Wire)
		} else {
			k.index.SetKept(c.Kept)
		}
	}
	k.index.Refresh(a.Upstream, a.Until)
}

func (k *knowledge) learned(now time.Time, list []messenger.Placement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range list {
		k.index.PlacedEnd(now, p.Upstream, p.End)
	}
}

func (k *knowledge) restarted(upstream string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index.Reset(upstream)
}

func (k *knowledge) size() (hot, kept int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.index.Len()
}
