// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"container/heap"
	"container/list"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/keeper"
)

// world is the virtual time of a simulation of decisions.
type world struct {
	now   time.Duration
	queue eventHeap
	seq   int
}

type event struct {
	at  time.Duration
	seq int
	f   func()
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

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + max(d, 0), seq: w.seq, f: f})
}

// until runs what falls due before a time.
func (w *world) until(t time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= t {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.f()
	}
	w.now = t
}

// job is a request at an engine.
type job struct {
	turn     *turn
	rank     int
	seq      int
	restore  int // restore is the number of leading tokens that the host wants restored.
	left     int // left is the number of prompt tokens to compute.
	reused   int
	onFirst  func()
	onFinish func()
}

// simEngine is an engine of the simulation: slots, a prefill that serves in
// chunks by rank, a prefix cache with least recently used eviction, and a store
// behind a link.
type simEngine struct {
	world *world
	spec  *Spec
	id    int
	zone  int
	down  bool

	running int
	waiting []*job
	prefill []*job
	busy    bool
	seq     int

	cached map[int]*list.Element // cached is by conversation.
	order  *list.List
	used   int
	kept   map[int]int // kept is the number of tokens of each conversation in the store.

	linkFree time.Duration
	linkBusy time.Duration
	computed int
}

type cacheEntry struct {
	conv   int
	tokens int
}

const prefillChunk = 2048

func newSimEngine(w *world, spec *Spec, id int) *simEngine {
	return &simEngine{world: w, spec: spec, id: id, zone: id % spec.Zones, cached: make(map[int]*list.Element), order: list.New(), kept: make(map[int]int)}
}

// cachedTokens returns how much of a conversation is in accelerator memory.
func (e *simEngine) cachedTokens(conv int) int {
	if el := e.cached[conv]; el != nil {
		return el.Value.(*cacheEntry).tokens
	}
	return 0
}

// backlog returns the number of prompt tokens not yet computed.
func (e *simEngine) backlog() int {
	n := 0
	for _, j := range e.prefill {
		n += j.left
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
		e.begin(j)
		return
	}
	e.waiting = append(e.waiting, j)
}

// next takes the most urgent job out of a list.
func next(list []*job) (int, *job) {
	best := 0
	for i, j := range list {
		if j.rank < list[best].rank || j.rank == list[best].rank && j.seq < list[best].seq {
			best = i
		}
	}
	return best, list[best]
}

func (e *simEngine) begin(j *job) {
	e.running++
	t := j.turn
	hit := min(e.cachedTokens(t.conv.id), t.tokens) / keeper.TokensPerBlock * keeper.TokensPerBlock
	restore := min(j.restore, e.kept[t.conv.id], t.tokens)
	j.reused = max(hit, restore)
	j.left = t.tokens - j.reused
	wait := time.Duration(0)
	if restore > hit {
		wait = e.useLink(restore - hit)
	}
	e.world.after(wait, func() {
		e.prefill = append(e.prefill, j)
		e.work()
	})
}

// useLink moves tokens over the link and returns when they have arrived.
func (e *simEngine) useLink(tokens int) time.Duration {
	d := time.Duration(float64(tokens) * e.spec.TokenBytes / e.spec.LinkRate * float64(time.Second))
	e.linkFree = max(e.linkFree, e.world.now) + d
	e.linkBusy += d
	return e.linkFree - e.world.now
}

// work computes the next chunk of the most urgent prompt.
func (e *simEngine) work() {
	if e.busy || len(e.prefill) == 0 {
		return
	}
	e.busy = true
	_, j := next(e.prefill)
	chunk := min(j.left, prefillChunk)
	e.world.after(time.Duration(float64(chunk)/e.spec.Prefill*float64(time.Second)), func() {
		e.busy = false
		j.left -= chunk
		e.computed += chunk
		if j.left == 0 {
			i := slices.Index(e.prefill, j)
			e.prefill = slices.Delete(e.prefill, i, i+1)
			e.first(j)
		}
		e.work()
	})
}

func (e *simEngine) first(j *job) {
	e.touch(j.turn.conv.id, j.turn.tokens)
	j.onFirst()
	e.world.after(time.Duration(j.turn.answer)*e.spec.Interval, func() {
		e.running--
		e.touch(j.turn.conv.id, j.turn.tokens+j.turn.answer)
		j.onFinish()
		if len(e.waiting) > 0 {
			i, w := next(e.waiting)
			e.waiting = slices.Delete(e.waiting, i, i+1)
			e.begin(w)
		}
	})
}

func (e *simEngine) touch(conv, tokens int) {
	el := e.cached[conv]
	if el == nil {
		el = e.order.PushFront(&cacheEntry{conv: conv})
		e.cached[conv] = el
	}
	c := el.Value.(*cacheEntry)
	e.used += tokens - c.tokens
	c.tokens = tokens
	e.order.MoveToFront(el)
	for e.used > e.spec.Cache {
		last := e.order.Back().Value.(*cacheEntry)
		e.used -= last.tokens
		e.order.Remove(e.order.Back())
		delete(e.cached, last.conv)
	}
}
