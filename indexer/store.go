// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package indexer

import (
	"sort"
	"time"
)

// SegmentState is the state of a segment in a store.
type SegmentState string

// States of a segment.
const (
	SegmentWriting SegmentState = "Writing" // SegmentWriting is a segment that is being exported.
	SegmentSealed  SegmentState = "Sealed"  // SegmentSealed is a complete segment, reported to hosts.
	SegmentFreeing SegmentState = "Freeing" // SegmentFreeing is no longer reported and awaits the end of reads.
	SegmentFreed   SegmentState = "Freed"   // SegmentFreed is a segment with an order to free it.
)

// Turn is a completed turn of a conversation: a prompt that an upstream has just computed.
type Turn struct {
	Upstream string
	Blocks   [][16]byte // Blocks holds the raw names of the blocks that are not in the store yet.
	From     int        // From is the number of blocks before them.
	Parent   [16]byte   // Parent is the name of the block before them, if From is not 0.
	Chance   float64    // Chance is the estimated probability of a next turn.
}

// StoreOptions configures a Store.
type StoreOptions struct {
	Capacity    int     // Capacity is the size of the store in blocks; 0 disables exports.
	BlockBytes  float64 // BlockBytes is the size of a stored block.
	LinkRate    float64 // LinkRate is the rate of the link to the store in bytes per second.
	ExportShare float64 // ExportShare is the share of the link rate for exports; default 0.3.
	// MaxReadTime bounds the time from a request's dispatch to the end of its import; default
	// MaxImportWait plus 7 s.
	MaxReadTime time.Duration
	MinChance   float64 // MinChance is the minimum Turn.Chance for an export; default 0.05.
}

// MaxImportWait bounds the time that a request waits at an upstream before its import begins. After
// a longer wait the upstream computes the prompt instead.
const MaxImportWait = 5 * time.Second

// maxDeliveryAndImport bounds the delivery of a request to an upstream plus the import.
const maxDeliveryAndImport = 7 * time.Second

// Limits of a Store.
const (
	maxQueuedTurns    = 512              // maxQueuedTurns bounds the turns that wait for export.
	exportTimeout     = 30 * time.Second // exportTimeout bounds the time in the queue and of an export.
	freeRetryInterval = 5 * time.Second  // freeRetryInterval is the time between orders to free.
	valueHalfLife     = 24 * time.Hour   // valueHalfLife without use halves a segment's value.
)

// Store plans the contents of one upstream's store. It is a state machine that does no I/O and
// reads no clock. It is not safe for concurrent use.
type Store struct {
	opts          StoreOptions
	segments      map[[16]byte]*segment
	writing       map[[16]byte]struct{} // writing holds the segments that are being exported.
	freeing       map[[16]byte]struct{} // freeing holds the segments in state Freeing or Freed.
	freeingBlocks int                   // freeingBlocks is the number of their blocks.
	queue         []queuedTurn
	used          int // used is the number of blocks of all segments, including those that are being freed.
	linkIdleAt    time.Time
	changes       []Change
	version       uint64
}

type segment struct {
	state         SegmentState
	generation    uint64
	blocks        int
	from          int
	parent        [16]byte
	children      int
	chance        float64
	stateSince    time.Time // stateSince is when the state was entered.
	lastUsed      time.Time // lastUsed is when the segment was exported or last occurred in a turn.
	freeOrderedAt time.Time // freeOrderedAt is when the last order to free it was issued.
}

type queuedTurn struct {
	turn     Turn
	value    float64
	queuedAt time.Time
}

// Change is one change of the set of sealed segments.
type Change struct {
	Version uint64
	Removed bool
	Kept    KeptSegment
}

// NewStore returns a Store without segments.
func NewStore(opts StoreOptions) *Store {
	if opts.ExportShare == 0 {
		opts.ExportShare = 0.3
	}
	if opts.MaxReadTime == 0 {
		opts.MaxReadTime = MaxImportWait + maxDeliveryAndImport
	}
	if opts.MinChance == 0 {
		opts.MinChance = 0.05
	}
	return &Store{
		opts:     opts,
		segments: make(map[[16]byte]*segment),
		writing:  make(map[[16]byte]struct{}),
		freeing:  make(map[[16]byte]struct{}),
	}
}

// Replace replaces the segments and options by those of a new, empty Store, because the contents
// are read again. It retains the queue, increments the version and drops the change history, so
// that hosts receive all segments.
func (s *Store) Replace(fresh *Store) {
	version := s.version
	queue := s.queue
	*s = *fresh
	s.version = version + 1
	s.queue = queue
}

// Used returns the number of blocks in the store.
func (s *Store) Used() int { return s.used }

// Len returns the number of segments.
func (s *Store) Len() int { return len(s.segments) }

// Version returns the version of the latest change.
func (s *Store) Version() uint64 { return s.version }

// QueueTurn queues the blocks of a turn for export, unless they are stored already, the preceding
// segment is not sealed, or a next turn is unlikely.
func (s *Store) QueueTurn(now time.Time, t Turn) {
	if len(t.Blocks) == 0 || t.Chance < s.opts.MinChance || s.opts.Capacity == 0 {
		return
	}
	end := t.Blocks[len(t.Blocks)-1]
	if seg := s.segments[end]; seg != nil {
		seg.lastUsed = now
		return
	}
	if parent := s.segments[t.Parent]; t.From > 0 && (parent == nil || parent.state != SegmentSealed) {
		return // The preceding segment is no longer in the store.
	} else if parent != nil {
		parent.lastUsed = now
	}
	s.queue = append(s.queue, queuedTurn{turn: t, value: t.Chance, queuedAt: now})
	if len(s.queue) > maxQueuedTurns {
		sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].value > s.queue[j].value })
		s.queue = s.queue[:maxQueuedTurns]
	}
}

// Plan holds the orders for an upstream.
type Plan struct {
	Export []Export
	Free   []Ref
}

// Export is a run of blocks to export as one segment.
type Export struct {
	Blocks [][16]byte
	From   int      // From is the number of blocks before the run.
	Parent [16]byte // Parent is the name of the block before the run, if From is not 0.
}

// Tick returns the orders to issue now.
func (s *Store) Tick(now time.Time) Plan {
	var p Plan
	s.dropStaleExports(now)
	s.beginFreeing(now)
	p.Free = s.freeOrders(now)
	if !now.Before(s.linkIdleAt) {
		if e, ok := s.nextExport(now); ok {
			p.Export = append(p.Export, e)
		}
	}
	return p
}

// dropStaleExports removes segments that were not sealed in time, as when the engine evicted
// their blocks first.
func (s *Store) dropStaleExports(now time.Time) {
	for name := range s.writing {
		if seg := s.segments[name]; now.Sub(seg.stateSince) > exportTimeout {
			s.removeSegment(name, seg)
		}
	}
}

// nextExport removes the most valuable turn from the queue and reserves the link for the time that
// its export takes at the rate for exports.
func (s *Store) nextExport(now time.Time) (Export, bool) {
	best := -1
	for i, q := range s.queue {
		if now.Sub(q.queuedAt) > exportTimeout {
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
	s.segments[end] = &segment{
		state:      SegmentWriting,
		blocks:     n,
		from:       t.From,
		parent:     t.Parent,
		chance:     t.Chance,
		stateSince: now,
		lastUsed:   now,
	}
	s.writing[end] = struct{}{}
	s.used += n
	if rate := s.opts.LinkRate * s.opts.ExportShare; rate > 0 {
		s.linkIdleAt = now.Add(time.Duration(float64(n) * s.opts.BlockBytes / rate * float64(time.Second)))
	}
	return Export{Blocks: t.Blocks, From: t.From, Parent: t.Parent}, true
}

// Shares of the capacity: above the high watermark, segments are freed down to the low one.
const (
	highWatermark = 0.95
	lowWatermark  = 0.90
)

// beginFreeing marks the least valuable segments for freeing when the store is nearly full. A
// segment is not freed before those that extend it.
func (s *Store) beginFreeing(now time.Time) {
	if float64(s.used-s.freeingBlocks) <= highWatermark*float64(s.opts.Capacity) {
		return
	}
	excess := s.used - s.freeingBlocks - int(lowWatermark*float64(s.opts.Capacity))
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
		if excess <= 0 {
			return
		}
		excess -= c.seg.blocks
		c.seg.state, c.seg.stateSince = SegmentFreeing, now
		s.freeing[c.name] = struct{}{}
		s.freeingBlocks += c.seg.blocks
		s.recordChange(true, c.name, c.seg)
	}
}

// value is the estimated probability that a segment is used again. It decays with the time since
// the last use.
func (g *segment) value(now time.Time) float64 {
	age := now.Sub(g.lastUsed).Seconds() / valueHalfLife.Seconds()
	return g.chance / (1 + age)
}

// freeOrders returns the segments to free now: those to which requests can no longer refer, and
// those whose order to free must be repeated.
func (s *Store) freeOrders(now time.Time) []Ref {
	var refs []Ref
	for name := range s.freeing {
		seg := s.segments[name]
		switch {
		case seg.state == SegmentFreeing && now.Sub(seg.stateSince) >= KeptLease+s.opts.MaxReadTime:
			seg.state = SegmentFreed
		case seg.state == SegmentFreed && now.Sub(seg.freeOrderedAt) >= freeRetryInterval:
		default:
			continue
		}
		seg.freeOrderedAt = now
		refs = append(refs, Ref{Wire: name, Generation: seg.generation})
	}
	return refs
}

// SegmentReported processes an upstream's report that a segment is complete. It adds a segment that is not
// known, as after a change of the issuer.
func (s *Store) SegmentReported(now time.Time, name [16]byte, generation uint64, blocks, from int, parent [16]byte) {
	seg := s.segments[name]
	if seg == nil {
		seg = &segment{blocks: blocks, from: from, parent: parent, chance: s.opts.MinChance, lastUsed: now}
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
	seg.state, seg.generation, seg.stateSince = SegmentSealed, generation, now
	s.recordChange(false, name, seg)
}

// SegmentRemoved processes an upstream's report that a segment is no longer in its store.
func (s *Store) SegmentRemoved(name [16]byte, generation uint64) {
	seg := s.segments[name]
	if seg == nil || seg.generation != generation {
		return
	}
	if seg.state == SegmentSealed {
		s.recordChange(true, name, seg)
	}
	s.removeSegment(name, seg)
}

func (s *Store) removeSegment(name [16]byte, seg *segment) {
	delete(s.segments, name)
	delete(s.writing, name)
	if _, ok := s.freeing[name]; ok {
		delete(s.freeing, name)
		s.freeingBlocks -= seg.blocks
	}
	s.used -= seg.blocks
	if p := s.segments[seg.parent]; p != nil && seg.from > 0 {
		p.children--
	}
}

// maxChanges bounds the change history.
const maxChanges = 8192

func (s *Store) recordChange(removed bool, name [16]byte, seg *segment) {
	s.version++
	s.changes = append(s.changes, Change{
		Version: s.version,
		Removed: removed,
		Kept:    KeptSegment{Wire: name, Generation: seg.generation, From: seg.from},
	})
	if len(s.changes) > maxChanges {
		s.changes = append([]Change(nil), s.changes[len(s.changes)-maxChanges/2:]...)
	}
}

// Since returns the changes after a version. If the change history does not reach back that far,
// it returns all sealed segments instead and full is true.
func (s *Store) Since(version uint64) (changes []Change, full bool) {
	if version > s.version || version < s.version && (len(s.changes) == 0 || s.changes[0].Version > version+1) {
		for name, seg := range s.segments {
			if seg.state == SegmentSealed {
				changes = append(changes, Change{Version: s.version, Kept: KeptSegment{Wire: name, Generation: seg.generation, From: seg.from}})
			}
		}
		return changes, true
	}
	i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > version })
	return s.changes[i:], false
}
