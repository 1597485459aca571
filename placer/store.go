// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
)

// PartName names a part as stores and engines know it.
type PartName struct {
	Salt string `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
}

// store is a store of kept context with what is known of it.
type store struct {
	service matcher.Store
	hash    uint64
	near    bool
	pace    pace
	own     Work // own and peers are transfers under way.
	peers   Work
	emptied bool // emptied tells that its availability zone is evacuated: nothing is saved there.
	up      bool // up tells that the store has answered lately.
	epoch   int64
	next    int64            // next is the number after the last change that is known.
	held    map[PartName]int // held has the tokens of parts that lie there whole.
	used    int
	saving  map[PartName]saving
}

// updateStores takes over the stores of a view; p.mu is held.
func (p *Placer) updateStores(view *follower.View) {
	if view.Table == nil {
		return
	}
	before := p.stores
	p.stores = make(map[string]*store)
	for _, s := range view.Table.Services() {
		if s.Store == nil {
			continue
		}
		st := before[s.Store.Address]
		if st == nil {
			st = &store{hash: xxhash.Sum64String(s.Store.Address), held: make(map[PartName]int), saving: make(map[PartName]saving)}
		}
		st.service = *s.Store
		st.pace.nominal = float64(transferTime(1000, p.bytesPerToken(view), s.Store.LinkMbps)) / 1000
		st.emptied = view.Evacuated[s.Store.AvailabilityZone]
		st.near = s.Store.AvailabilityZone == p.opts.AvailabilityZone
		p.stores[s.Store.Address] = st
	}
	p.sumStores()
}

// bytesPerToken is the size of kept context, which is the same for all engines.
func (p *Placer) bytesPerToken(view *follower.View) int {
	for _, s := range view.Table.Services() {
		if s.Engine != nil {
			return s.Engine.BytesPerToken
		}
	}
	return 0
}

// StoreChange is a part that a store has taken in whole, or has given up.
type StoreChange struct {
	Part    PartName `cbor:"1,keyasint"`
	Tokens  int      `cbor:"2,keyasint,omitempty"`
	Dropped bool     `cbor:"3,keyasint,omitempty"`
}

// StoreNews is what a store says of itself.
type StoreNews struct {
	Epoch   int64         `cbor:"1,keyasint"`           // Epoch changes when the store starts anew.
	Clock   int64         `cbor:"2,keyasint"`           // Clock is the time on the upstreams' clock, in milliseconds.
	Full    bool          `cbor:"3,keyasint,omitempty"` // Full tells that Changes are all that it holds.
	From    int64         `cbor:"4,keyasint"`           // From is the number of the first change that was asked for.
	Next    int64         `cbor:"5,keyasint"`           // Next is the number after the last change covered.
	Changes []StoreChange `cbor:"6,keyasint,omitempty"`
}

// StoreReport is what one host has heard of a store, for the others.
type StoreReport struct {
	Address string    `cbor:"1,keyasint"`
	Lost    bool      `cbor:"2,keyasint,omitempty"` // Lost tells that the store does not answer.
	News    StoreNews `cbor:"3,keyasint,omitempty"`
}

// StoreTold takes in what another host has heard. It reports false if this host
// lacks changes before these, and must ask for all.
func (p *Placer) StoreTold(now time.Time, r StoreReport) bool {
	if r.Lost {
		p.StoreLost(r.Address)
		return true
	}
	p.mu.Lock()
	st := p.stores[r.Address]
	gap := st != nil && !r.News.Full && (st.epoch == r.News.Epoch && r.News.From > st.next || st.epoch != r.News.Epoch && r.News.From > 0)
	p.mu.Unlock()
	if gap {
		return false
	}
	p.StoreHeard(now, r.Address, r.News)
	return true
}

// StoreReports returns all that is known of stores, for a host that has just
// started.
func (p *Placer) StoreReports() []StoreReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []StoreReport
	for address, st := range p.stores {
		if !st.up {
			continue
		}
		r := StoreReport{Address: address, News: StoreNews{Epoch: st.epoch, Full: true, Next: st.next, Clock: p.clock.millis}}
		for name, tokens := range st.held {
			r.News.Changes = append(r.News.Changes, StoreChange{Part: name, Tokens: tokens})
		}
		out = append(out, r)
	}
	return out
}

// StoreHeard takes in what a store says.
func (p *Placer) StoreHeard(now time.Time, address string, n StoreNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stores[address]
	if st == nil {
		return
	}
	if n.Epoch != st.epoch || n.Full {
		if n.Full && n.Epoch == st.epoch && n.Next < st.next {
			return // older than what is known
		}
		st.epoch, st.next = n.Epoch, n.Next
		st.used = 0
		clear(st.held)
		if !n.Full {
			clear(st.saving)
		}
	}
	st.next = max(st.next, n.Next)
	st.up = true
	p.clock = clock{millis: n.Clock, at: now}
	for _, c := range n.Changes {
		st.drop(c.Part)
		if !c.Dropped {
			st.held[c.Part] = c.Tokens
			st.used += c.Tokens
			delete(st.saving, c.Part)
		}
	}
}

func (st *store) drop(name PartName) {
	st.used -= st.held[name]
	delete(st.held, name)
}

// StoreLost says that a store does not answer.
func (p *Placer) StoreLost(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.stores[address]; st != nil {
		st.up = false
	}
}

// clock is a reading of the upstreams' clock.
type clock struct {
	millis int64
	at     time.Time // at is when the reading arrived; it was made shortly before.
}

// fetchTime bounds a transfer from a store, from the choice of an upstream on.
// Transfers take 33 to 150 ms; one that waits for much longer comes too late for
// the request's objective anyway.
const fetchTime = 1500 * time.Millisecond

// until returns when transfers that are ordered now must have ended, on the
// upstreams' clock; 0 if that is not known.
func (p *Placer) until(now time.Time) int64 {
	if p.clock.millis == 0 {
		return 0
	}
	return p.clock.millis + now.Sub(p.clock.at).Milliseconds() + fetchTime.Milliseconds()
}

// Trust tells that the operators' feed was current at a time.
func (p *Placer) Trust(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = at
}

// Freed is what a store holds under salts that are no longer used.
type Freed struct {
	Address string
	Epoch   int64
	Parts   []PartName
}

// Unused returns what stores hold under salts that keep does not want.
func (p *Placer) Unused(keep func(salt string) bool) []Freed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Freed
	for address, st := range p.stores {
		f := Freed{Address: address, Epoch: st.epoch}
		for name := range st.held {
			if !keep(name.Salt) {
				f.Parts = append(f.Parts, name)
			}
		}
		if len(f.Parts) > 0 {
			out = append(out, f)
		}
	}
	return out
}

// holder returns the store that holds a part, a near one first.
func (p *Placer) holder(name PartName) *store {
	var best *store
	for _, st := range p.stores {
		if st.held[name] == 0 || !st.up {
			continue
		}
		if best == nil || st.near && !best.near || st.near == best.near && st.hash < best.hash {
			best = st
		}
	}
	return best
}
