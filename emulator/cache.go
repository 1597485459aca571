// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"

	"amaranthgate.example/amaranthgate/internal/wire"
	"amaranthgate.example/amaranthgate/keeper"
)

// maxEvents is the number of cache events that an engine remembers.
const maxEvents = 4096

type keptState string

const (
	keptWriting keptState = "Writing"
	keptSealed  keptState = "Sealed"
)

type keptSegment struct {
	generation uint64
	state      keptState
	blocks     []string
	from       int
	parent     string
}

// event returns what is said of a segment.
func (k keptSegment) event(name string) wire.CacheEvent {
	return wire.CacheEvent{Kind: wire.SegmentSealed, Block: name, Generation: k.generation, Blocks: len(k.blocks), From: k.from, Parent: k.parent}
}

// cache is an engine's prefix cache in accelerator memory and its store of
// kept segments.
type cache struct {
	size int

	mu       sync.Mutex
	blocks   map[string]*list.Element
	order    *list.List // order has the most recently used block first.
	kept     map[string]keptSegment
	nextGen  uint64
	bad      int
	events   []wire.CacheEvent
	sequence uint64
}

func newCache(size int) *cache {
	return &cache{size: size, blocks: make(map[string]*list.Element), order: list.New(), kept: make(map[string]keptSegment)}
}

type cacheUse struct {
	hit      int // hit is the number of leading blocks in accelerator memory.
	restored int // restored is the number of blocks imported after them.
}

// use looks up a prompt's blocks, imports kept segments and caches the rest.
func (c *cache) use(chain keeper.Chain, restore []wire.SegmentRef) cacheUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, chain.Len())
	for i := range names {
		names[i] = chain.Wire(i)
	}
	var u cacheUse
	for u.hit < len(names) && c.blocks[names[u.hit]] != nil {
		u.hit++
	}
	u.restored = c.restore(names, u.hit, restore)
	for i := len(names) - 1; i >= 0; i-- { // tails are the first to be evicted
		c.touch(names[i])
	}
	c.shrink()
	return u
}

// restore returns how many blocks beyond the first hit ones the segments
// bring. A reference to a segment that is freed, unsealed or of another
// generation is a bad read.
func (c *cache) restore(names []string, hit int, refs []wire.SegmentRef) int {
	end := hit
	for _, r := range refs {
		k, found := c.kept[r.Name]
		if !found || k.generation != r.Generation || k.state != keptSealed {
			c.bad++
			break
		}
		for i := end; i < len(names); i++ {
			if names[i] == r.Name {
				end = i + 1
				break
			}
		}
	}
	return end - hit
}

func (c *cache) touch(name string) {
	if e := c.blocks[name]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[name] = c.order.PushFront(name)
	c.emit(wire.CacheEvent{Kind: wire.BlockCached, Block: name})
}

func (c *cache) shrink() {
	for len(c.blocks) > c.size {
		last := c.order.Back()
		old := last.Value.(string)
		c.order.Remove(last)
		delete(c.blocks, old)
		c.emit(wire.CacheEvent{Kind: wire.BlockEvicted, Block: old})
	}
}

func (c *cache) emit(e wire.CacheEvent) {
	c.sequence++
	e.Sequence = c.sequence
	c.events = append(c.events, e)
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// export starts to copy a run of cached blocks to the store as one segment,
// named by its last block, and returns that name. It returns "" when a block
// is not cached or the segment is kept already.
func (c *cache) export(ord wire.Order) string {
	blocks := ord.Blocks
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(blocks) == 0 {
		return ""
	}
	for _, b := range blocks {
		if c.blocks[b] == nil {
			return ""
		}
	}
	name := blocks[len(blocks)-1]
	if _, ok := c.kept[name]; ok {
		return ""
	}
	c.nextGen++
	c.kept[name] = keptSegment{generation: c.nextGen, state: keptWriting, blocks: blocks, from: ord.From, parent: ord.Parent}
	return name
}

func (c *cache) seal(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, ok := c.kept[name]
	if !ok {
		return
	}
	k.state = keptSealed
	c.kept[name] = k
	c.emit(k.event(name))
}

// free drops kept segments of the generations named.
func (c *cache) free(refs []wire.SegmentRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range refs {
		if k, ok := c.kept[r.Name]; ok && k.generation == r.Generation {
			delete(c.kept, r.Name)
			c.emit(wire.CacheEvent{Kind: wire.SegmentFreed, Block: r.Name, Generation: r.Generation})
		}
	}
}

// load copies kept segments back into accelerator memory.
func (c *cache) load(refs []wire.SegmentRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range refs {
		k := c.kept[r.Name]
		if k.generation != r.Generation || k.state != keptSealed {
			c.bad++
			return
		}
		for i := len(k.blocks) - 1; i >= 0; i-- {
			c.touch(k.blocks[i])
		}
	}
	c.shrink()
}

// loadSize returns the number of blocks that an order to import moves.
func (c *cache) loadSize(refs []wire.SegmentRef) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range refs {
		n += len(c.kept[r.Name].blocks)
	}
	return n
}

// clear empties the accelerator memory, as a swap of weights does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = make(map[string]*list.Element)
	c.order.Init()
	c.emit(wire.CacheEvent{Kind: wire.CacheCleared})
}

func (c *cache) badReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bad
}

func (c *cache) serveEvents(incarnation uint64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
		if err != nil {
			http.Error(w, "bad sequence", http.StatusBadRequest)
			return
		}
		c.mu.Lock()
		a := wire.CacheEvents{Incarnation: incarnation, Next: c.sequence + 1}
		for _, e := range c.events {
			if e.Sequence >= from {
				a.Events = append(a.Events, e)
			}
		}
		c.mu.Unlock()
		writeJSON(w, a)
	}
}

func (c *cache) serveSegments(incarnation uint64) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		a := wire.KeptSegments{Incarnation: incarnation, Next: c.sequence + 1}
		for name, k := range c.kept {
			if k.state == keptSealed {
				a.Segments = append(a.Segments, k.event(name))
			}
		}
		c.mu.Unlock()
		writeJSON(w, a)
	}
}
