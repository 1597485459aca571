// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/server"
)

// cacheIndex estimates which prompts are cached where. It implements
// server.CacheIndex and is safe for concurrent use.
type cacheIndex struct {
	post func(controller.Event)

	mu            sync.Mutex
	index         *indexer.Index
	lookup        indexer.Lookup
	continuations map[string]*continuationCount // continuations is keyed by workspace.
}

// continuationCount estimates how often a workspace's conversations continue.
type continuationCount struct {
	turns     float64
	continued float64
}

// continuationDecay is the factor by which each turn discounts earlier ones.
const continuationDecay = 0.999

func newCacheIndex(post func(controller.Event)) *cacheIndex {
	return &cacheIndex{post: post, index: indexer.NewIndex(indexer.IndexOptions{}), continuations: make(map[string]*continuationCount)}
}

// Lookup implements server.CacheIndex.
func (c *cacheIndex) Lookup(now time.Time, workspace string, pool *publisher.Pool, chain indexer.Chain, req *router.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index.Lookup(now, chain, &c.lookup)
	req.Known = c.lookup.Known * indexer.TokensPerBlock
	c.countTurn(workspace, c.lookup.Known > 0)
	if len(c.lookup.Matches) == 0 {
		return
	}
	for i := range pool.Targets {
		id := c.index.ID(pool.Targets[i].Name)
		for _, f := range c.lookup.Matches {
			if f.Upstream == id {
				req.Holdings = append(req.Holdings, router.Holding{
					Target: i,
					Cached: f.Cached * indexer.TokensPerBlock,
					Kept:   f.Kept * indexer.TokensPerBlock,
				})
			}
		}
	}
}

func (c *cacheIndex) countTurn(workspace string, returned bool) {
	counts := c.continuations[workspace]
	if counts == nil {
		counts = &continuationCount{turns: 2, continued: 1} // a prior of one half
		c.continuations[workspace] = counts
	}
	counts.turns = counts.turns*continuationDecay + 1
	counts.continued *= continuationDecay
	if returned {
		counts.continued++
	}
}

// Segments implements server.CacheIndex.
func (c *cacheIndex) Segments(now time.Time, upstream string, chain indexer.Chain, tokens int) []wire.SegmentRef {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []wire.SegmentRef
	for _, r := range c.index.Segments(now, upstream, chain, tokens/indexer.TokensPerBlock) {
		out = append(out, wire.SegmentRef{Name: indexer.WireName(r.Wire), Generation: r.Generation})
	}
	return out
}

// RecordPlacement implements server.CacheIndex.
func (c *cacheIndex) RecordPlacement(now time.Time, p server.Placement) {
	n := p.Chain.Len()
	if n == 0 {
		return
	}
	c.mu.Lock()
	c.index.AddPlacement(now, p.Upstream, p.Chain)
	from := c.index.KeptBlocks(p.Upstream, p.Chain)
	chance := 0.5
	if counts := c.continuations[p.Workspace]; counts != nil {
		chance = counts.continued / counts.turns
	}
	c.mu.Unlock()
	if p.NotPreferred {
		c.post(controller.PlacementMade{Placement: messenger.Placement{Upstream: p.Upstream, End: p.Chain.At(n - 1)}})
	}
	if from == n {
		return
	}
	t := indexer.Turn{Upstream: p.Upstream, From: from, Chance: chance}
	if from > 0 {
		t.Parent = p.Chain.Raw(from - 1)
	}
	for i := from; i < n; i++ {
		t.Blocks = append(t.Blocks, p.Chain.Raw(i))
	}
	c.post(controller.TurnEnded{Turn: t})
}

func (c *cacheIndex) applyChanges(a controller.CacheChanged) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Full {
		c.index.ClearKept(a.Upstream)
	}
	for _, change := range a.Changes {
		change.Kept.Upstream = a.Upstream
		if change.Removed {
			c.index.RemoveKept(a.Upstream, change.Kept.Wire)
		} else {
			c.index.SetKept(change.Kept)
		}
	}
	c.index.ExtendLease(a.Upstream, a.Until)
}

func (c *cacheIndex) addPlacements(now time.Time, list []messenger.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range list {
		c.index.AddPlacementEnd(now, p.Upstream, p.End)
	}
}

func (c *cacheIndex) reset(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index.Reset(upstream)
}

func (c *cacheIndex) size() (hot, kept int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.index.Len()
}
