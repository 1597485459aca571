// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// Limits of the candidates of a choice. All engines of this host's cell are considered, unless
// there are too many, and a few others at random, so that hosts do not all choose the one that was
// idle a moment ago.
const (
	maxFullScan   = 32 // maxFullScan is the pool size up to which all upstreams are candidates.
	remoteSamples = 4  // remoteSamples is the number of candidates drawn from the whole pool.
	// minCellMembers is the cell size from which engines outside the cell count as having stale
	// load.
	minCellMembers = 4

	// maxCellScan is the pool size beyond which members of the cell are sampled too. It bounds the
	// cost of a choice.
	maxCellScan = 256
	// cellSamples is the number of members of the cell that are sampled then; retrySamples more
	// are drawn from the pool if none of the candidates can begin the request.
	cellSamples  = 16
	retrySamples = 64
	// maxCacheHolders bounds the engines added because they cache the longest prefix of the
	// prompt.
	maxCacheHolders = 8
)

// large reports whether only a sample of the upstreams is considered.
func (l *pool) large() bool { return len(l.all) > maxCellScan }

// candidates returns the upstreams to choose from. The slice is valid until the next call.
func (p *Placer) candidates(pl *pool, req *PlacementRequest) []*target {
	if req.Software != nil {
		return p.collectSoftware(pl, req)
	}
	if len(pl.all) <= maxFullScan {
		return p.collectAll(pl.all)
	}
	if pl.large() && len(pl.cell) > cellSamples {
		p.sample(pl.cell, cellSamples)
	} else {
		p.collectAll(pl.cell)
	}
	for range remoteSamples + len(req.Exclude) {
		p.addCandidate(p.targetOf(pl.all[p.rng.IntN(len(pl.all))]))
	}
	if req.Prompt == nil || !p.directReports && len(pl.cell) >= minCellMembers {
		return p.candidateBuf
	}
	prompt := p.lookup(req, p.usualWeights(req.Prompt.Model))
	first, second := pl.ringOwners(sharedKey(prompt.keys))
	p.addCandidate(p.targetOf(first))
	p.addCandidate(p.targetOf(second))
	p.addCandidate(prompt.sources[0].target)
	if pl.large() {
		p.addCacheHolders(req, prompt)
	}
	return p.candidateBuf
}

// collectAll resets the candidates to all members of a list.
func (p *Placer) collectAll(all []*member) []*target {
	p.candidateBuf = p.candidateBuf[:0]
	for _, m := range all {
		p.candidateBuf = append(p.candidateBuf, p.targetOf(m))
	}
	return p.candidateBuf
}

// sample resets the candidates to members of a list drawn at random.
func (p *Placer) sample(from []*member, n int) []*target {
	p.candidateBuf = p.candidateBuf[:0]
	for range min(n, len(from)) {
		p.addCandidate(p.targetOf(from[p.rng.IntN(len(from))]))
	}
	return p.candidateBuf
}

// addCandidate adds a candidate unless it is already there.
func (p *Placer) addCandidate(t *target) {
	if t != nil && !slices.Contains(p.candidateBuf, t) {
		p.candidateBuf = append(p.candidateBuf, t)
	}
}

// addCacheHolders adds engines that cache the longest known prefix of a prompt: the best of them
// may be busy.
func (p *Placer) addCacheHolders(req *PlacementRequest, prompt *versionedPrompt) {
	if prompt.sources[0].parts == 0 {
		return
	}
	holders := p.cacheIndex[prompt.keys[prompt.sources[0].parts-1]]
	from := p.randomIndex(len(holders))
	for i := range min(maxCacheHolders, len(holders)) {
		if t := holders[(from+i)%len(holders)]; t.listed && t.upstream.Service == req.Service {
			p.addCandidate(t)
		}
	}
}
