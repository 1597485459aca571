// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"cmp"
	"slices"

	"amaranthgate.example/amaranthgate/follower"
)

// member is a known upstream without load state. Load state takes much more memory and is created
// on first use, since some hosts never need most of it.
type member struct {
	// instance identifies this start of the upstream, as returned by follower.Upstream.InstanceID.
	instance  string
	upstream  *follower.Upstream
	hash      uint64
	sameZone  bool    // sameZone reports that it is in this host's availability zone.
	inOwnCell bool    // inOwnCell reports that it belongs to this host's cell.
	listed    bool    // listed reports that it is in its service's pool, since it takes new work.
	target    *target // target is nil until it is needed.
	mark      *mark   // mark is nil if it has said nothing of itself.

	index, cellIndex int // index and cellIndex are its positions in the pool's all and cell.
}

// pool is the upstreams of a service that take new work.
type pool struct {
	all   []*member // all is unordered.
	cell  []*member // cell has the members that belong to this host's cell.
	ring  []*member // ring has the members sorted by hash, without those in added.
	added []*member // added are to be merged into ring.
}

// setListed adds an upstream to its pool or removes it; p.mu is held.
func (p *Placer) setListed(m *member, takes bool) {
	if m.listed == takes {
		return
	}
	m.listed = takes
	pl := p.pools[m.upstream.Service]
	if pl == nil {
		pl = &pool{}
		p.pools[m.upstream.Service] = pl
	}
	if takes {
		m.inOwnCell = p.ownsMember(m)
		pl.add(m)
		return
	}
	pl.remove(m)
}

// ownsMember reports whether an upstream belongs to this host's cell.
func (p *Placer) ownsMember(m *member) bool {
	return m.sameZone && m.hash%uint64(max(p.cells, 1)) == uint64(p.cell)
}

// assignCells recomputes which upstreams belong to this host's cell; p.mu is held.
func (p *Placer) assignCells() {
	for _, m := range p.members {
		m.inOwnCell = p.ownsMember(m)
	}
	for _, pl := range p.pools {
		pl.cell = pl.cell[:0]
		for _, m := range pl.all {
			pl.addToCell(m)
		}
	}
}

func (l *pool) add(m *member) {
	m.index = len(l.all)
	l.all = append(l.all, m)
	l.added = append(l.added, m)
	l.addToCell(m)
}

func (l *pool) addToCell(m *member) {
	if m.inOwnCell {
		m.cellIndex = len(l.cell)
		l.cell = append(l.cell, m)
	}
}

func (l *pool) remove(m *member) {
	last := l.all[len(l.all)-1]
	l.all[m.index], last.index = last, m.index
	l.all = l.all[:len(l.all)-1]
	if m.inOwnCell {
		last = l.cell[len(l.cell)-1]
		l.cell[m.cellIndex], last.cellIndex = last, m.cellIndex
		l.cell = l.cell[:len(l.cell)-1]
	}
	if i := slices.Index(l.added, m); i >= 0 {
		l.added = slices.Delete(l.added, i, i+1)
		return
	}
	at, _ := slices.BinarySearchFunc(l.ring, m.hash, byHash)
	if i := slices.Index(l.ring[at:], m); i >= 0 {
		l.ring = slices.Delete(l.ring, at+i, at+i+1)
	}
}

func byHash(m *member, hash uint64) int { return cmp.Compare(m.hash, hash) }

// maxInserts is the number of added members up to which they are inserted one by one instead of
// sorted.
const maxInserts = 64

// mergeAdded merges the added members into the ring.
func (l *pool) mergeAdded() {
	if len(l.added) > maxInserts {
		l.ring = append(l.ring, l.added...)
		slices.SortFunc(l.ring, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	} else {
		for _, m := range l.added {
			at, _ := slices.BinarySearchFunc(l.ring, m.hash, byHash)
			l.ring = slices.Insert(l.ring, at, m)
		}
	}
	l.added = l.added[:0]
}

// ringOwners returns the two members that follow a part's hash on the ring.
func (l *pool) ringOwners(key PartKey) (first, second *member) {
	l.mergeAdded()
	if len(l.ring) == 0 {
		return nil, nil
	}
	at, _ := slices.BinarySearchFunc(l.ring, rendezvous(key, 0), byHash)
	return l.ring[at%len(l.ring)], l.ring[(at+1)%len(l.ring)]
}

// targetOf returns the load state of a member, and creates it if needed; p.mu is held.
func (p *Placer) targetOf(m *member) *target {
	if m.target == nil {
		m.target = p.newTarget(m)
		p.targets[m.instance] = m.target
		for _, w := range p.peers {
			m.target.peers.add(w.work[m.instance])
			m.target.peerLink.add(w.links[m.instance])
		}
	}
	return m.target
}

// targetByInstance returns the load state of an upstream instance; nil if there is none.
func (p *Placer) targetByInstance(instance string) *target {
	if t := p.targets[instance]; t != nil {
		return t
	}
	if m := p.memberOf(instance); m != nil {
		return p.targetOf(m)
	}
	return nil
}

// memberOf returns the upstream of an instance; nil if there is none.
func (p *Placer) memberOf(instance string) *member {
	for _, id := range []string{follower.UpstreamID(instance), instance} {
		if m := p.members[id]; m != nil && m.instance == instance {
			return m
		}
	}
	return nil
}
