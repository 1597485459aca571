// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/keeper"
)

// ClassSpec is a class of requests of a workload.
type ClassSpec struct {
	Name     string
	Rank     int
	Weight   float64
	Reserved float64
	Deadline time.Duration
	Share    float64 // Share is the part of new conversations that are of the class.
	First    int     // First is the mean length of a first prompt, in tokens.
	Growth   int     // Growth is the mean length of what each turn adds to the prompt.
	Answer   int     // Answer is the mean length of an answer.
	Return   float64 // Return is the chance that a conversation goes on after a turn.
	Burst    Burst
}

// Burst multiplies the arrivals of a class for a time.
type Burst struct {
	From   time.Duration
	For    time.Duration
	Factor float64
}

// Spec is a deployment and its workload.
type Spec struct {
	Name       string
	Zones      int
	Engines    int
	Hosts      int
	Slots      int
	Prefill    float64       // Prefill is in tokens per second.
	Interval   time.Duration // Interval is between tokens of an answer.
	Cache      int           // Cache is the accelerator memory of an engine, in tokens.
	Store      int           // Store is the size of an engine's store, in tokens.
	LinkRate   float64       // LinkRate is in bytes per second.
	TokenBytes float64
	Workspaces int
	Zipf       float64       // Zipf is the exponent of the workspaces' sizes.
	Rate       float64       // Rate is of new conversations per second.
	GapMedian  time.Duration // GapMedian is the median time between turns.
	GapSpread  float64       // GapSpread is the standard deviation of the gap's logarithm.
	Warm       time.Duration // Warm is the time before the measurement begins.
	For        time.Duration // For is the whole time.
	Classes    []ClassSpec
	Weights    configurer.RoutingWeights
}

// Association returns the Annex's deployment: Members return after long gaps,
// and recomputing and links weigh more than time.
func Association() Spec {
	return Spec{
		Name: "Association", Zones: 3, Engines: 18, Hosts: 8, Slots: 16,
		Prefill: 8000, Interval: 25 * time.Millisecond, Cache: 400_000, Store: 6_000_000, LinkRate: 1e9, TokenBytes: 16384,
		Workspaces: 10, Zipf: 1.2, Rate: 9, GapMedian: 25 * time.Minute, GapSpread: 1.8,
		Warm: 3 * time.Hour, For: 8 * time.Hour,
		Classes: []ClassSpec{
			{Name: "Confirmation", Rank: 0, Weight: 8, Deadline: 10 * time.Second, Share: 0.2, First: 600, Growth: 150, Answer: 60, Return: 0.4},
			{Name: "Booking", Rank: 1, Weight: 4, Deadline: 30 * time.Second, Share: 0.8, First: 3000, Growth: 700, Answer: 200, Return: 0.75},
		},
		Weights: configurer.RoutingWeights{Time: 1, Recompute: 4, Link: 0.5, FarZone: duration.Duration(2 * time.Millisecond)},
	}
}

// Nilewater returns the fleet's deployment on its bad day: alerts and triage
// over long summaries.
func Nilewater() Spec {
	return Spec{
		Name: "Nilewater", Zones: 4, Engines: 18, Hosts: 8, Slots: 16,
		Prefill: 8000, Interval: 25 * time.Millisecond, Cache: 400_000, Store: 6_000_000, LinkRate: 1e9, TokenBytes: 16384,
		Workspaces: 10, Zipf: 1.2, Rate: 15, GapMedian: 10 * time.Minute, GapSpread: 1.5,
		Warm: 30 * time.Minute, For: 3 * time.Hour,
		Classes: []ClassSpec{
			{Name: "Alert", Rank: 0, Weight: 8, Reserved: 0.15, Deadline: 5 * time.Second, Share: 0.35, First: 400, Growth: 100, Answer: 40, Return: 0.3},
			{Name: "Triage", Rank: 1, Weight: 4, Reserved: 0.25, Deadline: 20 * time.Second, Share: 0.6, First: 700, Growth: 200, Answer: 60, Return: 0.4},
			{Name: "Summary", Rank: 2, Weight: 1, Deadline: time.Hour, Share: 0.05, First: 9000, Growth: 2000, Answer: 900, Return: 0.3,
				Burst: Burst{From: time.Hour, For: time.Hour, Factor: 12}},
		},
		Weights: configurer.RoutingWeights{Time: 1, Recompute: 0.2, Link: 0.1, FarZone: duration.Duration(2 * time.Millisecond)},
	}
}

// Deployment returns a deployment by name.
func Deployment(name string) (Spec, error) {
	switch name {
	case "Association":
		return Association(), nil
	case "Nilewater":
		return Nilewater(), nil
	}
	return Spec{}, errors.Errorf("experimenter: no deployment %q", name)
}

// conversation is a sequence of prompts that grow.
type conversation struct {
	id        int
	workspace int
	class     int
	zone      int
	tokens    int // tokens is the length of the context so far.
	turns     int
	key       uint64
	salt      string
	chain     keeper.Chain
	rng       *rand.Rand
}

// turn is one request of a workload.
type turn struct {
	at     time.Duration
	conv   *conversation
	tokens int // tokens is the length of the prompt.
	known  int // known is the part of it that was sent before.
	answer int
	chain  keeper.Chain // chain names the blocks of the prompt.
	after  keeper.Chain // after names those of prompt and answer.
	seq    int
}

// generator makes the turns of a workload in order of time. The same seed gives
// the same turns whatever the policy, because a conversation's next turn does
// not depend on when it was answered.
type generator struct {
	spec    Spec
	rng     *rand.Rand
	heap    turnHeap
	next    time.Duration
	count   int
	seq     int
	weights []float64
}

func newGenerator(spec Spec, seed uint64) *generator {
	g := &generator{spec: spec, rng: rand.New(rand.NewPCG(seed, 11))}
	for i := range spec.Workspaces {
		g.weights = append(g.weights, 1/math.Pow(float64(i+1), spec.Zipf))
	}
	g.arrive()
	return g
}

// pick draws an index with the given weights.
func pick(rng *rand.Rand, n int, weight func(i int) float64) int {
	var sum float64
	for i := range n {
		sum += weight(i)
	}
	x := rng.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// arrive schedules the first turn of a new conversation.
func (g *generator) arrive() {
	rate := 0.0
	share := func(i int) float64 {
		c := g.spec.Classes[i]
		if b := c.Burst; b.Factor > 0 && g.next >= b.From && g.next < b.From+b.For {
			return c.Share * b.Factor
		}
		return c.Share
	}
	for i := range g.spec.Classes {
		rate += share(i)
	}
	g.next += time.Duration(g.rng.ExpFloat64() / (g.spec.Rate * rate) * float64(time.Second))
	g.count++
	c := &conversation{
		id:        g.count,
		workspace: pick(g.rng, len(g.weights), func(i int) float64 { return g.weights[i] }),
		class:     pick(g.rng, len(g.spec.Classes), share),
		zone:      g.rng.IntN(g.spec.Zones),
		rng:       rand.New(rand.NewPCG(uint64(g.count), 5)),
	}
	c.salt = "workspace " + strconv.Itoa(c.workspace)
	c.key = c.rng.Uint64()
	g.push(c, g.next, length(c.rng, g.spec.Classes[c.class].First))
}

// length draws a length around a mean.
func length(rng *rand.Rand, mean int) int {
	return max(16, int(float64(mean)*math.Exp(0.6*rng.NormFloat64()-0.18)))
}

func (g *generator) push(c *conversation, at time.Duration, grow int) {
	t := &turn{at: at, conv: c, known: c.tokens, tokens: c.tokens + grow, answer: length(c.rng, g.spec.Classes[c.class].Answer), seq: g.seq}
	g.seq++
	t.chain = c.grow(t.tokens)
	t.after = c.grow(t.tokens + t.answer)
	heap.Push(&g.heap, t)
}

// grow makes the context longer and returns the names of its blocks.
func (c *conversation) grow(tokens int) keeper.Chain {
	c.tokens = tokens
	if blocks := tokens/keeper.TokensPerBlock - c.chain.Len(); blocks > 0 {
		c.chain = c.chain.Extend(c.salt, c.text(blocks))
	}
	c.turns++
	return c.chain
}

// text returns as many blocks of text that no other conversation has.
func (c *conversation) text(blocks int) string {
	var b strings.Builder
	for i := range blocks {
		head := fmt.Sprintf("%d/%d/%d", c.id, c.turns, i)
		b.WriteString(head)
		b.WriteString(strings.Repeat(" ", keeper.BlockBytes-len(head)))
	}
	return b.String()
}

// pop returns the next turn, and false when the time is over.
func (g *generator) pop() (*turn, bool) {
	for len(g.heap) == 0 || g.heap[0].at >= g.next {
		if g.next > g.spec.For {
			break
		}
		g.arrive()
	}
	if len(g.heap) == 0 {
		return nil, false
	}
	t := heap.Pop(&g.heap).(*turn)
	if t.at > g.spec.For {
		return nil, false
	}
	c := t.conv
	spec := g.spec.Classes[c.class]
	if c.rng.Float64() < spec.Return {
		gap := time.Duration(float64(g.spec.GapMedian) * math.Exp(g.spec.GapSpread*c.rng.NormFloat64()))
		g.push(c, t.at+gap, length(c.rng, spec.Growth))
	}
	return t, true
}

type turnHeap []*turn

func (h turnHeap) Len() int { return len(h) }
func (h turnHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h turnHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *turnHeap) Push(x any)   { *h = append(*h, x.(*turn)) }
func (h *turnHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
