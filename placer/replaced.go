// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Handling of replaced weights. Answers on them are worth less, so that a longer wait elsewhere is
// the better choice, and nothing after Options.WeightsWithin.
const (
	replacedGrace   = time.Second            // replacedGrace is how long replaced weights have no penalty.
	replacedPenalty = 250 * time.Millisecond // replacedPenalty is the cost of an answer on replaced weights.
	// replacedMargin covers the delays until this host learns of a new version, and from a choice
	// until the request begins.
	replacedMargin = 2500 * time.Millisecond
	// defaultWeightsWithin is used if Options.WeightsWithin is not set.
	defaultWeightsWithin = 10 * time.Second
)

// weightsPenalty returns the cost of a version by the time since it was replaced.
func weightsPenalty(age time.Duration) time.Duration {
	if age < replacedGrace {
		return 0
	}
	return replacedPenalty
}

// replacedLifetime returns how long requests may go to engines whose weights were replaced. Stores
// serve context of these weights for as long, since engines are renewed a few at a time, over 8 s
// or more, and those with the old weights would otherwise prefill every shared part again.
func (p *Placer) replacedLifetime() time.Duration {
	within := p.opts.WeightsWithin
	if within <= 0 {
		within = defaultWeightsWithin
	}
	return max(within-replacedMargin, replacedGrace)
}

// expired reports whether an engine's weights were replaced too long ago for a request to begin on
// them. Such an engine is used only if there is no renewed one, not even a busy one.
func (p *Placer) expired(now time.Time, t *target, req *PlacementRequest) bool {
	if t.engine == nil || req.Prompt == nil {
		return false
	}
	named := p.named[req.Prompt.Model]
	weights := t.upstream.Weights[req.Prompt.Model]
	return weights < named.Version && now.Sub(named.Replaced(weights)) > p.replacedLifetime()
}

// storesUsable reports whether prompts on a weight version may fetch from stores now: until
// storeLifetime after the version was last known to be in force. For the newest version that is
// when the operators' feed was last known to be current; for a replaced one, before the next
// version was put in force. With a limit of 1.5 s on the age of the feed, 1.43 M tokens of stored
// parts were prefilled again in an outage of the platform's store of 8 s, instead of 0.79 M.
func (p *Placer) storesUsable(now time.Time, model string, weights uint64) bool {
	if !p.clock.known() {
		return false
	}
	if now.Sub(p.saltsChangedAt) < saltReturnTime {
		return false
	}
	named := p.named[model]
	inForce := p.feedCurrentAt
	if weights < named.Version {
		inForce = named.InForceUntil(weights)
	}
	return now.Sub(inForce) < p.storeLifetime()
}

// maxStoreLifetime bounds storeLifetime: context of the old weights takes the stores' room for the
// new. An update of 60 engines, 12 at a time, takes 6 s.
const maxStoreLifetime = 6500 * time.Millisecond

// storeLifetime returns how long stores serve replaced weights.
func (p *Placer) storeLifetime() time.Duration { return min(p.replacedLifetime(), maxStoreLifetime) }

// FreeAfter returns the time after a new weight version was put in force from which stores may free
// the parts of the previous version: no fetch begins later than storeLifetime after the old version
// was known to be in force, and each fetch ends within maxFetchTime.
func (p *Placer) FreeAfter() time.Duration {
	return p.storeLifetime() + maxFetchTime + freeMargin
}

// SaltsChanged records that the set of isolated workspaces changes. Salts of an earlier set may be in use again, and a
// host that has not heard of the change may be freeing their parts.
func (p *Placer) SaltsChanged(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saltsChangedAt = now
}

// freeMargin covers delays between hosts and the reading of clocks.
const freeMargin = time.Second

const (
	// freeFeedAge is the age of the operators' feed up to which unused parts are freed.
	freeFeedAge = 2 * time.Second
	// freeTime bounds the time in which a store frees parts.
	freeTime = time.Second
	// saltReturnTime is how long nothing is fetched from stores after SaltsChanged.
	saltReturnTime = freeFeedAge + freeTime + freeMargin
)
