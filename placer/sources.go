// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// source is an engine that is believed to cache a prefix of a prompt.
type source struct {
	target *target // target is nil if no engine caches any of it.
	parts  int     // parts is the number of leading parts that it caches.
	tokens int
}

// sources are the two engines that cache the longest prefix of a prompt, the longest first. The
// second is the source if the first runs the request itself.
type sources [2]source

// maxHoldersPerPart bounds how many engines are considered for each part, since short first parts
// may be cached by thousands. The most recent are considered first: they evict the part last.
const maxHoldersPerPart = 64

// findSources finds the engines of a weight version that cache the longest prefixes of a prompt,
// from the deepest part on. Suspect engines are left out, since a fetch from one that does not
// answer is slow.
func (p *Placer) findSources(req *PlacementRequest, weights uint64, keys []PartKey) sources {
	var s sources
	for i := len(keys) - 1; i >= 0 && s[1].parts <= i; i-- {
		holders := p.cacheIndex[keys[i]]
		for _, t := range slices.Backward(holders[max(0, len(holders)-maxHoldersPerPart):]) {
			if !t.listed || t.upstream.Service != req.Service || t.suspect(req.now) ||
				t.upstream.Weights[req.Prompt.Model] != weights || s.has(t) {
				continue
			}
			n, tokens := t.cache.leading(keys, req.Prompt.Parts)
			s.add(source{target: t, parts: n, tokens: tokens})
		}
	}
	return s
}

func (s *sources) has(t *target) bool { return s[0].target == t || s[1].target == t }

func (s *sources) add(c source) {
	switch {
	case c.parts > s[0].parts:
		s[0], s[1] = c, s[0]
	case c.parts > s[1].parts:
		s[1] = c
	}
}

// excluding returns the best source other than the engine t.
func (s *sources) excluding(t *target) source {
	if s[0].target == t {
		return s[1]
	}
	return s[0]
}
