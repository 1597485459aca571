// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package indexer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 3, 12, 8, 0, 0, 0, time.UTC)

func textOf(blocks int, seed string) string {
	return strings.Repeat(seed+strings.Repeat(".", BlockBytes-len(seed)), blocks)
}

func TestNamesAreKeyed(t *testing.T) {
	text := textOf(3, "a")
	base := NewChain(Salt([]byte("secret"), "w", "m", "v1"), text)
	for _, salt := range []string{
		Salt([]byte("other"), "w", "m", "v1"), Salt([]byte("secret"), "x", "m", "v1"),
		Salt([]byte("secret"), "w", "n", "v1"), Salt([]byte("secret"), "w", "m", "v2"),
		Salt([]byte("secret"), "wm", "", "v1"),
	} {
		c := NewChain(salt, text)
		for i := range c.Len() {
			assert.Assert(t, c.At(i) != base.At(i))
		}
	}
}

func TestExtend(t *testing.T) {
	text := textOf(5, "b") + "rest"
	whole := NewChain("salt", text)
	part := NewChain("salt", text[:2*BlockBytes+10])
	again := part.Extend("salt", text[2*BlockBytes:])
	assert.Equal(t, again.Len(), whole.Len())
	for i := range whole.Len() {
		assert.Equal(t, again.Raw(i), whole.Raw(i))
	}
}

func TestIndex(t *testing.T) {
	x := NewIndex(IndexOptions{})
	c := NewChain("s", textOf(10, "c"))
	longer := NewChain("s", textOf(14, "c"))
	x.AddPlacement(start, "a", c)
	var l Lookup
	x.Lookup(start, longer, &l)
	assert.Equal(t, l.Known, 10)
	assert.DeepEqual(t, l.Matches, []Match{{Upstream: x.ID("a"), Cached: 10}})
	x.Reset("a")
	x.Lookup(start, longer, &l)
	assert.Equal(t, len(l.Matches), 0)
	assert.Equal(t, l.Known, 10) // Reset does not affect which blocks are known.
}

// TestSegmentsRequireLease guards against references to segments after their lease has ended or
// when a preceding segment is missing.
func TestSegmentsRequireLease(t *testing.T) {
	x := NewIndex(IndexOptions{})
	c := NewChain("s", textOf(10, "d"))
	x.SetKept(KeptSegment{Upstream: "a", Wire: c.Raw(3), Generation: 1, From: 0})
	x.SetKept(KeptSegment{Upstream: "a", Wire: c.Raw(7), Generation: 2, From: 4})
	var l Lookup
	x.Lookup(start, c, &l)
	assert.Equal(t, len(l.Matches), 0) // No lease was granted yet.
	x.ExtendLease("a", start.Add(KeptLease))
	x.Lookup(start, c, &l)
	assert.DeepEqual(t, l.Matches, []Match{{Upstream: x.ID("a"), Kept: 8}})
	refs := x.Segments(start, "a", c, 8)
	assert.Equal(t, len(refs), 2)
	assert.Equal(t, refs[0].Generation, uint64(1))
	late := start.Add(KeptLease + 1)
	x.Lookup(late, c, &l)
	assert.Equal(t, len(l.Matches), 0)
	assert.Assert(t, x.Segments(late, "a", c, 8) == nil)
	x.RemoveKept("a", c.Raw(3))
	x.Lookup(start, c, &l)
	assert.Equal(t, len(l.Matches), 0) // The preceding segment is missing.
}

// TestNoReferenceToFreed guards against references to freed segments by hosts that query late,
// lose answers or are paused.
func TestNoReferenceToFreed(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 9))
		st := NewStore(StoreOptions{Capacity: 40, MaxReadTime: 2 * time.Second})
		type host struct {
			index   *Index
			version uint64
			asked   time.Time
		}
		hosts := []*host{{index: NewIndex(IndexOptions{})}, {index: NewIndex(IndexOptions{})}}
		chains := map[[16]byte]Chain{}
		freed := map[[16]byte]uint64{} // freed holds the generations of freed segments.
		now := start
		var generation uint64
		for step := range 400 {
			now = now.Add(time.Duration(rng.IntN(900)) * time.Millisecond)
			c := NewChain("s", textOf(1+rng.IntN(6), fmt.Sprint(seed, step)))
			turn := Turn{Upstream: "a", Chance: rng.Float64()}
			for i := range c.Len() {
				turn.Blocks = append(turn.Blocks, c.Raw(i))
			}
			chains[c.Raw(c.Len()-1)] = c
			st.QueueTurn(now, turn)
			plan := st.Tick(now)
			for _, e := range plan.Export {
				generation++
				st.SegmentReported(now, e.Blocks[len(e.Blocks)-1], generation, len(e.Blocks), e.From, e.Parent)
			}
			for _, r := range plan.Free {
				freed[r.Wire] = r.Generation
				st.SegmentRemoved(r.Wire, r.Generation)
			}
			assert.Assert(t, st.Used() <= 40)
			for _, h := range hosts {
				if now.Sub(h.asked) < time.Second || rng.IntN(3) == 0 {
					continue // The host is paused, or the answer is lost.
				}
				h.asked = now
				changes, full := st.Since(h.version)
				if full {
					h.index.ClearKept("a")
				}
				for _, ch := range changes {
					ch.Kept.Upstream = "a"
					if ch.Removed {
						h.index.RemoveKept("a", ch.Kept.Wire)
					} else {
						h.index.SetKept(ch.Kept)
					}
				}
				h.version = st.Version()
				h.index.ExtendLease("a", h.asked.Add(KeptLease))
			}
			for name, g := range freed {
				for _, h := range hosts {
					for _, ref := range h.index.Segments(now, "a", chains[name], chains[name].Len()) {
						assert.Assert(t, ref.Wire != name || ref.Generation != g, "seed %d step %d: a freed segment is offered", seed, step)
					}
				}
			}
		}
		assert.Assert(t, len(freed) > 0, "seed %d freed nothing", seed)
	}
}

// BenchmarkLookup measures a lookup of a prompt of 8,192 tokens.
func BenchmarkLookup(b *testing.B) {
	x := NewIndex(IndexOptions{})
	for i := range 10000 {
		x.AddPlacement(start, fmt.Sprint(i%22), NewChain("s", textOf(16, fmt.Sprint(i))))
	}
	c := NewChain("s", textOf(128, "x"))
	x.AddPlacement(start, "1", c)
	var l Lookup
	b.ReportAllocs()
	for b.Loop() {
		x.Lookup(start, c, &l)
	}
}

// BenchmarkChain measures the hashing of a prompt of 8,192 tokens.
func BenchmarkChain(b *testing.B) {
	text := textOf(128, "y")
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		NewChain("s", text)
	}
}

// BenchmarkMemory reports the bytes of an index per stored segment.
func BenchmarkMemory(b *testing.B) {
	const prompts = 100000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := NewIndex(IndexOptions{})
		for i := range prompts {
			var wire [16]byte
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			for j := range wire {
				wire[j] = byte(rng.Uint32())
			}
			x.SetKept(KeptSegment{Upstream: fmt.Sprint(i % 22), Wire: wire, Generation: uint64(i)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/prompts, "B/prompt")
		runtime.KeepAlive(x)
	}
}
