// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// plan says from where the chosen engine gets what it does not keep, and what
// the request will weigh there.
func (p *Placer) plan(ask *Ask, t *target, c *Choice, tk *Ticket) {
	parts := ask.Prompt.Parts
	known := p.under(ask, c.Weights)
	keys, src := known.keys, known.source
	total := ask.Prompt.Tokens()
	n, kept := t.kept.leading(keys, parts)
	missing := total - kept
	if src.target != nil && src.target != t && src.tokens > kept {
		c.Fetch = make([]string, len(parts))
		for i := n; i < src.parts; i++ {
			c.Fetch[i] = src.target.upstream.Address
		}
		missing -= src.tokens - kept
	}
	tk.work.Pending = missing
	tk.work.Memory = total + ask.Prompt.Output
	// The last part is the request's own: nobody else can begin with it.
	tk.keys, tk.parts = keys[:len(keys)-1], parts[:len(parts)-1]
}

// note remembers that an engine has read parts, and that other hosts should know.
func (p *Placer) note(now time.Time, t *target, keys []ChainKey, parts []Part) {
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
