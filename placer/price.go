// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"math"
	"time"

	"amaranthgate.example/amaranthgate/pricer"
)

// missTime is the time that a fetch takes if its source no longer holds the part.
const missTime = time.Millisecond

// pricedPlan is what an engine fetches of consecutive parts of a prompt.
type pricedPlan struct {
	parts   int // parts is the number of leading parts that are fetched.
	tokens  int // tokens is the number of tokens of parts.
	time    time.Duration
	reasons pricer.Tally
	steps   []transferStep // steps are the transfers of parts, if they were asked for.
}

// transferStep is a planned transfer of one part.
type transferStep struct {
	supplier supplier
	wait     time.Duration // wait is the time until its links are free.
	took     time.Duration // took is the time of the transfer without wait.
}

// price decides for the parts of a prompt from an index up to another whether an engine fetches them. A
// part is of use only behind those before it, so parts are priced together up to the first that makes
// fetching all of them worth its time.
func (v *versionedPrompt) price(req *PlacementRequest, t *target, from, to int, steps bool) pricedPlan {
	var plan pricedPlan
	run := pricer.Part{Source: true, Objective: req.Objective, Others: t.work().Requests}
	priced, reason := 0, pricer.NoSource
	for i := from; i < to; i++ {
		part := req.Prompt.Parts[i].Tokens
		step, ok := v.step(req, t, i, part, plan.time+run.Fetch)
		if !ok {
			if steps {
				plan.reasons.Add(pricer.NoSource, max(0, len(req.Prompt.Parts)-1-i))
			}
			break
		}
		if steps {
			plan.steps = append(plan.steps, step)
		}
		run.Queue = max(run.Queue, step.wait)
		priced++
		run.Tokens += part
		run.Fetch += step.wait + step.took
		run.Prefill = t.scaled(req.now, prefillTime(run.Tokens))
		if run.Fetch > run.Prefill && run.Objective > 0 { // the slack decides only then
			run.Slack = req.slack(t) - plan.time
		}
		d := pricer.Decide(run)
		reason = d.Reason
		if d.Fetch {
			plan.parts += priced
			plan.tokens += run.Tokens
			plan.time += run.Fetch
			if steps {
				plan.reasons.Add(d.Reason, priced)
			}
			run.Tokens, run.Fetch, run.Queue, priced = 0, 0, 0, 0
		}
	}
	if steps {
		plan.reasons.Add(reason, priced)
		plan.steps = plan.steps[:plan.parts]
	}
	return plan
}

// step returns the best transfer of a part that starts after elapsed. A store, whose content is known, is
// preferred to an engine, which may have evicted the part, unless the store's transfer takes longer than
// the prefill. It returns false if nothing holds the part.
func (v *versionedPrompt) step(req *PlacementRequest, t *target, part, tokens int, elapsed time.Duration) (transferStep, bool) {
	other := &v.sources[0]
	if other.target == t {
		other = &v.sources[1]
	}
	if part >= len(v.stores) {
		if part >= other.parts {
			return transferStep{}, false
		}
		return t.stepFrom(other.target, tokens, elapsed), true
	}
	st := v.stores[part]
	s := transferStep{supplier: supplier{store: st}, took: st.transferTime(req.now, t, tokens)}
	s.wait = max(0, max(st.queue(req.now), t.linkQueue())-elapsed)
	if part < other.parts && s.wait+s.took > t.scaled(req.now, prefillTime(tokens)) && other.target.hasSpareMemory() {
		if e := t.stepFrom(other.target, tokens, elapsed); e.wait+e.took < s.wait+s.took {
			return e, true
		}
	}
	return s, true
}

// stepFrom returns the transfer of a part from another engine that starts after elapsed.
func (t *target) stepFrom(other *target, tokens int, elapsed time.Duration) transferStep {
	s := transferStep{supplier: supplier{engine: other}, took: engineFetchTime(t, farFactor(other.upstream.AvailabilityZone, t)*tokens)}
	s.wait = max(0, max(other.linkQueue(), t.linkQueue())-elapsed)
	if !other.hasSpareMemory() {
		s.took += missTime
	}
	return s
}

// queue returns the time until the store's transfers in flight have ended.
func (st *store) queue(now time.Time) time.Duration {
	return time.Duration(st.own.Pending+st.peers.Pending) * st.pace.perToken(now)
}

// transferTime returns the time of a transfer once the store's link is free.
func (st *store) transferTime(now time.Time, t *target, tokens int) time.Duration {
	far := farFactor(st.service.AvailabilityZone, t)
	return transferOverhead + st.service.FirstDelay + time.Duration(far*tokens)*st.pace.perToken(now)
}

// farFactor returns the cost factor of a transfer from an availability zone to an engine.
func farFactor(zone string, t *target) int {
	if zone != t.upstream.AvailabilityZone {
		return crossZoneFactor
	}
	return 1
}

// slack returns what the objective leaves for transfers to an engine: less the time to the first token of
// an idle engine, the engine's backlog and the request's last part, which is always prefilled.
func (a *PlacementRequest) slack(t *target) time.Duration {
	if a.Objective == 0 {
		return 0
	}
	left := a.Objective
	if !a.due.IsZero() {
		left = a.due.Sub(a.now)
	}
	last := a.Prompt.Parts[len(a.Prompt.Parts)-1].Tokens
	return left - firstTokenTime - t.scaled(a.now, prefillTime(t.work().Pending+last))
}

// planPricedFetches names the sources of the parts that an engine fetches, and counts their transfers. It
// also names sources of parts that the engine is believed to cache: if it has evicted one of them, it
// would have to prefill all parts behind it.
func (p *Placer) planPricedFetches(req *PlacementRequest, t *target, prompt *versionedPrompt, f *fetchEstimate, c *Choice, tk *Ticket) {
	parts := req.Prompt.Parts
	if f.cachedParts == 0 && len(prompt.stores) == 0 && prompt.sources[0].parts == 0 {
		c.Basis.FetchReasons.Add(pricer.NoSource, len(parts)-1)
		return
	}
	plan := prompt.price(req, t, f.cachedParts, len(parts), true)
	c.Basis.FetchReasons = plan.reasons
	p.nameCachedSources(req, t, prompt, f.cachedParts, len(plan.steps) > 0, c)
	tk.transfersEnd = req.now.Add(plan.time)
	for i, step := range plan.steps {
		p.nameSource(req, c, f.cachedParts+i, step.supplier)
		if step.supplier.store != nil {
			tk.addTransfer(step.supplier.store, parts[f.cachedParts+i].Tokens)
		}
		tk.useLinks(step.supplier, step.took)
	}
	if len(plan.steps) > 0 {
		p.transferring = append(p.transferring, tk)
	}
}

// nameCachedSources names the sources of parts that the engine is believed to cache, which costs nothing if it
// does. needed reports that parts behind them are fetched, which are of no use without them.
func (p *Placer) nameCachedSources(req *PlacementRequest, t *target, prompt *versionedPrompt, cached int, needed bool, c *Choice) {
	for i := range cached {
		tokens := req.Prompt.Parts[i].Tokens
		step, ok := prompt.step(req, t, i, tokens, 0)
		if !ok {
			return
		}
		part := pricer.Part{
			Tokens: tokens, Source: true, Queue: step.wait, Fetch: step.wait + step.took, Prefill: t.scaled(req.now, prefillTime(tokens)),
			Objective: req.Objective, Slack: req.slack(t), Others: math.MaxInt16,
		}
		if needed || pricer.Decide(part).Fetch {
			p.nameSource(req, c, i, step.supplier)
		}
	}
}

// nameSource tells the chosen engine where to fetch a part.
func (p *Placer) nameSource(req *PlacementRequest, c *Choice, part int, s supplier) {
	if c.Fetch == nil {
		c.Fetch = make([]string, len(req.Prompt.Parts))
	}
	c.Fetch[part] = s.address()
	if s.store != nil {
		p.boundFetch(req.now, s.store, c)
	}
}
