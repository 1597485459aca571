// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// cacheEstimate is the estimated content of an engine's KV cache: parts that were prefilled there,
// evicted in LRU order. The engine's own eviction may differ; a wrong estimate costs a transfer or
// a prefill but does not affect correctness.
type cacheEstimate struct {
	parts  map[PartKey]cachedPart
	tokens int        // tokens is the memory that the parts take.
	engine *target    // engine is the engine whose cache it is.
	index  cacheIndex // index is updated with each change.
}

type cachedPart struct {
	tokens int
	used   time.Time
}

// blockTokens is the least memory that a part takes in an engine, in tokens: engines keep parts by blocks. It bounds the number of
// parts, whose names and tokens callers choose.
const blockTokens = 16

// memory returns the memory that the part takes, in tokens.
func (p cachedPart) memory() int { return max(p.tokens, blockTokens) }

func (s *cacheEstimate) has(k PartKey) bool {
	_, ok := s.parts[k]
	return ok
}

// put records that a part was prefilled, and evicts the least recently used beyond capacity.
func (s *cacheEstimate) put(now time.Time, k PartKey, tokens, capacity int) {
	if s.parts == nil {
		s.parts = make(map[PartKey]cachedPart)
	}
	if p, ok := s.parts[k]; ok {
		s.parts[k] = cachedPart{tokens: p.tokens, used: now}
		return
	}
	s.parts[k] = cachedPart{tokens: tokens, used: now}
	s.tokens += s.parts[k].memory()
	s.index.add(k, s.engine)
	for s.tokens > capacity && len(s.parts) > 1 {
		s.dropOldest(k)
	}
}

func (s *cacheEstimate) dropOldest(except PartKey) {
	var oldest PartKey
	var at time.Time
	for k, p := range s.parts {
		if k == except {
			continue
		}
		// Of parts used at the same time the one with the least key goes, so that equal seeds give equal runs.
		if at.IsZero() || p.used.Before(at) || p.used.Equal(at) && k < oldest {
			oldest, at = k, p.used
		}
	}
	s.drop(oldest)
}

func (s *cacheEstimate) drop(k PartKey) {
	if p, ok := s.parts[k]; ok {
		s.tokens -= p.memory()
		delete(s.parts, k)
		s.index.remove(k, s.engine)
	}
}

// leading returns the number of leading parts that are cached, and their tokens.
func (s *cacheEstimate) leading(keys []PartKey, parts []Part) (n, tokens int) {
	for i, k := range keys {
		if !s.has(k) {
			break
		}
		n++
		tokens += parts[i].Tokens
	}
	return n, tokens
}
