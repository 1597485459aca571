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
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/duration"
)

// ClassSpec describes a class of requests of a workload.
type ClassSpec struct {
	Name              string
	Rank              int
	Weight            float64
	Reserved          float64
	Deadline          time.Duration
	Share             float64 // fraction of new conversations
	FirstPromptTokens int     // mean length of the first prompt of a conversation
	GrowthTokens      int     // mean growth of the prompt at each turn
	AnswerTokens      int     // mean length of an answer
	ReturnProbability float64 // probability that a conversation has another turn
	Burst             Burst
}

// Burst multiplies the arrival rate of a class for a time.
type Burst struct {
	From   time.Duration
	For    time.Duration
	Factor float64
}

// Spec describes a deployment and its workload.
type Spec struct {
	Name             string
	Zones            int
	Engines          int
	Hosts            int
	Slots            int
	PrefillRate      float64 // tokens per second
	TokenInterval    time.Duration
	CacheTokens      int     // accelerator memory of an engine
	StoreTokens      int     // capacity of an engine's store
	LinkRate         float64 // bytes per second
	BytesPerToken    float64
	Workspaces       int
	Zipf             float64       // exponent of the distribution of conversations over workspaces
	ConversationRate float64       // new conversations per second
	GapMedian        time.Duration // median time between turns
	GapSpread        float64       // standard deviation of the logarithm of the time between turns
	WarmUp           time.Duration // warm-up before the measurement
	For              time.Duration // simulated time, including the warm-up
	Classes          []ClassSpec
	Weights          configurer.RoutingWeights
}

// Association returns a deployment whose conversations resume after long gaps,
// and whose routing weighs recomputation higher than time.
func Association() Spec {
	return Spec{
		Name: "Association", Zones: 3, Engines: 18, Hosts: 8, Slots: 16,
		PrefillRate: 8000, TokenInterval: 25 * time.Millisecond,
		CacheTokens: 400_000, StoreTokens: 6_000_000, LinkRate: 1e9, BytesPerToken: 16384,
		Workspaces: 10, Zipf: 1.2, ConversationRate: 9, GapMedian: 25 * time.Minute, GapSpread: 1.8,
		WarmUp: 3 * time.Hour, For: 8 * time.Hour,
		Classes: []ClassSpec{
			{Name: "Confirmation", Rank: 0, Weight: 8, Deadline: 10 * time.Second, Share: 0.2,
				FirstPromptTokens: 600, GrowthTokens: 150, AnswerTokens: 60, ReturnProbability: 0.4},
			{Name: "Booking", Rank: 1, Weight: 4, Deadline: 30 * time.Second, Share: 0.8,
				FirstPromptTokens: 3000, GrowthTokens: 700, AnswerTokens: 200, ReturnProbability: 0.75},
		},
		Weights: configurer.RoutingWeights{Time: 1, Recompute: 4, Link: 0.5, FarZone: duration.Duration(2 * time.Millisecond)},
	}
}

// Nilewater returns a deployment with short urgent requests (alerts and triage)
// and a burst of long summaries.
func Nilewater() Spec {
	return Spec{
		Name: "Nilewater", Zones: 4, Engines: 18, Hosts: 8, Slots: 16,
		PrefillRate: 8000, TokenInterval: 25 * time.Millisecond,
		CacheTokens: 400_000, StoreTokens: 6_000_000, LinkRate: 1e9, BytesPerToken: 16384,
		Workspaces: 10, Zipf: 1.2, ConversationRate: 15, GapMedian: 10 * time.Minute, GapSpread: 1.5,
		WarmUp: 30 * time.Minute, For: 3 * time.Hour,
		Classes: []ClassSpec{
			{Name: "Alert", Rank: 0, Weight: 8, Reserved: 0.15, Deadline: 5 * time.Second, Share: 0.35,
				FirstPromptTokens: 400, GrowthTokens: 100, AnswerTokens: 40, ReturnProbability: 0.3},
			{Name: "Triage", Rank: 1, Weight: 4, Reserved: 0.25, Deadline: 20 * time.Second, Share: 0.6,
				FirstPromptTokens: 700, GrowthTokens: 200, AnswerTokens: 60, ReturnProbability: 0.4},
			{Name: "Summary", Rank: 2, Weight: 1, Deadline: time.Hour, Share: 0.05,
				FirstPromptTokens: 9000, GrowthTokens: 2000, AnswerTokens: 900, ReturnProbability: 0.3,
				Burst: Burst{From: time.Hour, For: time.Hour, Factor: 12}},
		},
		Weights: configurer.RoutingWeights{Time: 1, Recompute: 0.2, Link: 0.1, FarZone: duration.Duration(2 * time.Millisecond)},
	}
}

// SpecByName returns a deployment by name.
func SpecByName(name string) (Spec, error) {
	switch name {
	case "Association":
		return Association(), nil
	case "Nilewater":
		return Nilewater(), nil
	}
	return Spec{}, errors.Errorf("experimenter: unknown deployment %q", name)
}

// conversation is a sequence of turns, each with a longer prompt.
type conversation struct {
	id        int
	workspace int
	class     int
	zone      int
	tokens    int // length of the context so far
	turns     int
	key       uint64
	salt      string
	chain     indexer.Chain
	rng       *rand.Rand
}

// turn is one request of a conversation.
type turn struct {
	at       time.Duration
	conv     *conversation
	tokens   int // length of the prompt
	repeated int // prompt tokens that earlier turns had
	answer   int
	chain    indexer.Chain // blocks of the prompt
	after    indexer.Chain // blocks of prompt and answer
	seq      int
}

// generator generates the turns of a workload in order of time. The times of
// turns don't depend on answers, so that all policies see the same workload.
type generator struct {
	spec        Spec
	rng         *rand.Rand
	turns       turnHeap
	nextArrival time.Duration
	count       int
	seq         int
	weights     []float64
}

func newGenerator(spec Spec, seed uint64) *generator {
	g := &generator{spec: spec, rng: rand.New(rand.NewPCG(seed, 11))}
	for i := range spec.Workspaces {
		g.weights = append(g.weights, 1/math.Pow(float64(i+1), spec.Zipf))
	}
	g.arrive()
	return g
}

// weightedIndex draws an index below n with probability proportional to its
// weight.
func weightedIndex(rng *rand.Rand, n int, weight func(i int) float64) int {
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
		if b := c.Burst; b.Factor > 0 && g.nextArrival >= b.From && g.nextArrival < b.From+b.For {
			return c.Share * b.Factor
		}
		return c.Share
	}
	for i := range g.spec.Classes {
		rate += share(i)
	}
	g.nextArrival += time.Duration(g.rng.ExpFloat64() / (g.spec.ConversationRate * rate) * float64(time.Second))
	g.count++
	c := &conversation{
		id:        g.count,
		workspace: weightedIndex(g.rng, len(g.weights), func(i int) float64 { return g.weights[i] }),
		class:     weightedIndex(g.rng, len(g.spec.Classes), share),
		zone:      g.rng.IntN(g.spec.Zones),
		rng:       rand.New(rand.NewPCG(uint64(g.count), 5)),
	}
	c.salt = "workspace " + strconv.Itoa(c.workspace)
	c.key = c.rng.Uint64()
	g.push(c, g.nextArrival, randomLength(c.rng, g.spec.Classes[c.class].FirstPromptTokens))
}

// randomLength draws a length from a log-normal distribution with the given
// mean, at least 16.
func randomLength(rng *rand.Rand, mean int) int {
	return max(16, int(float64(mean)*math.Exp(0.6*rng.NormFloat64()-0.18)))
}

// push schedules a turn that adds grow tokens to a conversation.
func (g *generator) push(c *conversation, at time.Duration, grow int) {
	t := &turn{
		at: at, conv: c, repeated: c.tokens, tokens: c.tokens + grow,
		answer: randomLength(c.rng, g.spec.Classes[c.class].AnswerTokens), seq: g.seq,
	}
	g.seq++
	t.chain = c.grow(t.tokens)
	t.after = c.grow(t.tokens + t.answer)
	heap.Push(&g.turns, t)
}

// grow extends the context to a number of tokens and returns its blocks.
func (c *conversation) grow(tokens int) indexer.Chain {
	c.tokens = tokens
	if blocks := tokens/indexer.TokensPerBlock - c.chain.Len(); blocks > 0 {
		c.chain = c.chain.Extend(c.salt, c.text(blocks))
	}
	c.turns++
	return c.chain
}

// text returns blocks of text that are unique to the conversation and turn.
func (c *conversation) text(blocks int) string {
	var b strings.Builder
	for i := range blocks {
		head := fmt.Sprintf("%d/%d/%d", c.id, c.turns, i)
		b.WriteString(head)
		b.WriteString(strings.Repeat(" ", indexer.BlockBytes-len(head)))
	}
	return b.String()
}

// pop returns the next turn, or false at the end of the workload. It schedules
// the turn that follows in the conversation.
func (g *generator) pop() (*turn, bool) {
	for len(g.turns) == 0 || g.turns[0].at >= g.nextArrival {
		if g.nextArrival > g.spec.For {
			break
		}
		g.arrive()
	}
	if len(g.turns) == 0 {
		return nil, false
	}
	t := heap.Pop(&g.turns).(*turn)
	if t.at > g.spec.For {
		return nil, false
	}
	c := t.conv
	spec := g.spec.Classes[c.class]
	if c.rng.Float64() < spec.ReturnProbability {
		gap := time.Duration(float64(g.spec.GapMedian) * math.Exp(g.spec.GapSpread*c.rng.NormFloat64()))
		g.push(c, t.at+gap, randomLength(c.rng, spec.GrowthTokens))
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
