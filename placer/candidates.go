// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// Figures of the choice among many upstreams. Where hosts are many as well, they
// hear of each other's work late and as a sum, and would all choose the one that
// was idle a moment ago. A few drawn at random, and those that a part belongs to,
// keep them apart.
const (
	fewUpstreams = 32 // fewUpstreams is the number up to which all are looked at.
	drawn        = 4  // drawn is the number of upstreams drawn at random.
)

// candidates returns the upstreams to choose from.
func (p *Placer) candidates(ask *Ask) []*target {
	pool := p.pools[ask.Service]
	if len(pool) <= fewUpstreams {
		return pool
	}
	var out []*target
	add := func(t *target) {
		if t != nil && !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	for range drawn + len(ask.Exclude) {
		add(pool[p.rng.IntN(len(pool))])
	}
	if ask.Prompt == nil {
		return out
	}
	known := p.under(ask, p.named[ask.Prompt.Model].Version)
	first, second := homesOf(pool, shared(known.keys))
	add(first)
	add(second)
	add(known.source.target)
	return out
}

// homesOf returns the two upstreams that a part belongs to by rendezvous.
func homesOf(pool []*target, key PartKey) (first, second *target) {
	var most, next uint64
	for _, t := range pool {
		rank := rendezvous(key, t.hash)
		switch {
		case first == nil || rank > most:
			second, next = first, most
			first, most = t, rank
		case second == nil || rank > next:
			second, next = t, rank
		}
	}
	return first, second
}
