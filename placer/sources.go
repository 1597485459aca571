// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// source is an engine that is believed to keep the beginning of a prompt.
type source struct {
	target *target // target is nil if no engine keeps any of it.
	parts  int     // parts is the number of leading parts that it keeps.
	tokens int
}

// sources are the two engines that keep the longest beginning of a prompt, the longest
// first: the second serves where the first itself is to run it.
type sources [2]source

// mostKeepers bounds how many engines are looked at for each part. Short first parts, which many
// prompts begin with, are kept by thousands of engines: any of them does as a source. Those that
// were the last to read a part come first: they are the last to drop it.
const mostKeepers = 64

// sources finds the engines of a weight version that keep the most of a prompt, from the deepest
// part on. One that does not answer is none: asking it costs the engine some hundred milliseconds.
func (p *Placer) sources(ask *Ask, weights uint64, keys []PartKey) sources {
	var s sources
	for i := len(keys) - 1; i >= 0 && s[1].parts <= i; i-- {
		of := p.keepers[keys[i]]
		for _, t := range slices.Backward(of[max(0, len(of)-mostKeepers):]) {
			if !t.listed || t.upstream.Service != ask.Service || t.suspect(ask.now) ||
				t.upstream.Weights[ask.Prompt.Model] != weights || s.has(t) {
				continue
			}
			n, tokens := t.kept.leading(keys, ask.Prompt.Parts)
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

// but returns the best source for an engine, which is another one.
func (s *sources) but(t *target) source {
	if s[0].target == t {
		return s[1]
	}
	return s[0]
}
