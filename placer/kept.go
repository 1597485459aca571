// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// keptSet guesses what an engine keeps: what was read there, the least recently
// used forgotten first. It is a guess because the engine decides; a wrong one
// costs a transfer or a reading and is never an error.
type keptSet struct {
	parts   map[PartKey]keptPart
	tokens  int
	engine  *target // engine is whose it is.
	keepers keepers // keepers hears of each change.
}

type keptPart struct {
	tokens int
	used   time.Time
}

func (s *keptSet) has(k PartKey) bool {
	_, ok := s.parts[k]
	return ok
}

// put notes that a part was read, and forgets the oldest beyond capacity.
func (s *keptSet) put(now time.Time, k PartKey, tokens, capacity int) {
	if s.parts == nil {
		s.parts = make(map[PartKey]keptPart)
	}
	if p, ok := s.parts[k]; ok {
		s.parts[k] = keptPart{tokens: p.tokens, used: now}
		return
	}
	s.parts[k] = keptPart{tokens: tokens, used: now}
	s.tokens += tokens
	s.keepers.add(k, s.engine)
	for s.tokens > capacity && len(s.parts) > 1 {
		s.dropOldest(k)
	}
}

func (s *keptSet) dropOldest(except PartKey) {
	var oldest PartKey
	var at time.Time
	for k, p := range s.parts {
		if k != except && (at.IsZero() || p.used.Before(at)) {
			oldest, at = k, p.used
		}
	}
	s.drop(oldest)
}

func (s *keptSet) drop(k PartKey) {
	if p, ok := s.parts[k]; ok {
		s.tokens -= p.tokens
		delete(s.parts, k)
		s.keepers.remove(k, s.engine)
	}
}

// leading returns how many of the first parts are kept, and their tokens.
func (s *keptSet) leading(keys []PartKey, parts []Part) (n, tokens int) {
	for i, k := range keys {
		if !s.has(k) {
			break
		}
		n++
		tokens += parts[i].Tokens
	}
	return n, tokens
}
