// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// fetch says from where an engine gets what it does not keep.
type fetch struct {
	first   int           // first is the number of leading parts that the engine keeps.
	engine  int           // engine is the number of leading parts that the source engine brings it to.
	parts   int           // parts is the number of leading parts that it has in the end.
	kept    int           // kept are the tokens that it keeps.
	missing int           // missing are the tokens that it must read.
	time    time.Duration // time is that of all transfers.
}

// fetchPlan plans the transfers for a prompt at an engine: from another engine
// as far as that goes, then from stores.
func fetchPlan(now time.Time, t *target, ask *Ask, known *chained) fetch {
	parts := ask.Prompt.Parts
	n, kept := t.kept.leading(known.keys, parts)
	f := fetch{first: n, engine: n, parts: n, kept: kept, missing: ask.Prompt.Tokens() - kept}
	if src := known.source; src.target != nil && src.target != t && src.tokens > kept {
		moved := src.tokens - kept
		f.engine, f.parts = src.parts, src.parts
		f.missing -= moved
		f.time = transferFixed + transferTime(moved, t.engine.BytesPerToken, t.engine.LinkMbps)
	}
	for f.parts < len(known.stored) {
		tokens := parts[f.parts].Tokens
		took := known.stored[f.parts].fetchTime(now, t, tokens)
		if !worthFetching(took, tokens) {
			break
		}
		f.time += took
		f.missing -= tokens
		f.parts++
	}
	return f
}

// plan says from where the chosen engine gets what it does not keep, where it
// saves what it reads, and what the request will weigh there.
func (p *Placer) plan(now time.Time, ask *Ask, t *target, c *Choice, tk *Ticket) {
	parts := ask.Prompt.Parts
	known := p.under(ask, c.Weights)
	f := fetchPlan(now, t, ask, known)
	if f.parts > f.first {
		c.Fetch = make([]string, len(parts))
		for i := f.first; i < f.parts; i++ {
			if i < f.engine {
				c.Fetch[i] = known.source.target.upstream.Address
			} else {
				c.Fetch[i] = known.stored[i].service.Address
				c.Until = p.until(now)
				tk.fetches(known.stored[i], parts[i].Tokens)
			}
		}
	}
	if c.Weights >= p.named[ask.Prompt.Model].Version {
		c.Save = p.saves(now, known.salt, parts)
	}
	c.Basis.Stored = len(known.stored)
	for _, address := range c.Save {
		if address != "" {
			c.Basis.Saved++
		}
	}
	c.Basis.Missing = f.missing
	if len(parts) > 1 {
		c.Basis.Shared = shared(known.keys)
	}
	c.Basis.Moved = ask.Prompt.Tokens() - f.missing - f.kept
	tk.missing = f.missing
	tk.quiet = c.Basis.Work.Pending < quietPending
	tk.work.Pending = f.missing
	tk.work.Memory = ask.Prompt.Tokens() + ask.Prompt.Output
	// The last part is the request's own: nobody else can begin with it.
	tk.keys, tk.parts = known.keys[:len(known.keys)-1], parts[:len(parts)-1]
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
func (p *Placer) saves(now time.Time, salt string, parts []Part) []string {
	var out []string
	for i, part := range parts[:len(parts)-1] {
		name := PartName{Salt: salt, ID: part.ID}
		st := p.saver(now, name, part.Tokens)
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
			p.tell(Placement{Upstream: t.upstream.ID, Key: k, Tokens: parts[i].Tokens})
		}
		t.kept.put(now, k, parts[i].Tokens, p.room(t))
	}
}

// room is how many tokens an engine can keep besides what it runs.
func (p *Placer) room(t *target) int {
	return max(t.engine.CapacityTokens-t.own.Memory-t.peers.Memory, t.engine.CapacityTokens/4)
}
