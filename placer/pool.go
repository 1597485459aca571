// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"cmp"
	"slices"

	"amaranthgate.example/amaranthgate/follower"
)

// member is an upstream of which no more is known than its entry says. A host that stands by has one
// for each of 10,000; what it would learn of their load takes four times the memory and is made as
// they are looked at.
type member struct {
	key      string // key is what Start names it.
	upstream *follower.Upstream
	hash     uint64
	near     bool    // near tells that it is in this host's availability zone.
	ours     bool    // ours tells that it belongs to this host's cell.
	listed   bool    // listed tells that it stands in its pool: it takes new work.
	target   *target // target is nil until it is looked at.

	place, nearPlace int // place and nearPlace are where it stands in its pool.
}

// pool is the upstreams of a service that take new work.
type pool struct {
	all   []*member // all are in no order.
	near  []*member // near are those of them that belong to this host's cell.
	ring  []*member // ring has them by their hashes, but for those in added.
	added []*member // added are to be put into the ring.
}

// enlist has an upstream take new work or not; p.mu is held.
func (p *Placer) enlist(s *member, takes bool) {
	if s.listed == takes {
		return
	}
	s.listed = takes
	in := p.pools[s.upstream.Service]
	if in == nil {
		in = &pool{}
		p.pools[s.upstream.Service] = in
	}
	if takes {
		s.ours = p.owns(s)
		in.add(s)
		return
	}
	in.remove(s)
}

// owns tells that an upstream belongs to this host's cell.
func (p *Placer) owns(s *member) bool {
	return s.near && s.hash%uint64(max(p.cells, 1)) == uint64(p.cell)
}

// divide works out anew which upstreams belong to this host's cell; p.mu is held.
func (p *Placer) divide() {
	for _, s := range p.members {
		s.ours = p.owns(s)
	}
	for _, in := range p.pools {
		in.near = in.near[:0]
		for _, s := range in.all {
			in.addNear(s)
		}
	}
}

func (l *pool) add(s *member) {
	s.place = len(l.all)
	l.all = append(l.all, s)
	l.added = append(l.added, s)
	l.addNear(s)
}

func (l *pool) addNear(s *member) {
	if s.ours {
		s.nearPlace = len(l.near)
		l.near = append(l.near, s)
	}
}

func (l *pool) remove(s *member) {
	last := l.all[len(l.all)-1]
	l.all[s.place], last.place = last, s.place
	l.all = l.all[:len(l.all)-1]
	if s.ours {
		last = l.near[len(l.near)-1]
		l.near[s.nearPlace], last.nearPlace = last, s.nearPlace
		l.near = l.near[:len(l.near)-1]
	}
	if i := slices.Index(l.added, s); i >= 0 {
		l.added = slices.Delete(l.added, i, i+1)
		return
	}
	at, _ := slices.BinarySearchFunc(l.ring, s.hash, byHash)
	if i := slices.Index(l.ring[at:], s); i >= 0 {
		l.ring = slices.Delete(l.ring, at+i, at+i+1)
	}
}

func byHash(s *member, hash uint64) int { return cmp.Compare(s.hash, hash) }

// fewAdded is the number up to which upstreams are put into the ring one by one.
const fewAdded = 64

// settle puts what was added into the ring.
func (l *pool) settle() {
	if len(l.added) > fewAdded {
		l.ring = append(l.ring, l.added...)
		slices.SortFunc(l.ring, func(a, b *member) int { return cmp.Compare(a.hash, b.hash) })
	} else {
		for _, s := range l.added {
			at, _ := slices.BinarySearchFunc(l.ring, s.hash, byHash)
			l.ring = slices.Insert(l.ring, at, s)
		}
	}
	l.added = l.added[:0]
}

// homes returns the two upstreams that a part belongs to: those that follow its place on the ring
// of all hashes.
func (l *pool) homes(key PartKey) (first, second *member) {
	l.settle()
	if len(l.ring) == 0 {
		return nil, nil
	}
	at, _ := slices.BinarySearchFunc(l.ring, rendezvous(key, 0), byHash)
	return l.ring[at%len(l.ring)], l.ring[(at+1)%len(l.ring)]
}

// look returns what is known of an upstream's load; p.mu is held.
func (p *Placer) look(s *member) *target {
	if s.target == nil {
		s.target = p.newTarget(s)
		p.targets[s.key] = s.target
		for _, w := range p.peers {
			s.target.peers.add(w.work[s.key])
		}
	}
	return s.target
}

// of returns what is known of the load of a start of an upstream; nil if there is none.
func (p *Placer) of(start string) *target {
	if t := p.targets[start]; t != nil {
		return t
	}
	for _, id := range []string{follower.IDOf(start), start} {
		if s := p.members[id]; s != nil && s.key == start {
			return p.look(s)
		}
	}
	return nil
}
