// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package keeper

import (
	"sort"
	"time"
)

// SegmentState is the state of a segment in a store.
type SegmentState string

// The states of a segment.
const (
	SegmentWriting SegmentState = "Writing" // SegmentWriting is being exported.
	SegmentSealed  SegmentState = "Sealed"  // SegmentSealed is whole and may be offered.
	SegmentFreeing SegmentState = "Freeing" // SegmentFreeing is no longer offered and waits for its last readers.
	SegmentFreed   SegmentState = "Freed"   // SegmentFreed was ordered to be freed.
)

// Turn is the end of one turn of a conversation: a prompt that an upstream has
// just computed.
type Turn struct {
	Upstream string
	Blocks   [][16]byte // Blocks are the names of the blocks that are not kept yet.
	From     int        // From is the number of blocks before them.
	Parent   [16]byte   // Parent is the name of the block before them, if From is not 0.
	Chance   float64    // Chance is the estimated chance that the conversation returns.
}

// StoreOptions set up the plan for one upstream.
type StoreOptions struct {
	Capacity    int           // Capacity is the size of the store in blocks; 0 keeps nothing.
	BlockBytes  float64       // BlockBytes is the size of a kept block.
	LinkRate    float64       // LinkRate is of the link to the store, in bytes per second.
	ExportShare float64       // ExportShare is the part of the link that exports may take; default 0.3.
	LongestRead time.Duration // LongestRead bounds the time from a request's dispatch to the end of its import; default LongestWait and 7 s.
	LeastChance float64       // LeastChance is the chance of return below which nothing is exported; default 0.05.
}

// LongestWait is how long a request may wait at an upstream before its import
// begins; later it is computed without.
const LongestWait = 5 * time.Second

// deliveryAndImport bounds the way of a request to an upstream and the import
// itself.
const deliveryAndImport = 7 * time.Second

// Bounds of a plan.
const (
	maxQueued     = 512              // maxQueued bounds the turns that wait for their export.
	exportTimeout = 30 * time.Second // exportTimeout is when an export that was not sealed is given up.
	freeAgain     = 5 * time.Second  // freeAgain is when an order to free is repeated.
	halfLife      = 24 * time.Hour   // halfLife is the age at which a segment's value has halved.
)

// Store is the plan of an issuer for one upstream's store. It is a state
// machine without clock or I/O.
type Store struct {
	opts     StoreOptions
	segments map[[16]byte]*segment
	writing  map[[16]byte]struct{} // writing are the segments that are being exported.
	leaving  map[[16]byte]struct{} // leaving are the segments that are freeing or freed.
	leavingN int                   // leavingN is the number of blocks of those.
	queue    []queuedTurn
	used     int // used is the number of blocks of all segments that are not freed.
	nextFree time.Time
	changes  []Change
	version  uint64
}

type segment struct {
	state      SegmentState
	generation uint64
	blocks     int
	from       int
	parent     [16]byte
	children   int
	chance     float64
	at         time.Time // at is when the state was entered.
	used       time.Time // used is when the segment was exported or last asked for.
	ordered    time.Time // ordered is when it was last ordered to be freed.
}

type queuedTurn struct {
	turn  Turn
	value float64
	at    time.Time
}

// Change is one change of the segments that may be offered.
type Change struct {
	Version uint64
	Removed bool
	Kept    Kept
}

// NewStore returns the plan for an empty store.
func NewStore(opts StoreOptions) *Store {
	if opts.ExportShare == 0 {
		opts.ExportShare = 0.3
	}
	if opts.LongestRead == 0 {
		opts.LongestRead = LongestWait + deliveryAndImport
	}
	if opts.LeastChance == 0 {
		opts.LeastChance = 0.05
	}
	return &Store{
		opts:     opts,
		segments: make(map[[16]byte]*segment),
		writing:  make(map[[16]byte]struct{}),
		leaving:  make(map[[16]byte]struct{}),
	}
}

// Replace begins the plan anew with another's options, because the store was
// read anew. Versions go on, so that hosts are told all.
func (s *Store) Replace(fresh *Store) {
	version := s.version
	queue := s.queue
	*s = *fresh
	s.version = version + 1
	s.queue = queue
}

// Used returns the number of blocks in the store, as far as is known.
func (s *Store) Used() int { return s.used }

// Len returns the number of segments.
func (s *Store) Len() int { return len(s.segments) }

// Version returns the number of the newest change.
func (s *Store) Version() uint64 { return s.version }

// Turn puts the end of a turn in the queue for export. The value of a turn is
// the computing that it is expected to save for each byte over the link.
func (s *Store) Turn(now time.Time, t Turn) {
	if len(t.Blocks) == 0 || t.Chance < s.opts.LeastChance || s.opts.Capacity == 0 {
		return
	}
	end := t.Blocks[len(t.Blocks)-1]
	if seg := s.segments[end]; seg != nil {
		seg.used = now
		return
	}
	if parent := s.segments[t.Parent]; t.From > 0 && (parent == nil || parent.state != SegmentSealed) {
		return // its head is not kept any more
	} else if parent != nil {
		parent.used = now
	}
	s.queue = append(s.queue, queuedTurn{turn: t, value: t.Chance, at: now})
	if len(s.queue) > maxQueued {
		sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].value > s.queue[j].value })
		s.queue = s.queue[:maxQueued]
	}
}

// Plan is what to order an upstream to do.
type Plan struct {
	Export []Export
	Free   []Ref
}

// Export is a run of blocks that is to become a segment.
type Export struct {
	Blocks [][16]byte
	From   int      // From is the number of blocks before the run.
	Parent [16]byte // Parent is the name of the block before the run, if From is not 0.
}

// Tick returns what to order now.
func (s *Store) Tick(now time.Time) Plan {
	var p Plan
	s.giveUp(now)
	s.makeRoom(now)
	p.Free = s.freeable(now)
	if !now.Before(s.nextFree) {
		if e, ok := s.nextExport(now); ok {
			p.Export = append(p.Export, e)
		}
	}
	return p
}

// giveUp drops exports that were never sealed: the blocks were evicted first.
func (s *Store) giveUp(now time.Time) {
	for name := range s.writing {
		if seg := s.segments[name]; now.Sub(seg.at) > exportTimeout {
			s.drop(name, seg)
		}
	}
}

// nextExport takes the most valuable turn and gives the link time to carry it
// at the share for exports.
func (s *Store) nextExport(now time.Time) (Export, bool) {
	best := -1
	for i, q := range s.queue {
		if now.Sub(q.at) > exportTimeout {
			continue
		}
		if best < 0 || q.value > s.queue[best].value {
			best = i
		}
	}
	if best < 0 {
		s.queue = nil
		return Export{}, false
	}
	t := s.queue[best].turn
	s.queue = append(s.queue[:best], s.queue[best+1:]...)
	n := len(t.Blocks)
	end := t.Blocks[n-1]
	if s.segments[end] != nil || s.used+n > s.opts.Capacity {
		return Export{}, false
	}
	if parent := s.segments[t.Parent]; t.From > 0 {
		if parent == nil || parent.state != SegmentSealed {
			return Export{}, false
		}
		parent.children++
	}
	s.segments[end] = &segment{state: SegmentWriting, blocks: n, from: t.From, parent: t.Parent, chance: t.Chance, at: now, used: now}
	s.writing[end] = struct{}{}
	s.used += n
	if rate := s.opts.LinkRate * s.opts.ExportShare; rate > 0 {
		s.nextFree = now.Add(time.Duration(float64(n) * s.opts.BlockBytes / rate * float64(time.Second)))
	}
	return Export{Blocks: t.Blocks, From: t.From, Parent: t.Parent}, true
}

// Above the high water mark of a store segments are freed down to the low one.
const (
	highWater = 0.95
	lowWater  = 0.90
)

// makeRoom begins to free the least valuable segments when the store is nearly
// full. A segment on which others rest is not freed before them.
func (s *Store) makeRoom(now time.Time) {
	if float64(s.used-s.leavingN) <= highWater*float64(s.opts.Capacity) {
		return
	}
	over := s.used - s.leavingN - int(lowWater*float64(s.opts.Capacity))
	type candidate struct {
		name  [16]byte
		seg   *segment
		value float64
	}
	var list []candidate
	for name, seg := range s.segments {
		if seg.state == SegmentSealed && seg.children == 0 {
			list = append(list, candidate{name, seg, seg.value(now)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].value != list[j].value {
			return list[i].value < list[j].value
		}
		return string(list[i].name[:]) < string(list[j].name[:])
	})
	for _, c := range list {
		if over <= 0 {
			return
		}
		over -= c.seg.blocks
		c.seg.state, c.seg.at = SegmentFreeing, now
		s.leaving[c.name] = struct{}{}
		s.leavingN += c.seg.blocks
		s.change(true, c.name, c.seg)
	}
}

// value is the chance that a segment is still asked for.
func (g *segment) value(now time.Time) float64 {
	age := now.Sub(g.used).Seconds() / halfLife.Seconds()
	return g.chance / (1 + age)
}

// freeable returns the segments that nobody can refer to any more.
func (s *Store) freeable(now time.Time) []Ref {
	var refs []Ref
	for name := range s.leaving {
		seg := s.segments[name]
		switch {
		case seg.state == SegmentFreeing && now.Sub(seg.at) >= KeptLease+s.opts.LongestRead:
			seg.state = SegmentFreed
		case seg.state == SegmentFreed && now.Sub(seg.ordered) >= freeAgain:
		default:
			continue
		}
		seg.ordered = now
		refs = append(refs, Ref{Wire: name, Generation: seg.generation})
	}
	return refs
}

// Sealed takes the word of an upstream that a segment is whole. A segment that
// this plan does not know, left by an issuer before it, is taken over; its head
// is told by From only if it begins at the first block.
func (s *Store) Sealed(now time.Time, name [16]byte, generation uint64, blocks, from int, parent [16]byte) {
	seg := s.segments[name]
	if seg == nil {
		seg = &segment{blocks: blocks, from: from, parent: parent, chance: s.opts.LeastChance, used: now}
		s.segments[name] = seg
		s.used += blocks
		if p := s.segments[parent]; p != nil && from > 0 {
			p.children++
		}
	}
	if seg.state == SegmentFreeing || seg.state == SegmentFreed {
		return
	}
	delete(s.writing, name)
	seg.state, seg.generation, seg.at = SegmentSealed, generation, now
	s.change(false, name, seg)
}

// Gone takes the word of an upstream that a segment is no longer in its store.
func (s *Store) Gone(name [16]byte, generation uint64) {
	seg := s.segments[name]
	if seg == nil || seg.generation != generation {
		return
	}
	if seg.state == SegmentSealed {
		s.change(true, name, seg)
	}
	s.drop(name, seg)
}

func (s *Store) drop(name [16]byte, seg *segment) {
	delete(s.segments, name)
	delete(s.writing, name)
	if _, ok := s.leaving[name]; ok {
		delete(s.leaving, name)
		s.leavingN -= seg.blocks
	}
	s.used -= seg.blocks
	if p := s.segments[seg.parent]; p != nil && seg.from > 0 {
		p.children--
	}
}

// maxChanges bounds the changes that are remembered for hosts that ask.
const maxChanges = 8192

func (s *Store) change(removed bool, name [16]byte, seg *segment) {
	s.version++
	s.changes = append(s.changes, Change{
		Version: s.version,
		Removed: removed,
		Kept:    Kept{Wire: name, Generation: seg.generation, From: seg.from},
	})
	if len(s.changes) > maxChanges {
		s.changes = append([]Change(nil), s.changes[len(s.changes)-maxChanges/2:]...)
	}
}

// Since returns the changes after a version; full tells that they are all
// segments instead, because the changes are not remembered so far back.
func (s *Store) Since(version uint64) (changes []Change, full bool) {
	if version > s.version || version < s.version && (len(s.changes) == 0 || s.changes[0].Version > version+1) {
		for name, seg := range s.segments {
			if seg.state == SegmentSealed {
				changes = append(changes, Change{Version: s.version, Kept: Kept{Wire: name, Generation: seg.generation, From: seg.from}})
			}
		}
		return changes, true
	}
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > version })
	return s.changes[i:], false
}
