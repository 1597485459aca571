// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package router

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// routeCase is a pool, a request and the target that it must be routed to.
type routeCase struct {
	Name     string
	Targets  []caseTarget
	Tokens   int
	Known    int
	Weights  configurer.RoutingWeights
	Holdings []Holding
	Exclude  []bool
	Want     int // Want is the index of the target; -1 for none.
	Restore  bool
}

type caseTarget struct {
	Down     bool
	Far      bool
	Running  int
	Backlog  int // Backlog is the number of waiting prompt tokens in the load report.
	Sent     int // Sent is the number of prompt tokens that this host sent since the report.
	Peers    int // Peers is the number of prompt tokens in flight from other hosts; if set, the report is ignored.
	LinkRate float64
}

func TestRouteScripted(t *testing.T) {
	text, err := os.ReadFile("testdata/routes.jsonc")
	assert.NilError(t, err)
	var file struct{ Cases []routeCase }
	_, faults := strictjson.Decode(text, &file)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range file.Cases {
		t.Run(c.Name, func(t *testing.T) {
			r := NewWithOptions(rand.New(rand.NewPCG(1, 2)), Options{NoAffinity: true})
			pool := make([]Target, len(c.Targets))
			for i, ct := range c.Targets {
				pool[i] = ct.target(i)
			}
			d, ok := r.Route(pool, &Request{Key: 7, Tokens: c.Tokens, Known: c.Known, Weights: c.Weights, Holdings: c.Holdings, Exclude: c.Exclude})
			assert.Equal(t, ok, c.Want >= 0)
			if !ok {
				return
			}
			assert.Equal(t, d.Target, c.Want, "%+v", d)
			assert.Equal(t, d.Restore > 0, c.Restore, "%+v", d)
		})
	}
}

func (c caseTarget) target(i int) Target {
	name := fmt.Sprintf("engine-%d", i)
	t := Target{
		Name: name, Hash: NameHash(name), Usable: !c.Down, Near: !c.Far, Slots: 8,
		PrefillRate: 10000, LinkRate: 1e9, BytesPerToken: 16384,
		Load:  Load{Running: c.Running, WaitingTokens: c.Backlog},
		Meter: &Meter{},
	}
	if c.LinkRate > 0 {
		t.LinkRate = c.LinkRate
	}
	if c.Sent > 0 {
		t.Meter.Start(c.Sent)
	}
	if c.Peers > 0 {
		t.Peers = PeerLoad{Fresh: true, Requests: 1, Tokens: c.Peers}
	}
	return t
}

// TestRankDependsOnNamesOnly checks that hosts with different random sources choose
// the same target.
func TestRankDependsOnNamesOnly(t *testing.T) {
	pool := benchPool(20, 1)
	for i := range pool {
		pool[i].Load = Load{}
	}
	weights := configurer.RoutingWeights{Time: 1}
	for key := range uint64(50) {
		a, _ := New(rand.New(rand.NewPCG(1, 1))).Route(pool, &Request{Key: key, Tokens: 4000, Weights: weights})
		b, _ := New(rand.New(rand.NewPCG(9, 9))).Route(pool, &Request{Key: key, Tokens: 4000, Weights: weights})
		assert.Equal(t, a.Target, b.Target)
		assert.Assert(t, a.First)
	}
}

// TestReservedLeavesOneTarget checks that urgent classes never reserve all targets.
func TestReservedLeavesOneTarget(t *testing.T) {
	for n := 1; n < 6; n++ {
		count := 0
		for _, r := range Reserved(benchPool(n, 1), 0.99) {
			if r {
				count++
			}
		}
		assert.Assert(t, count < n)
	}
}

func benchPool(n int, seed uint64) []Target {
	rng := rand.New(rand.NewPCG(seed, 3))
	pool := make([]Target, n)
	for i := range pool {
		pool[i] = caseTarget{}.target(i)
		pool[i].Load = Load{Running: rng.IntN(8), WaitingTokens: rng.IntN(4000)}
	}
	return pool
}

// BenchmarkRoute620 measures a decision among 620 targets.
func BenchmarkRoute620(b *testing.B) { benchmarkRoute(b, 620) }

// BenchmarkRoute22 measures a decision among 22 targets.
func BenchmarkRoute22(b *testing.B) { benchmarkRoute(b, 22) }

func benchmarkRoute(b *testing.B, n int) {
	pool := benchPool(n, 1)
	for i := range pool {
		pool[i].Meter.Finish(time.Second)
	}
	r := New(rand.New(rand.NewPCG(1, 2)))
	req := &Request{
		Tokens: 4000, Known: 3000,
		Weights:  configurer.RoutingWeights{Time: 1, Recompute: 1, Link: 1, FarZone: duration.Duration(time.Millisecond)},
		Holdings: []Holding{{Target: 3, Cached: 2000, Kept: 3000}, {Target: 7 % n, Kept: 3000}},
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		req.Key = uint64(i)
		if _, ok := r.Route(pool, req); !ok {
			b.Fatal("no route")
		}
	}
}
