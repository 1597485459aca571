// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/indexer"
)

// eventLoop runs scheduled functions in virtual time.
type eventLoop struct {
	now   time.Duration
	queue eventHeap
	seq   int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// after schedules f to run after d.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.queue, event{at: l.now + max(d, 0), seq: l.seq, run: f})
}

// runUntil runs all functions that are due by t.
func (l *eventLoop) runUntil(t time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= t {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
	}
	l.now = t
}

// job is a request at an engine.
type job struct {
	turn      *turn
	rank      int
	seq       int
	restore   int // leading prompt tokens to restore from the store
	remaining int // prompt tokens still to compute
	reused    int
	onFirst   func()
	onFinish  func()
}

// simEngine simulates an engine with slots, a chunked prefill in order of rank,
// an LRU prefix cache, and a store behind a link.
type simEngine struct {
	loop *eventLoop
	spec *Spec
	id   int
	zone int
	down bool

	running      int
	waiting      []*job
	prefillQueue []*job
	prefilling   bool
	seq          int

	cached       map[int]*list.Element // by conversation; values are *cacheEntry
	lru          *list.List
	used         int
	storedTokens map[int]int // tokens in the store by conversation

	linkFree time.Duration
	linkBusy time.Duration
	computed int
}

type cacheEntry struct {
	conv   int
	tokens int
}

const prefillChunkTokens = 2048

func newSimEngine(loop *eventLoop, spec *Spec, id int) *simEngine {
	return &simEngine{
		loop: loop, spec: spec, id: id, zone: id % spec.Zones,
		cached: make(map[int]*list.Element), lru: list.New(), storedTokens: make(map[int]int),
	}
}

// cachedTokens returns the tokens of a conversation in accelerator memory.
func (e *simEngine) cachedTokens(conv int) int {
	if el := e.cached[conv]; el != nil {
		return el.Value.(*cacheEntry).tokens
	}
	return 0
}

// pendingTokens returns the number of prompt tokens not yet computed.
func (e *simEngine) pendingTokens() int {
	n := 0
	for _, j := range e.prefillQueue {
		n += j.remaining
	}
	for _, j := range e.waiting {
		n += j.turn.tokens
	}
	return n
}

func (e *simEngine) submit(j *job) {
	e.seq++
	j.seq = e.seq
	if e.running < e.spec.Slots {
		e.start(j)
		return
	}
	e.waiting = append(e.waiting, j)
}

// mostUrgent returns the job with the lowest rank, the oldest of these, and its
// index. The list must not be empty.
func mostUrgent(list []*job) (int, *job) {
	best := 0
	for i, j := range list {
		if j.rank < list[best].rank || j.rank == list[best].rank && j.seq < list[best].seq {
			best = i
		}
	}
	return best, list[best]
}

func (e *simEngine) start(j *job) {
	e.running++
	t := j.turn
	hit := min(e.cachedTokens(t.conv.id), t.tokens) / indexer.TokensPerBlock * indexer.TokensPerBlock
	restore := min(j.restore, e.storedTokens[t.conv.id], t.tokens)
	j.reused = max(hit, restore)
	j.remaining = t.tokens - j.reused
	wait := time.Duration(0)
	if restore > hit {
		wait = e.transfer(restore - hit)
	}
	e.loop.after(wait, func() {
		e.prefillQueue = append(e.prefillQueue, j)
		e.runPrefill()
	})
}

// transfer sends tokens over the link and returns the time until they arrive.
func (e *simEngine) transfer(tokens int) time.Duration {
	d := time.Duration(float64(tokens) * e.spec.BytesPerToken / e.spec.LinkRate * float64(time.Second))
	e.linkFree = max(e.linkFree, e.loop.now) + d
	e.linkBusy += d
	return e.linkFree - e.loop.now
}

// runPrefill computes the next chunk of the most urgent prompt.
func (e *simEngine) runPrefill() {
	if e.prefilling || len(e.prefillQueue) == 0 {
		return
	}
	e.prefilling = true
	_, j := mostUrgent(e.prefillQueue)
	chunk := min(j.remaining, prefillChunkTokens)
	e.loop.after(time.Duration(float64(chunk)/e.spec.PrefillRate*float64(time.Second)), func() {
		e.prefilling = false
		j.remaining -= chunk
		e.computed += chunk
		if j.remaining == 0 {
			i := slices.Index(e.prefillQueue, j)
			e.prefillQueue = slices.Delete(e.prefillQueue, i, i+1)
			e.startDecode(j)
		}
		e.runPrefill()
	})
}

// startDecode delivers the first token and schedules the end of the answer.
func (e *simEngine) startDecode(j *job) {
	e.cachePrefix(j.turn.conv.id, j.turn.tokens)
	j.onFirst()
	e.loop.after(time.Duration(j.turn.answer)*e.spec.TokenInterval, func() {
		e.running--
		e.cachePrefix(j.turn.conv.id, j.turn.tokens+j.turn.answer)
		j.onFinish()
		if len(e.waiting) > 0 {
			i, w := mostUrgent(e.waiting)
			e.waiting = slices.Delete(e.waiting, i, i+1)
			e.start(w)
		}
	})
}

// cachePrefix caches tokens of a conversation and evicts the least recently
// used conversations beyond the capacity.
func (e *simEngine) cachePrefix(conv, tokens int) {
	el := e.cached[conv]
	if el == nil {
		el = e.lru.PushFront(&cacheEntry{conv: conv})
		e.cached[conv] = el
	}
	c := el.Value.(*cacheEntry)
	e.used += tokens - c.tokens
	c.tokens = tokens
	e.lru.MoveToFront(el)
	for e.used > e.spec.CacheTokens {
		last := e.lru.Back().Value.(*cacheEntry)
		e.used -= last.tokens
		e.lru.Remove(e.lru.Back())
		delete(e.cached, last.conv)
	}
}
