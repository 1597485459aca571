// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// fetch says how much of a prompt an engine keeps, and how much it can fetch.
type fetch struct {
	first   int           // first is the number of leading parts that the engine keeps.
	parts   int           // parts is the number of leading parts that it has in the end.
	kept    int           // kept are the tokens that it keeps.
	missing int           // missing are the tokens that it must read.
	time    time.Duration // time is that of all transfers.
}

// fetchPlan plans the transfers for a prompt at an engine.
func fetchPlan(t *target, ask *Ask, known *chained) fetch {
	parts := ask.Prompt.Parts
	n, kept := t.kept.leading(known.keys, parts)
	f := fetch{first: n, parts: n, kept: kept, missing: ask.Prompt.Tokens() - kept}
	for f.parts < len(parts) {
		_, took, ok := known.supplier(ask, t, f.parts, parts[f.parts].Tokens)
		if !ok {
			break
		}
		f.time += took
		f.missing -= parts[f.parts].Tokens
		f.parts++
	}
	return f
}

// supplier is who sends a part to an engine: a store or another engine.
type supplier struct {
	store  *store
	engine *target
}

// address returns where the supplier is asked.
func (s supplier) address() string {
	if s.store != nil {
		return s.store.service.Address
	}
	return s.engine.upstream.Address
}

// supplier returns who best sends a part to an engine, and the time that it takes: a
// store, which tells what it holds, before an engine, which may have dropped the part;
// but not if the store takes longer than reading the part, which is the worst that comes
// of asking the engine. It reports false if nobody has it, or reading takes less.
func (c *chained) supplier(ask *Ask, t *target, part, tokens int) (supplier, time.Duration, bool) {
	other := c.sources.but(t)
	if part < len(c.stored) {
		st := c.stored[part]
		took := st.fetchTime(ask.now, t, tokens)
		if part < other.parts && took > readTime(tokens) && other.target.roomy() {
			return supplier{engine: other.target}, engineFetchTime(t, tokens), true
		}
		if worthFetching(took, tokens, ask.Objective) {
			return supplier{store: st}, took, true
		}
	}
	if part < other.parts {
		return supplier{engine: other.target}, engineFetchTime(t, tokens), true
	}
	return supplier{}, 0, false
}

// roomyShare is the share of an engine's memory up to which requests may take it for the
// engine to keep what it is believed to keep. One that is nearly full drops parts while
// those that asked for them are on their way.
const roomyShare = 0.5

// roomy tells that an engine drops little of what it keeps.
func (t *target) roomy() bool {
	return float64(t.work().Memory) < roomyShare*float64(t.engine.CapacityTokens)
}

// engineFetchTime is the time of a transfer between two engines.
func engineFetchTime(t *target, tokens int) time.Duration {
	return transferFixed + transferTime(tokens, t.engine.BytesPerToken, t.engine.LinkMbps)
}

// plan says from where the chosen engine gets what it does not keep, where it
// saves what it reads, and what the request will weigh there.
func (p *Placer) plan(now time.Time, ask *Ask, t *target, c *Choice, tk *Ticket) {
	parts := ask.Prompt.Parts
	known := p.under(ask, c.Weights)
	f := fetchPlan(t, ask, known)
	p.planFetches(ask, t, known, &f, c, tk)
	if c.Weights >= p.named[ask.Prompt.Model].Version {
		c.Save = p.saves(now, ask, known.salt)
	}
	c.Basis.Stored = len(known.stored)
	for _, address := range c.Save {
		if address != "" {
			c.Basis.Saved++
		}
	}
	c.Basis.Missing = f.missing
	c.Basis.Behind = readTime(c.Basis.Work.Pending)
	c.Basis.Reading = readTime(f.missing)
	c.Basis.Fetching = f.time
	c.Basis.Replaced = c.Weights < p.named[ask.Prompt.Model].Version
	c.Basis.Alone = parts[len(parts)-1].Tokens
	if len(parts) > 1 {
		c.Basis.Shared = shared(known.keys)
	}
	c.Basis.Moved = ask.Prompt.Tokens() - f.missing - f.kept
	tk.missing = f.missing
	tk.reads = f.parts
	tk.quiet = c.Basis.Work.Pending < quietPending
	tk.work.Pending = f.missing
	tk.work.Memory = ask.size
	// The last part is the request's own: nobody else can begin with it.
	tk.keys, tk.parts = known.keys[:len(known.keys)-1], parts[:len(parts)-1]
}

// planFetches names for each part who sends it to the engine. That holds also for parts
// that the engine is believed to keep: naming a source for those costs a millisecond if
// the source has dropped them and nothing if the engine keeps them, and without one a
// wrong belief of a short first part has all parts behind it read again.
func (p *Placer) planFetches(ask *Ask, t *target, known *chained, f *fetch, c *Choice, tk *Ticket) {
	parts := ask.Prompt.Parts
	for i := range f.parts {
		s, _, ok := known.supplier(ask, t, i, parts[i].Tokens)
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
		c.Until = p.until(ask.now)
		if i >= f.first {
			tk.fetches(s.store, parts[i].Tokens)
		}
	}
}

// fetches counts a transfer from a store. Only the first of several stores is
// counted: a prompt has one long part.
func (tk *Ticket) fetches(st *store, tokens int) {
	if tk.store == nil {
		tk.store = st
		tk.moved.Requests = 1
		tk.queued = st.own.Pending + st.peers.Pending
		st.own.Requests++
	}
	if tk.store == st {
		far := 1
		if st.service.AvailabilityZone != tk.target.upstream.AvailabilityZone {
			far = farFactor
		}
		tk.moved.Pending += far * tokens
		tk.queued += far * tokens
		st.own.Pending += far * tokens
	}
}

// saves names the stores that shared parts are to be saved to.
func (p *Placer) saves(now time.Time, ask *Ask, salt string) []string {
	var out []string
	parts := ask.Prompt.Parts
	for i, part := range parts[:len(parts)-1] {
		name := PartName{Salt: salt, ID: part.ID}
		st := p.saver(now, ask, name, part.Tokens)
		if st == nil {
			continue
		}
		if out == nil {
			out = make([]string, len(parts))
		}
		out[i] = st.service.Address
		st.saving[name] = saving{tokens: part.Tokens, at: now}
	}
	return out
}

// note remembers that an engine has read parts, and that other hosts should know.
func (p *Placer) note(now time.Time, t *target, keys []PartKey, parts []Part) {
	if t.engine == nil {
		return
	}
	for i, k := range keys {
		if !t.kept.has(k) {
			p.tell(Placement{Upstream: t.key, Key: k, Tokens: parts[i].Tokens})
		}
		t.kept.put(now, k, parts[i].Tokens, p.room(t))
	}
}

// room is how many tokens an engine can keep besides what it runs.
func (p *Placer) room(t *target) int {
	return max(t.engine.CapacityTokens-t.own.Memory-t.peers.Memory, t.engine.CapacityTokens/4)
}
