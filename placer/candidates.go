// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// Figures of the choice among many upstreams. Where hosts are many as well, they
// hear at once what the hosts of their own cell begin, and late and as a sum what the
// others do. Engines that belong to the cell are all looked at, as long as these are not too many;
// of the others a few drawn at random, so that hosts do not all choose the one that was idle a
// moment ago.
const (
	fewUpstreams = 32 // fewUpstreams is the number up to which all are looked at.
	drawn        = 4  // drawn is the number of far upstreams drawn at random.
	enoughNear   = 4  // enoughNear is the number of near ones from which far ones count as seen badly.

	// mostUpstreams is the number beyond which near ones are drawn as well: what a choice costs
	// does not grow any more. All of 9,695 took 2.1 ms, a sixth of a small host's second for 15
	// requests.
	mostUpstreams = 256
	// drawnNear is the number of near ones that are drawn then. Where nine in ten engines are
	// full, 16 hold a free one five times in six; drawnAgain more are drawn where they do not.
	drawnNear  = 16
	drawnAgain = 64
	// fewKeepers is the number of engines that are looked at then because they keep the longest
	// beginning of the prompt that any does.
	fewKeepers = 8
)

// large tells that only some of the upstreams are looked at.
func (l *pool) large() bool { return len(l.all) > mostUpstreams }

// candidates returns the upstreams to choose from; the slice is good until the next call.
func (p *Placer) candidates(in *pool, ask *Ask) []*target {
	if len(in.all) <= fewUpstreams {
		return p.these(in.all)
	}
	if in.large() && len(in.near) > drawnNear {
		p.draw(in.near, drawnNear)
	} else {
		p.these(in.near)
	}
	for range drawn + len(ask.Exclude) {
		p.add(p.look(in.all[p.rng.IntN(len(in.all))]))
	}
	if ask.Prompt == nil || !p.direct && len(in.near) >= enoughNear {
		return p.drawn
	}
	known := p.under(ask, p.usual(ask.Prompt.Model))
	first, second := in.homes(shared(known.keys))
	p.add(p.look(first))
	p.add(p.look(second))
	p.add(known.sources[0].target)
	if in.large() {
		p.addKeepers(ask, known)
	}
	return p.drawn
}

// these begins another list of candidates with all of a list.
func (p *Placer) these(all []*member) []*target {
	p.drawn = p.drawn[:0]
	for _, s := range all {
		p.drawn = append(p.drawn, p.look(s))
	}
	return p.drawn
}

// draw begins another list of candidates with some of a list, drawn at random.
func (p *Placer) draw(from []*member, n int) []*target {
	p.drawn = p.drawn[:0]
	for range min(n, len(from)) {
		p.add(p.look(from[p.rng.IntN(len(from))]))
	}
	return p.drawn
}

// add adds a candidate, once.
func (p *Placer) add(t *target) {
	if t != nil && !slices.Contains(p.drawn, t) {
		p.drawn = append(p.drawn, t)
	}
}

// addKeepers adds engines that keep as much of a prompt as any does: the first of them may be busy.
func (p *Placer) addKeepers(ask *Ask, known *chained) {
	if known.sources[0].parts == 0 {
		return
	}
	of := p.keepers[known.keys[known.sources[0].parts-1]]
	from := p.anywhere(len(of))
	for i := range min(fewKeepers, len(of)) {
		if t := of[(from+i)%len(of)]; t.listed && t.upstream.Service == ask.Service {
			p.add(t)
		}
	}
}
