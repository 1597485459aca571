// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Figures of weights that have been replaced. Answers on them are worth less, so that a
// longer wait elsewhere is the better choice, and after the operators' bound nothing.
const (
	oldFree    = time.Second            // oldFree is how long replaced weights cost nothing.
	oldPenalty = 250 * time.Millisecond // oldPenalty weighs a fifth of a request's worth against its objective.
	// oldMargin is what a request may take from its choice until it begins, and its
	// host from the naming until it heard of it.
	oldMargin = 2500 * time.Millisecond
	// defaultWithin is the bound where the settings give none: the shortest one of the
	// users' deployments.
	defaultWithin = 10 * time.Second
)

// oldWeights returns the penalty of a version that was replaced some time ago.
func oldWeights(age time.Duration) time.Duration {
	if age < oldFree {
		return 0
	}
	return oldPenalty
}

// useReplaced is how long work may go to engines whose weights were replaced. Stores
// serve what was made with them for as long: engines are renewed a few at a time over
// 8 s and more, and without what stores hold, those with the old weights read every
// shared part again. With two versions named in 4 s, 1.55 M tokens were read again
// without it, 0.82 M where stores serve for 4 s, and 0.67 M with 7 s (means of three
// runs).
func (p *Placer) useReplaced() time.Duration {
	within := p.opts.WeightsWithin
	if within <= 0 {
		within = defaultWithin
	}
	return max(within-oldMargin, oldFree)
}

// expired tells that an engine's weights were replaced too long ago for a request to
// begin on them in time. Such an engine is sent nothing while a renewed one is there,
// also when that one is busy.
func (p *Placer) expired(now time.Time, t *target, ask *Ask) bool {
	if t.engine == nil || ask.Prompt == nil {
		return false
	}
	named := p.named[ask.Prompt.Model]
	weights := t.upstream.Weights[ask.Prompt.Model]
	return weights < named.Version && now.Sub(named.Replaced(weights)) > p.useReplaced()
}

// storesServe tells whether prompts on a weight version may fetch from stores now: for a
// while after the last moment at which the version was surely in force. For the newest one
// that is when the operators' feed was last known to be current; for a replaced one it is
// before the next was named, however late this host heard of that. While the platform's
// store was away for 8 s, hosts that wanted a feed no older than 1.5 s read 1.43 M tokens
// again that the stores of context held, against 0.79 M.
func (p *Placer) storesServe(now time.Time, model string, weights uint64) bool {
	if p.clock.millis == 0 {
		return false
	}
	named := p.named[model]
	inForce := p.current
	if weights < named.Version {
		inForce = named.InForceUntil(weights)
	}
	return now.Sub(inForce) < p.serveReplaced()
}

// mostServed bounds how long stores serve replaced weights: a renewal of 60 engines, 12 at
// a time, takes 6 s, and what stores hold for the old weights leaves no room for the new.
const mostServed = 6500 * time.Millisecond

// serveReplaced is how long stores serve replaced weights.
func (p *Placer) serveReplaced() time.Duration { return min(p.useReplaced(), mostServed) }

// FreeAfter is how long after a weight version was named, what stores hold for
// the one before may be freed: no host fetches it for longer than useReplaced after it was
// surely in force, and what was ordered before has ended then.
func (p *Placer) FreeAfter() time.Duration {
	return p.serveReplaced() + fetchTime + freeMargin
}

// freeMargin covers delays between hosts, up to those that they notice, and the reading
// of clocks.
const freeMargin = time.Second
