// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
)

// PartName identifies a part at stores and engines.
type PartName struct {
	Salt string `cbor:"1,keyasint"`
	ID   string `cbor:"2,keyasint"`
}

// store is the state of a KV cache store.
type store struct {
	service      matcher.Store
	hash         uint64
	sameZone     bool
	pace         pace
	own          Work // own and peers are transfers in flight.
	peers        Work
	evacuated    bool // evacuated reports that its availability zone is evacuated: nothing is saved there.
	up           bool // up is false before the first answer and while the store does not answer.
	epoch        int64
	next         int64            // next is the number after the last known change.
	held         map[PartName]int // held has the tokens of parts that the store holds completely.
	used         int
	pendingSaves map[PartName]pendingSave
	statedAt     int64              // statedAt is when the store held that, on the upstreams' clock; 0 if nothing is known.
	savesFrom    int64              // savesFrom is when parts may be saved, on that clock.
	dropped      map[PartName]int64 // dropped is when each of these parts may be saved again, on that clock.
}

// updateStores applies the stores of a view; p.mu is held.
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
			st = &store{hash: xxhash.Sum64String(s.Store.Address), held: make(map[PartName]int),
				pendingSaves: make(map[PartName]pendingSave), dropped: make(map[PartName]int64)}
		}
		st.service = *s.Store
		st.pace.nominal = float64(transferTime(1000, p.bytesPerToken(view), s.Store.LinkMbps)) / 1000
		st.evacuated = view.Evacuated[s.Store.AvailabilityZone]
		st.sameZone = s.Store.AvailabilityZone == p.opts.AvailabilityZone
		p.stores[s.Store.Address] = st
	}
	p.sumPeerTransfers()
}

// bytesPerToken returns the KV cache size of a token, which is the same for all engines.
func (p *Placer) bytesPerToken(view *follower.View) int {
	for _, s := range view.Table.Services() {
		if s.Engine != nil {
			return s.Engine.BytesPerToken
		}
	}
	return 0
}

// StoreChange is a part that a store has completed or dropped.
type StoreChange struct {
	Part    PartName `cbor:"1,keyasint"`
	Tokens  int      `cbor:"2,keyasint,omitempty"`
	Dropped bool     `cbor:"3,keyasint,omitempty"`
}

// StoreChanges is a store's list of changes.
type StoreChanges struct {
	Epoch int64 `cbor:"1,keyasint"` // Epoch changes when the store restarts.
	// Clock is the time on the upstreams' clock at which the store stated this, in milliseconds.
	Clock int64 `cbor:"2,keyasint"`
	// Full reports that Changes are all parts that the store holds.
	Full bool `cbor:"3,keyasint,omitempty"`
	// From is the number of the first change that was asked for.
	From    int64         `cbor:"4,keyasint"`
	Next    int64         `cbor:"5,keyasint"` // Next is the number after the last change covered.
	Changes []StoreChange `cbor:"6,keyasint,omitempty"`
}

// StoreReport is what a host sends to the others about a store.
type StoreReport struct {
	Address string       `cbor:"1,keyasint"`
	Down    bool         `cbor:"2,keyasint,omitempty"` // Down reports that the store does not answer.
	Changes StoreChanges `cbor:"3,keyasint,omitempty"`
}

// ApplyStoreReport applies another host's report. It returns false if this host lacks earlier changes and
// must ask for a full report.
func (p *Placer) ApplyStoreReport(now time.Time, r StoreReport) bool {
	if r.Down {
		p.StoreLost(r.Address)
		return true
	}
	p.mu.Lock()
	st := p.stores[r.Address]
	gap := st != nil && !r.Changes.Full && !st.outdated(&r.Changes) && (st.epoch == r.Changes.Epoch && r.Changes.From > st.next || st.epoch != r.Changes.Epoch && r.Changes.From > 0)
	p.mu.Unlock()
	if gap {
		return false
	}
	p.ApplyStoreChanges(now, r.Address, r.Changes)
	return true
}

// StoreReports returns full reports of all stores, for a host that has just started.
func (p *Placer) StoreReports() []StoreReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []StoreReport
	for address, st := range p.stores {
		if !st.up {
			continue
		}
		r := StoreReport{Address: address, Changes: StoreChanges{Epoch: st.epoch, Full: true, Next: st.next, Clock: st.statedAt}}
		for name, tokens := range st.held {
			r.Changes.Changes = append(r.Changes.Changes, StoreChange{Part: name, Tokens: tokens})
		}
		out = append(out, r)
	}
	return out
}

// ApplyStoreChanges applies a store's own list of changes, unless it is older than what is known.
func (p *Placer) ApplyStoreChanges(now time.Time, address string, n StoreChanges) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.stores[address]
	if st == nil {
		return
	}
	if st.outdated(&n) {
		return
	}
	if st.statedAt == 0 || n.Epoch != st.epoch {
		st.restart(&n)
	}
	if n.Full {
		st.replace(&n)
	}
	st.next = max(st.next, n.Next)
	st.up = true
	p.clock = p.clock.With(n.Clock, now)
	for i := range n.Changes {
		st.apply(&n, &n.Changes[i])
	}
	st.stated(&n)
}

// StoreLost records that a store does not answer.
func (p *Placer) StoreLost(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.stores[address]; st != nil {
		st.up = false
	}
}

// maxFetchTime bounds a fetch from a store, from the choice of an upstream on.
const maxFetchTime = 1500 * time.Millisecond

// SetFeedCurrent records that the operators' feed was current at a time.
func (p *Placer) SetFeedCurrent(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.feedCurrentAt = at
}

// UnusedParts lists what a store holds under salts that are no longer used.
type UnusedParts struct {
	Address string
	Epoch   int64
	// Deadline is when the parts must have been freed, in milliseconds of the upstreams' clock: until then none of the
	// salts can be in use again.
	Deadline int64
	Parts    []PartName
}

// Unused returns what stores hold under salts for which keep returns false. It returns nothing while the operators' feed is
// not current, as the salts may be in use again by a change that this host does not know.
func (p *Placer) Unused(now time.Time, keep func(salt string) bool) []UnusedParts {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.clock.known() || now.Sub(p.feedCurrentAt) > freeFeedAge {
		return nil
	}
	var out []UnusedParts
	for address, st := range p.stores {
		f := UnusedParts{Address: address, Epoch: st.epoch, Deadline: p.clock.reading(now) + freeTime.Milliseconds()}
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

// holder returns the store that a part can be fetched from; one in this host's zone is preferred. stale reports that
// there is none because the stores that held the part have not stated so lately.
func (p *Placer) holder(now time.Time, name PartName) (best *store, stale bool) {
	for _, st := range p.stores {
		if st.held[name] == 0 || !st.up {
			continue
		}
		if !p.fetchable(now, st) {
			stale = true
			continue
		}
		if best == nil || st.sameZone && !best.sameZone || st.sameZone == best.sameZone && st.hash < best.hash {
			best = st
		}
	}
	return best, stale && best == nil
}
