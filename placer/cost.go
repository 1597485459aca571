// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"time"

	"amaranthgate.example/amaranthgate/updater"
)

// Parameters of the cost estimate. Rates are assumed to be the same for all engines of a service;
// only the order of the estimates matters.
const (
	// prefillTokensPerMilli is the prefill rate, in tokens a millisecond.
	prefillTokensPerMilli = 42.0
	// crossZonePenalty is the cost of traffic between availability zones.
	crossZonePenalty = 4 * time.Millisecond
	// staleLoadPenalty stands for work of other cells that has not been reported yet. Without it
	// one short request in three met a long prompt of 100 to 300 ms.
	staleLoadPenalty = 60 * time.Millisecond
	// affinityBonus makes hosts without knowledge of a prompt prefer the same engines.
	affinityBonus    = 30 * time.Millisecond
	failurePenalty   = 300 * time.Millisecond // failurePenalty is multiplied by the failure rate.
	transferOverhead = 3 * time.Millisecond   // transferOverhead is the fixed time of any transfer.
	runningPenalty   = 2 * time.Millisecond   // runningPenalty is the slowdown by each running request.
	// weightLoadPenalty is the time of a weight load, which the request may have to wait for.
	weightLoadPenalty = 600 * time.Millisecond
)

// lookup returns the prompt under a weight version. Its cache locations are looked up again in each round, and its keys
// are computed again if its salt has changed, as it does with the set of isolated workspaces.
func (p *Placer) lookup(req *PlacementRequest, weights uint64) *versionedPrompt {
	v := req.version(weights)
	if v.round == req.round {
		return v
	}
	v.round = req.round
	if salt := req.SaltOf(weights); salt != v.salt || v.keys == nil {
		v.salt, v.keys = salt, keysOf(v.keyBuf[:0], salt, req.Prompt.Parts)
	}
	v.sources = p.findSources(req, weights, v.keys)
	v.stores, v.stale = v.stores[:0], false
	if p.storesUsable(req.now, req.Prompt.Model, weights) {
		p.findStores(req.now, v, req.Prompt.Parts)
	}
	return v
}

// version returns the prompt's entry for a weight version.
func (a *PlacementRequest) version(weights uint64) *versionedPrompt {
	for i := range a.versions {
		if a.versions[i].weights == weights {
			return &a.versions[i]
		}
	}
	if a.versions == nil {
		a.versions = a.versionBuf[:0]
	}
	a.versions = append(a.versions, versionedPrompt{weights: weights})
	return &a.versions[len(a.versions)-1]
}

// findStores finds the stores that hold the leading parts of a prompt.
func (p *Placer) findStores(now time.Time, v *versionedPrompt, parts []Part) {
	for _, part := range parts[:len(parts)-1] {
		st, stale := p.holder(now, PartName{Salt: v.salt, ID: part.ID})
		if st == nil {
			v.stale = stale
			return
		}
		v.stores = append(v.stores, st)
	}
}

// cost estimates the time to the first token, or to a slot, with penalties.
func (p *Placer) cost(now time.Time, t *target, req *PlacementRequest) time.Duration {
	p.assess(now, t)
	work := t.workWith(t.hidden)
	cost := time.Duration(t.failureRate * float64(failurePenalty))
	if !t.sameZone {
		cost += crossZonePenalty
	}
	if p.cold(now, t) {
		cost += coldPenalty
	}
	if t.engine == nil || req.Prompt == nil {
		return cost + slotWait(t, work)
	}
	if p.staleLoad(t) {
		cost += staleLoadPenalty
	}
	if t.phase == updater.PhaseNext {
		cost += weightLoadPenalty
	}
	weights := t.upstream.Weights[req.Prompt.Model]
	if weights < p.named[req.Prompt.Model].Version {
		cost += weightsPenalty(now.Sub(p.named[req.Prompt.Model].Replaced(weights)))
	}
	return cost + engineWait(t, req, p.lookup(req, weights), work)
}

// slotWait estimates the wait for a slot of a plain service.
func slotWait(t *target, work Work) time.Duration {
	slots := max(t.upstream.Slots, 1)
	// Load slows requests below the slot limit too.
	serviceTime := time.Duration(t.statedPace * float64(t.serviceTime))
	wait := time.Duration(work.Requests) * serviceTime / time.Duration(4*slots)
	if over := work.Requests + 1 - slots; over > 0 {
		wait += time.Duration(over) * serviceTime / time.Duration(slots)
	}
	return wait
}

func engineWait(t *target, req *PlacementRequest, prompt *versionedPrompt, work Work) time.Duration {
	f := fetchPlan(t, req, prompt)
	cost := time.Duration(work.Requests)*runningPenalty + f.time
	cost += t.scaled(req.now, prefillTime(work.Pending+f.prefillTokens))
	if prompt.sources[0].target == nil && rendezvous(sharedKey(prompt.keys), t.hash)%8 == 0 {
		cost -= affinityBonus
	}
	return cost
}

// sharedKey returns the key of the last part that other requests may share.
func sharedKey(keys []PartKey) PartKey {
	if len(keys) == 1 {
		return keys[0]
	}
	return keys[len(keys)-2]
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMilli * float64(time.Millisecond))
}

func transferTime(tokens, bytesPerToken int, mbps float64) time.Duration {
	if mbps <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * float64(bytesPerToken) * 8 / mbps * float64(time.Microsecond))
}
