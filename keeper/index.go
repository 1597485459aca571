// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package keeper

import (
	"time"
)

// KeptLease is how long a host may use what an issuer told it, from the moment
// it asked.
const KeptLease = 3 * time.Second

// maxHolders bounds the upstreams that are remembered for one block.
const maxHolders = 3

// IndexOptions set up an index.
type IndexOptions struct {
	Capacity int // Capacity bounds the entries for accelerator memory; default 1<<20.
}

// Index is what one host knows of what upstreams hold. It is not safe for
// concurrent use.
type Index struct {
	opts      IndexOptions
	ids       map[string]uint16
	upstreams []indexUpstream
	hot       map[Name]hotEntry
	kept      map[Name][]keptSpan // kept has the segments that end with a block, one for each upstream.
	segments  int
	ring      []Name // ring holds the names of hot entries in order of their making, for eviction.
	next      int
}

type indexUpstream struct {
	name      string
	epoch     uint32    // epoch grows when all that an upstream held is gone.
	keptUntil time.Time // keptUntil is until when kept segments may be offered.
}

// hotEntry says which upstreams computed a block last.
type hotEntry struct {
	holders [maxHolders]hotHolder
}

type hotHolder struct {
	upstream uint16
	epoch    uint32
	at       int64 // at is in nanoseconds of Unix time; 0 marks a free place.
}

type keptSpan struct {
	upstream   uint16
	from       uint16 // from is the number of blocks before the segment.
	generation uint64
	wire       [nameBytes]byte
}

// NewIndex returns an index that knows nothing.
func NewIndex(opts IndexOptions) *Index {
	if opts.Capacity == 0 {
		opts.Capacity = 1 << 20
	}
	return &Index{opts: opts, ids: make(map[string]uint16), hot: make(map[Name]hotEntry), kept: make(map[Name][]keptSpan)}
}

// Len returns the number of entries for accelerator memory and for stores.
func (x *Index) Len() (hot, kept int) { return len(x.hot), x.segments }

// ID returns the number of an upstream, which stays the same for the life of
// the index.
func (x *Index) ID(upstream string) uint16 {
	id, ok := x.ids[upstream]
	if !ok {
		id = uint16(len(x.upstreams))
		x.ids[upstream] = id
		x.upstreams = append(x.upstreams, indexUpstream{name: upstream})
	}
	return id
}

// Reset forgets all that an upstream held: it was started anew.
func (x *Index) Reset(upstream string) {
	id := x.ID(upstream)
	x.upstreams[id].epoch++
	x.clearKept(id)
}

// Placed notes that an upstream has computed a prompt. Its last block and those
// at powers of two are entered, so that prompts that share a head are found.
func (x *Index) Placed(now time.Time, upstream string, c Chain) {
	id := x.ID(upstream)
	n := c.Len()
	if n == 0 {
		return
	}
	for p := 1; p < n; p *= 2 {
		x.enter(now, id, c.At(p-1))
	}
	x.enter(now, id, c.At(n-1))
}

// PlacedEnd notes a placement of which another host told only the last block.
func (x *Index) PlacedEnd(now time.Time, upstream string, end Name) {
	x.enter(now, x.ID(upstream), end)
}

func (x *Index) enter(now time.Time, id uint16, name Name) {
	e, ok := x.hot[name]
	if !ok {
		x.makeRoom(name)
	}
	oldest := 0
	for i, h := range e.holders {
		if h.at != 0 && h.upstream == id {
			oldest = i
			break
		}
		if h.at < e.holders[oldest].at {
			oldest = i
		}
	}
	e.holders[oldest] = hotHolder{upstream: id, epoch: x.upstreams[id].epoch, at: now.UnixNano()}
	x.hot[name] = e
}

// makeRoom puts a new name into the ring and drops the one it replaces.
func (x *Index) makeRoom(name Name) {
	if len(x.ring) < x.opts.Capacity {
		x.ring = append(x.ring, name)
		return
	}
	delete(x.hot, x.ring[x.next])
	x.ring[x.next] = name
	x.next = (x.next + 1) % len(x.ring)
}

// Kept is one segment as an issuer tells it.
type Kept struct {
	Upstream   string
	Wire       [16]byte // Wire is the name of its last block.
	Generation uint64
	From       int // From is the number of blocks before it.
}

// SetKept adds or replaces a segment.
func (x *Index) SetKept(k Kept) {
	id, name := x.ID(k.Upstream), nameOf(k.Wire)
	span := keptSpan{upstream: id, generation: k.Generation, from: uint16(k.From), wire: k.Wire}
	list := x.kept[name]
	for i := range list {
		if list[i].upstream == id {
			list[i] = span
			return
		}
	}
	x.kept[name] = append(list, span)
	x.segments++
}

// RemoveKept drops a segment.
func (x *Index) RemoveKept(upstream string, wire [16]byte) {
	x.remove(nameOf(wire), x.ID(upstream))
}

func (x *Index) remove(name Name, id uint16) {
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

// ClearKept drops all segments of an upstream.
func (x *Index) ClearKept(upstream string) { x.clearKept(x.ID(upstream)) }

func (x *Index) clearKept(id uint16) {
	for name := range x.kept {
		x.remove(name, id)
	}
}

// span returns the segment of an upstream that ends with a block.
func (x *Index) span(name Name, id uint16) (keptSpan, bool) {
	for _, s := range x.kept[name] {
		if s.upstream == id {
			return s, true
		}
	}
	return keptSpan{}, false
}

// Refresh allows an upstream's segments to be offered until a time.
func (x *Index) Refresh(upstream string, until time.Time) {
	u := &x.upstreams[x.ID(upstream)]
	if until.After(u.keptUntil) {
		u.keptUntil = until
	}
}

// Found is what one upstream is believed to hold of a prompt.
type Found struct {
	Upstream uint16
	Cached   int // Cached is the number of leading blocks that it computed last.
	Kept     int // Kept is the number of leading blocks in memory and store together.
}

// Lookup is the answer of an index about one prompt. It may be reused.
type Lookup struct {
	Found []Found
	Known int // Known is the number of leading blocks that were computed before.
}

// Lookup fills l with what is known of a prompt, the longest match first.
func (x *Index) Lookup(now time.Time, c Chain, l *Lookup) {
	l.Found, l.Known = l.Found[:0], 0
	for i := c.Len() - 1; i >= 0; i-- {
		name := c.At(i)
		if e, ok := x.hot[name]; ok {
			l.Known = max(l.Known, i+1)
			for _, h := range e.holders {
				if h.at != 0 && h.epoch == x.upstreams[h.upstream].epoch {
					l.add(h.upstream, i+1)
				}
			}
		}
		for _, s := range x.kept[name] {
			l.Known = max(l.Known, i+1)
			if now.Before(x.upstreams[s.upstream].keptUntil) && x.whole(s.upstream, c, i+1) {
				l.addKept(s.upstream, i+1)
			}
		}
	}
}

func (l *Lookup) add(id uint16, blocks int) {
	for i := range l.Found {
		if l.Found[i].Upstream == id {
			l.Found[i].Cached = max(l.Found[i].Cached, blocks)
			return
		}
	}
	l.Found = append(l.Found, Found{Upstream: id, Cached: blocks})
}

// whole reports whether the segments of an upstream make up the first n blocks.
func (x *Index) whole(id uint16, c Chain, n int) bool {
	for n > 0 {
		s, ok := x.span(c.At(n-1), id)
		if !ok || int(s.from) >= n {
			return false
		}
		n = int(s.from)
	}
	return true
}

func (l *Lookup) addKept(id uint16, blocks int) {
	for i := range l.Found {
		if l.Found[i].Upstream == id {
			l.Found[i].Kept = max(l.Found[i].Kept, blocks)
			return
		}
	}
	l.Found = append(l.Found, Found{Upstream: id, Kept: blocks})
}

// Ref names one generation of a segment for an order to restore it.
type Ref struct {
	Wire       [16]byte
	Generation uint64
}

// Segments returns the segments of an upstream that make up the first n blocks
// of a prompt, in order; nil if they do not, or may not be offered any more.
func (x *Index) Segments(now time.Time, upstream string, c Chain, n int) []Ref {
	id := x.ID(upstream)
	if now.After(x.upstreams[id].keptUntil) || !x.whole(id, c, n) {
		return nil
	}
	var refs []Ref
	for n > 0 {
		s, _ := x.span(c.At(n-1), id)
		refs = append(refs, Ref{Wire: s.wire, Generation: s.generation})
		n = int(s.from)
	}
	for i, j := 0, len(refs)-1; i < j; i, j = i+1, j-1 {
		refs[i], refs[j] = refs[j], refs[i]
	}
	return refs
}

// KeptBlocks returns the number of leading blocks of a prompt that an
// upstream's store has.
func (x *Index) KeptBlocks(upstream string, c Chain) int {
	id := x.ID(upstream)
	for i := c.Len() - 1; i >= 0; i-- {
		if _, ok := x.span(c.At(i), id); ok && x.whole(id, c, i+1) {
			return i + 1
		}
	}
	return 0
}
