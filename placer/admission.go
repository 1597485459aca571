// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Bounds of what an engine is given before it has begun what it has. Past them a
// request waits at its host, where a better engine, a more urgent request or a caller
// that leaves still counts; late binding is how pilots take jobs from a queue
// (glideinWMS). An engine over its memory preempts the newest request and reads it
// again, which makes all stay longer and takes more memory: with a quarter of the
// engines silent, hosts that sent at once gave engines of 70,000 tokens requests of
// 140,000, and a third of the answers was on time.
const (
	// backlogTokens are the tokens that may wait to be read where one more request is
	// sent: 0.2 s of reading, so that an engine is never idle for want of a host's
	// word, and a short request is not late behind them.
	backlogTokens = 8000
	// blindShare is the part of memory and backlog up to which an engine is used whose
	// other requests this host hears of 0.4 s late. With 79 hosts before 90 engines, a
	// quarter of them silent while cold, 870 instead of 845 in 1,000 of the credit were
	// served.
	blindShare = 0.6
)

// begins tells that an engine can begin a request soon. Plain services say themselves
// when they are full.
func (p *Placer) begins(t *target, ask *Ask) bool {
	if t.engine == nil || ask.Prompt == nil {
		return true
	}
	work := t.work()
	memory, backlog := t.engine.CapacityTokens, int(backlogTokens/t.slow.factor(ask.now))
	if !p.myTurn(t, ask, memory-work.Memory) {
		return false
	}
	if work.Requests == 0 {
		return true // also for one whose output may not fit
	}
	if p.blind(t) {
		memory = int(blindShare * float64(memory))
		backlog = int(blindShare * float64(backlog))
	}
	return work.Memory+ask.size <= memory && work.Pending <= backlog && work.Requests < t.engine.Slots
}

// turnStep is the time in which one host after another may use the room of an engine for
// which several have requests waiting: a host's word on a long prompt is with the others
// within 5 ms. All hear of new room at the same moment; without turns six hosts gave an
// engine with room for 20,000 tokens 84,000 within 1.2 ms, and it took 3.5 s to begin them.
const turnStep = 6 * time.Millisecond

// myTurn tells whether this host may use an engine's room now: at once if there is enough
// for all that have requests waiting, else in the order of their ranks for the engine.
func (p *Placer) myTurn(t *target, ask *Ask, room int) bool {
	if room >= ask.size*(len(p.contend)+1) {
		return true
	}
	own := rendezvous(PartKey(p.host), t.hash)
	place := 0
	for _, h := range p.contend {
		if rendezvous(PartKey(h), t.hash) > own {
			place++
		}
	}
	return ask.now.Sub(t.eased) >= time.Duration(place)*turnStep
}

// blind tells that others send to an engine what this host hears of late and as a sum.
func (p *Placer) blind(t *target) bool {
	in := p.pools[t.upstream.Service]
	return !p.direct && !t.ours && in != nil && len(in.all) > fewUpstreams && len(in.near) >= enoughNear
}

// anyBegins tells whether it is worth looking for the best upstream.
func (p *Placer) anyBegins(in *pool, ask *Ask) bool {
	for _, s := range in.all {
		if p.begins(p.look(s), ask) {
			return true
		}
	}
	return len(in.all) == 0
}

// Fits tells whether some engine of a service could hold a prompt. Without engines
// nothing is known, and it does.
func (p *Placer) Fits(service string, prompt *Prompt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := p.pools[service]
	if in == nil {
		return true
	}
	for _, s := range in.all {
		if t := p.look(s); t.engine == nil || prompt.Tokens() <= t.engine.CapacityTokens {
			return true
		}
	}
	return len(in.all) == 0
}

// LeastTime is what a prompt takes to its first token at an idle engine that keeps all
// of it that others may begin with.
func LeastTime(prompt *Prompt) time.Duration {
	return firstToken + readTime(prompt.Parts[len(prompt.Parts)-1].Tokens)
}
