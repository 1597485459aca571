// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"

	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/wire"
)

// maxCacheEvents is the number of recent cache events that an engine keeps.
const maxCacheEvents = 4096

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

// sealedEvent returns the event that reports the segment as sealed.
func (k keptSegment) sealedEvent(name string) wire.CacheEvent {
	return wire.CacheEvent{
		Kind: wire.SegmentSealed, Block: name, Generation: k.generation,
		Blocks: len(k.blocks), From: k.from, Parent: k.parent,
	}
}

// cache is an engine's prefix cache in accelerator memory and its store of
// kept segments. A segment is a run of blocks named by its last block.
type cache struct {
	capacity int

	mu           sync.Mutex
	blocks       map[string]*list.Element
	lru          *list.List // block names, the most recently used first
	kept         map[string]keptSegment
	nextGen      uint64
	badReadCount int
	events       []wire.CacheEvent
	sequence     uint64
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity, blocks: make(map[string]*list.Element),
		lru: list.New(), kept: make(map[string]keptSegment),
	}
}

type cacheAccess struct {
	hitBlocks      int // leading blocks found in accelerator memory
	restoredBlocks int // blocks after them that kept segments supply
}

// access looks up a prompt's blocks in accelerator memory and in the given
// kept segments, and caches all of them.
func (c *cache) access(chain indexer.Chain, restore []wire.SegmentRef) cacheAccess {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, chain.Len())
	for i := range names {
		names[i] = chain.Wire(i)
	}
	var u cacheAccess
	for u.hitBlocks < len(names) && c.blocks[names[u.hitBlocks]] != nil {
		u.hitBlocks++
	}
	u.restoredBlocks = c.restorable(names, u.hitBlocks, restore)
	for i := len(names) - 1; i >= 0; i-- { // later blocks are evicted before earlier ones
		c.touch(names[i])
	}
	c.evict()
	return u
}

// restorable returns how many blocks after the first hit ones the segments
// supply. It counts a reference to a segment that is freed, not sealed or of
// another generation as a bad read.
func (c *cache) restorable(names []string, hit int, refs []wire.SegmentRef) int {
	end := hit
	for _, r := range refs {
		k, found := c.kept[r.Name]
		if !found || k.generation != r.Generation || k.state != keptSealed {
			c.badReadCount++
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
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[name] = c.lru.PushFront(name)
	c.emit(wire.CacheEvent{Kind: wire.BlockCached, Block: name})
}

func (c *cache) evict() {
	for len(c.blocks) > c.capacity {
		last := c.lru.Back()
		old := last.Value.(string)
		c.lru.Remove(last)
		delete(c.blocks, old)
		c.emit(wire.CacheEvent{Kind: wire.BlockEvicted, Block: old})
	}
}

func (c *cache) emit(e wire.CacheEvent) {
	c.sequence++
	e.Sequence = c.sequence
	c.events = append(c.events, e)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// export starts to copy a run of cached blocks to the store as one segment and
// returns its name. It returns "" if a block is not cached or the segment
// exists already.
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
	c.kept[name] = keptSegment{
		generation: c.nextGen, state: keptWriting, blocks: blocks, from: ord.From, parent: ord.Parent,
	}
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
	c.emit(k.sealedEvent(name))
}

// free deletes kept segments, except those of another generation.
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

// importSegments copies kept segments into accelerator memory.
func (c *cache) importSegments(refs []wire.SegmentRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range refs {
		k := c.kept[r.Name]
		if k.generation != r.Generation || k.state != keptSealed {
			c.badReadCount++
			return
		}
		for i := len(k.blocks) - 1; i >= 0; i-- {
			c.touch(k.blocks[i])
		}
	}
	c.evict()
}

// importSize returns the number of blocks of kept segments.
func (c *cache) importSize(refs []wire.SegmentRef) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, r := range refs {
		n += len(c.kept[r.Name].blocks)
	}
	return n
}

// clear empties the accelerator memory, as a change of weights does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = make(map[string]*list.Element)
	c.lru.Init()
	c.emit(wire.CacheEvent{Kind: wire.CacheCleared})
}

func (c *cache) badReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.badReadCount
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
		a := wire.StoredSegments{Incarnation: incarnation, Next: c.sequence + 1}
		for name, k := range c.kept {
			if k.state == keptSealed {
				a.Segments = append(a.Segments, k.sealedEvent(name))
			}
		}
		c.mu.Unlock()
		writeJSON(w, a)
	}
}
