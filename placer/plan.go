// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// fetchEstimate is how much of a prompt an engine has cached, and how much it can fetch.
type fetchEstimate struct {
	cachedParts int // cachedParts is the number of leading parts that the engine caches.
	// availableParts is the number of leading parts that it has after all transfers.
	availableParts int
	cachedTokens   int           // cachedTokens is the number of tokens of cachedParts.
	prefillTokens  int           // prefillTokens is the number of tokens that it must prefill.
	time           time.Duration // time is the total time of the transfers.
}

// fetchPlan estimates the transfers for a prompt at an engine.
func fetchPlan(t *target, req *PlacementRequest, prompt *versionedPrompt) fetchEstimate {
	parts := req.Prompt.Parts
	n, cached := t.cache.leading(prompt.keys, parts)
	f := fetchEstimate{cachedParts: n, availableParts: n, cachedTokens: cached, prefillTokens: req.Prompt.Tokens() - cached}
	if n >= len(prompt.stores) && n >= prompt.sources[0].parts {
		return f // nothing holds the next part
	}
	if req.pricing {
		plan := prompt.price(req, t, n, len(parts), false)
		f.availableParts += plan.parts
		f.prefillTokens -= plan.tokens
		f.time = plan.time
		return f
	}
	for f.availableParts < len(parts) {
		_, took, ok := prompt.supplier(req, t, f.availableParts, parts[f.availableParts].Tokens)
		if !ok {
			break
		}
		f.time += took
		f.prefillTokens -= parts[f.availableParts].Tokens
		f.availableParts++
	}
	return f
}

// supplier is the source of a part: a store or another engine.
type supplier struct {
	store  *store
	engine *target
}

// address returns the address that the part is fetched from.
func (s supplier) address() string {
	if s.store != nil {
		return s.store.service.Address
	}
	return s.engine.upstream.Address
}

// supplier returns the best source of a part for an engine, and the time of the transfer. A store,
// whose content is known, is preferred to an engine, which may have evicted the part, unless the
// store's transfer takes longer than the prefill. It returns false if there is no source or prefill
// is faster.
func (v *versionedPrompt) supplier(req *PlacementRequest, t *target, part, tokens int) (supplier, time.Duration, bool) {
	other := v.sources.excluding(t)
	if part < len(v.stores) {
		st := v.stores[part]
		took := st.fetchTime(req.now, t, tokens)
		if part < other.parts && took > prefillTime(tokens) && other.target.hasSpareMemory() {
			return supplier{engine: other.target}, engineFetchTime(t, tokens), true
		}
		if worthFetching(took, tokens, req.Objective) {
			return supplier{store: st}, took, true
		}
	}
	if part < other.parts {
		return supplier{engine: other.target}, engineFetchTime(t, tokens), true
	}
	return supplier{}, 0, false
}

// spareMemoryShare is the share of an engine's memory up to which its estimated cache is relied
// upon. A fuller engine may evict parts before they are fetched.
const spareMemoryShare = 0.5

// hasSpareMemory reports whether an engine is unlikely to evict what it caches.
func (t *target) hasSpareMemory() bool {
	return float64(t.work().Memory) < spareMemoryShare*float64(t.engine.CapacityTokens)
}

// engineFetchTime returns the time of a transfer between two engines.
func engineFetchTime(t *target, tokens int) time.Duration {
	return transferOverhead + transferTime(tokens, t.engine.BytesPerToken, t.engine.LinkMbps)
}

// plan records in the choice and the ticket what the chosen engine fetches, saves and prefills, and
// the request's share of its load.
func (p *Placer) plan(now time.Time, req *PlacementRequest, t *target, c *Choice, tk *Ticket) {
	parts := req.Prompt.Parts
	prompt := p.lookup(req, c.Weights)
	c.Salt = prompt.salt
	f := fetchPlan(t, req, prompt)
	if req.pricing {
		p.planPricedFetches(req, t, prompt, &f, c, tk)
	} else {
		p.planFetches(req, t, prompt, &f, c, tk)
	}
	if c.Weights >= p.named[req.Prompt.Model].Version {
		p.planSaves(now, req, prompt.salt, c)
	}
	c.Basis.StoredParts, c.Basis.StaleStatement = len(prompt.stores), prompt.stale
	for _, address := range c.Save {
		if address != "" {
			c.Basis.SavedParts++
		}
	}
	c.Basis.PrefillTokens = f.prefillTokens
	c.Basis.BacklogTime = prefillTime(c.Basis.Work.Pending)
	c.Basis.PrefillTime = prefillTime(f.prefillTokens)
	c.Basis.FetchTime = f.time
	c.Basis.Replaced = c.Weights < p.named[req.Prompt.Model].Version
	c.Basis.UnsharedTokens = parts[len(parts)-1].Tokens
	if len(parts) > 1 {
		c.Basis.SharedKey = sharedKey(prompt.keys)
	}
	c.Basis.FetchTokens = req.Prompt.Tokens() - f.prefillTokens - f.cachedTokens
	tk.prefillTokens = f.prefillTokens
	tk.firstPrefilled = f.availableParts
	tk.idle = c.Basis.Work.Pending < maxIdlePending
	tk.work.Pending = f.prefillTokens
	tk.work.Memory = req.size
	// The last part is the request's own: no other request can share it.
	tk.keys, tk.parts = prompt.keys[:len(prompt.keys)-1], parts[:len(parts)-1]
}

// planFetches names a source for each part, also for parts that the engine is believed to cache: if
// it has evicted an early one, it would otherwise prefill all parts behind it. Naming a source
// costs at most 1 ms if the source has evicted the part, and nothing if the engine caches it.
func (p *Placer) planFetches(req *PlacementRequest, t *target, prompt *versionedPrompt, f *fetchEstimate, c *Choice, tk *Ticket) {
	parts := req.Prompt.Parts
	for i := range f.availableParts {
		s, _, ok := prompt.supplier(req, t, i, parts[i].Tokens)
		if !ok {
			continue
		}
		if c.Fetch == nil {
			c.Fetch = make([]string, len(parts))
		}
		c.Fetch[i] = s.address()
		if s.store == nil {
			continue
		}
		p.boundFetch(req.now, s.store, c)
		if i >= f.cachedParts {
			tk.addTransfer(s.store, parts[i].Tokens)
		}
	}
}

// addTransfer counts a transfer from a store as work in flight there. If a request fetches from
// several stores, only the first is counted, since a prompt has one long part.
func (tk *Ticket) addTransfer(st *store, tokens int) {
	if tk.store == nil {
		tk.store = st
		tk.transfer.Requests = 1
		tk.queuedTokens = st.own.Pending + st.peers.Pending
		st.own.Requests++
	}
	if tk.store == st {
		far := 1
		if st.service.AvailabilityZone != tk.target.upstream.AvailabilityZone {
			far = crossZoneFactor
		}
		tk.transfer.Pending += far * tokens
		tk.queuedTokens += far * tokens
		st.own.Pending += far * tokens
	}
}

// planSaves records in a choice where the chosen engine saves the parts of a prompt, and how many of them cannot be saved
// yet.
func (p *Placer) planSaves(now time.Time, req *PlacementRequest, salt string, c *Choice) {
	parts := req.Prompt.Parts
	for i, part := range parts[:len(parts)-1] {
		name := PartName{Salt: salt, ID: part.ID}
		st, wait := p.saveTarget(now, req, name, part.Tokens)
		if st == nil {
			if wait {
				c.Basis.DelayedSaves++
			}
			continue
		}
		if c.Save == nil {
			c.Save = make([]string, len(parts))
		}
		c.Save[i] = st.service.Address
		p.boundSave(now, st, c)
		st.pendingSaves[name] = pendingSave{tokens: part.Tokens, at: now}
	}
}

// recordCached records that an engine caches parts, and reports new ones to other hosts.
func (p *Placer) recordCached(now time.Time, t *target, keys []PartKey, parts []Part) {
	if t.engine == nil {
		return
	}
	for i, k := range keys {
		if !t.cache.has(k) {
			p.queuePlacement(Placement{Upstream: t.instance, Key: k, Tokens: parts[i].Tokens})
		}
		t.cache.put(now, k, parts[i].Tokens, p.cacheRoom(t))
	}
}

// cacheRoom returns how many tokens an engine can cache besides what it runs.
func (p *Placer) cacheRoom(t *target) int {
	return max(t.engine.CapacityTokens-t.own.Memory-t.peers.Memory, t.engine.CapacityTokens/4)
}
