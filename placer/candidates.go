// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// Figures of the choice among many upstreams. Where hosts are many as well, they
// hear at once what the hosts of their own cell begin, and late and as a sum what the
// others do. Engines that belong to the cell are all looked at; of the others a few drawn at random, so that hosts do not all choose the one that was idle a
// moment ago.
const (
	fewUpstreams = 32 // fewUpstreams is the number up to which all are looked at.
	drawn        = 4  // drawn is the number of far upstreams drawn at random.
	enoughNear   = 4  // enoughNear is the number of near ones from which far ones count as seen badly.
)

// candidates returns the upstreams to choose from; the slice is good until the next call.
func (p *Placer) candidates(ask *Ask) []*target {
	pool := p.pools[ask.Service]
	if len(pool) <= fewUpstreams {
		return pool
	}
	out := append(p.drawn[:0], p.near[ask.Service]...)
	add := func(t *target) {
		if t != nil && !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	for range drawn + len(ask.Exclude) {
		add(pool[p.rng.IntN(len(pool))])
	}
	p.drawn = out
	if ask.Prompt == nil || !p.direct && len(p.near[ask.Service]) >= enoughNear {
		return out
	}
	known := p.under(ask, p.usual(ask.Prompt.Model))
	first, second := homesOf(pool, shared(known.keys))
	add(first)
	add(second)
	add(known.sources[0].target)
	p.drawn = out
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
