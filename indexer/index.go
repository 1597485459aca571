// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package indexer

import (
	"time"
)

// KeptLease is how long a host may refer to segments that an issuer reported, from the time at
// which the host sent its query.
const KeptLease = 3 * time.Second

// maxHolders bounds the number of upstreams recorded for a block.
const maxHolders = 3

// IndexOptions configures an Index.
type IndexOptions struct {
	Capacity int // Capacity bounds the number of entries for accelerator memory; default 1<<20.
}

// Index records which upstreams hold which blocks. It is not safe for concurrent use.
type Index struct {
	opts      IndexOptions
	ids       map[string]uint16
	upstreams []indexUpstream
	hot       map[Name]hotEntry
	kept      map[Name][]keptSegment // kept holds stored segments by last block, at most one per upstream.
	segments  int
	ring      []Name // ring holds the names of hot entries in order of insertion, for eviction.
	ringPos   int
}

type indexUpstream struct {
	name      string
	epoch     uint32    // epoch is incremented when the upstream has lost its memory and store.
	keptUntil time.Time // keptUntil is the time until which stored segments may be used.
}

// hotEntry holds the upstreams that computed a block last.
type hotEntry struct {
	holders [maxHolders]hotHolder
}

type hotHolder struct {
	upstream uint16
	epoch    uint32
	placedAt int64 // placedAt is in nanoseconds of Unix time; 0 marks an unused slot.
}

// keptSegment is a segment in an upstream's store.
type keptSegment struct {
	upstream   uint16
	from       uint16 // from is the number of blocks before the segment.
	generation uint64
	wire       [nameBytes]byte
}

// NewIndex returns an empty index.
func NewIndex(opts IndexOptions) *Index {
	if opts.Capacity == 0 {
		opts.Capacity = 1 << 20
	}
	return &Index{
		opts: opts,
		ids:  make(map[string]uint16),
		hot:  make(map[Name]hotEntry),
		kept: make(map[Name][]keptSegment),
	}
}

// Len returns the number of entries for accelerator memory and of stored segments.
func (x *Index) Len() (hot, kept int) { return len(x.hot), x.segments }

// ID returns the number of an upstream, which is assigned by the first call and never changes.
func (x *Index) ID(upstream string) uint16 {
	id, ok := x.ids[upstream]
	if !ok {
		id = uint16(len(x.upstreams))
		x.ids[upstream] = id
		x.upstreams = append(x.upstreams, indexUpstream{name: upstream})
	}
	return id
}

// Reset removes all blocks of an upstream that was restarted.
func (x *Index) Reset(upstream string) {
	id := x.ID(upstream)
	x.upstreams[id].epoch++
	x.clearKept(id)
}

// AddPlacement records that an upstream has computed a prompt. It inserts the last block and those at
// powers of two, so that lookups of prompts with a shared prefix find a match.
func (x *Index) AddPlacement(now time.Time, upstream string, c Chain) {
	id := x.ID(upstream)
	n := c.Len()
	if n == 0 {
		return
	}
	for p := 1; p < n; p *= 2 {
		x.insertHot(now, id, c.At(p-1))
	}
	x.insertHot(now, id, c.At(n-1))
}

// AddPlacementEnd records a placement by another host, which reports only the last block.
func (x *Index) AddPlacementEnd(now time.Time, upstream string, end Name) {
	x.insertHot(now, x.ID(upstream), end)
}

// insertHot records an upstream as holder of a block, in place of its earlier placement or else
// of the oldest one.
func (x *Index) insertHot(now time.Time, id uint16, name Name) {
	e, ok := x.hot[name]
	if !ok {
		x.pushRing(name)
	}
	oldest := 0
	for i, h := range e.holders {
		if h.placedAt != 0 && h.upstream == id {
			oldest = i
			break
		}
		if h.placedAt < e.holders[oldest].placedAt {
			oldest = i
		}
	}
	e.holders[oldest] = hotHolder{upstream: id, epoch: x.upstreams[id].epoch, placedAt: now.UnixNano()}
	x.hot[name] = e
}

// pushRing adds a name to the ring. If the ring is full, it evicts the oldest name.
func (x *Index) pushRing(name Name) {
	if len(x.ring) < x.opts.Capacity {
		x.ring = append(x.ring, name)
		return
	}
	delete(x.hot, x.ring[x.ringPos])
	x.ring[x.ringPos] = name
	x.ringPos = (x.ringPos + 1) % len(x.ring)
}

// KeptSegment is a stored segment as reported by an issuer.
type KeptSegment struct {
	Upstream   string
	Wire       [16]byte // Wire is the raw name of the last block.
	Generation uint64
	From       int // From is the number of blocks before the segment.
}

// SetKept adds or replaces a stored segment.
func (x *Index) SetKept(k KeptSegment) {
	id, name := x.ID(k.Upstream), shortName(k.Wire)
	seg := keptSegment{upstream: id, generation: k.Generation, from: uint16(k.From), wire: k.Wire}
	list := x.kept[name]
	for i := range list {
		if list[i].upstream == id {
			list[i] = seg
			return
		}
	}
	x.kept[name] = append(list, seg)
	x.segments++
}

// RemoveKept removes a stored segment.
func (x *Index) RemoveKept(upstream string, wire [16]byte) {
	x.removeSegment(shortName(wire), x.ID(upstream))
}

func (x *Index) removeSegment(name Name, id uint16) {
	list := x.kept[name]
	for i := range list {
		if list[i].upstream != id {
			continue
		}
		x.segments--
		if len(list) == 1 {
			delete(x.kept, name)
			return
		}
		x.kept[name] = append(list[:i], list[i+1:]...)
		return
	}
}

// ClearKept removes all stored segments of an upstream.
func (x *Index) ClearKept(upstream string) { x.clearKept(x.ID(upstream)) }

func (x *Index) clearKept(id uint16) {
	for name := range x.kept {
		x.removeSegment(name, id)
	}
}

// findSegment returns the stored segment of an upstream that ends with a block.
func (x *Index) findSegment(name Name, id uint16) (keptSegment, bool) {
	for _, s := range x.kept[name] {
		if s.upstream == id {
			return s, true
		}
	}
	return keptSegment{}, false
}

// ExtendLease allows the stored segments of an upstream to be used until a time.
func (x *Index) ExtendLease(upstream string, until time.Time) {
	u := &x.upstreams[x.ID(upstream)]
	if until.After(u.keptUntil) {
		u.keptUntil = until
	}
}

// Match is the part of a prompt that one upstream is estimated to hold.
type Match struct {
	Upstream uint16
	Cached   int // Cached is the number of leading blocks in accelerator memory.
	Kept     int // Kept is the number of leading blocks in the store.
}

// Lookup is the result of Index.Lookup. It may be reused.
type Lookup struct {
	Matches []Match
	Known   int // Known is the number of leading blocks that some upstream has computed before.
}

// Lookup fills l with the matches for a prompt, the longest first.
func (x *Index) Lookup(now time.Time, c Chain, l *Lookup) {
	l.Matches, l.Known = l.Matches[:0], 0
	for i := c.Len() - 1; i >= 0; i-- {
		name := c.At(i)
		if e, ok := x.hot[name]; ok {
			l.Known = max(l.Known, i+1)
			for _, h := range e.holders {
				if h.placedAt != 0 && h.epoch == x.upstreams[h.upstream].epoch {
					l.addCached(h.upstream, i+1)
				}
			}
		}
		for _, s := range x.kept[name] {
			l.Known = max(l.Known, i+1)
			if now.Before(x.upstreams[s.upstream].keptUntil) && x.covers(s.upstream, c, i+1) {
				l.addKept(s.upstream, i+1)
			}
		}
	}
}

func (l *Lookup) addCached(id uint16, blocks int) {
	for i := range l.Matches {
		if l.Matches[i].Upstream == id {
			l.Matches[i].Cached = max(l.Matches[i].Cached, blocks)
			return
		}
	}
	l.Matches = append(l.Matches, Match{Upstream: id, Cached: blocks})
}

// covers reports whether the stored segments of an upstream cover the first n blocks of a prompt.
func (x *Index) covers(id uint16, c Chain, n int) bool {
	for n > 0 {
		s, ok := x.findSegment(c.At(n-1), id)
		if !ok || int(s.from) >= n {
			return false
		}
		n = int(s.from)
	}
	return true
}

func (l *Lookup) addKept(id uint16, blocks int) {
	for i := range l.Matches {
		if l.Matches[i].Upstream == id {
			l.Matches[i].Kept = max(l.Matches[i].Kept, blocks)
			return
		}
	}
	l.Matches = append(l.Matches, Match{Upstream: id, Kept: blocks})
}

// Ref identifies a segment in an order to restore or to free it.
type Ref struct {
	Wire       [16]byte
	Generation uint64
}

// Segments returns the stored segments of an upstream that cover the first n blocks of a prompt,
// in order; nil if there are none or they may no longer be used.
func (x *Index) Segments(now time.Time, upstream string, c Chain, n int) []Ref {
	id := x.ID(upstream)
	if now.After(x.upstreams[id].keptUntil) || !x.covers(id, c, n) {
		return nil
	}
	var refs []Ref
	for n > 0 {
		s, _ := x.findSegment(c.At(n-1), id)
		refs = append(refs, Ref{Wire: s.wire, Generation: s.generation})
		n = int(s.from)
	}
	for i, j := 0, len(refs)-1; i < j; i, j = i+1, j-1 {
		refs[i], refs[j] = refs[j], refs[i]
	}
	return refs
}

// KeptBlocks returns the number of leading blocks of a prompt in an upstream's store.
func (x *Index) KeptBlocks(upstream string, c Chain) int {
	id := x.ID(upstream)
	for i := c.Len() - 1; i >= 0; i-- {
		if _, ok := x.findSegment(c.At(i), id); ok && x.covers(id, c, i+1) {
			return i + 1
		}
	}
	return 0
}
