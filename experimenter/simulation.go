// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"math"
	"math/rand/v2"
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/scheduler"
)

// Baseline is a routing algorithm to compare the router with.
type Baseline string

// The baselines. BaselineNone selects the router.
const (
	BaselineNone       Baseline = ""
	BaselineRandom     Baseline = "Random"
	BaselineRoundRobin Baseline = "RoundRobin"
	BaselineLeastLoad  Baseline = "LeastLoad"
	BaselineRendezvous Baseline = "Rendezvous"
)

// Policy is the router with some mechanisms disabled, or a baseline.
type Policy struct {
	Name        string
	Baseline    Baseline
	Perfect     bool // route with the exact current state of all engines
	Router      router.Options
	NoPeerLoad  bool // hosts don't exchange the load they have in flight
	NoGossip    bool // hosts don't exchange placements
	NoAnswers   bool // store prompts without their answers
	NoExport    bool // store nothing
	SharedSlots bool // reserve a part of each engine's slots instead of whole engines
	NoReserve   bool // reserve nothing for urgent classes
	NoQueue     bool // no queues at hosts
}

// Conditions are the delays and faults of a simulation.
type Conditions struct {
	Lag        time.Duration // delay of load reports and cache events
	EventLoss  float64       // fraction of cache events that only the next full read delivers
	ZoneDown   time.Duration // time at which an availability zone fails; 0 for never
	LinkFactor float64       // factor on the links' rate; 0 for 1
}

// Healthy are the conditions without faults.
var Healthy = Conditions{Lag: 500 * time.Millisecond}

// Result is the outcome of one policy.
type Result struct {
	Policy     string
	Classes    []ClassResult
	Recomputed float64 // fraction of repeated prompt tokens that were computed again
	LinkUse    float64 // utilization of the links
	Refused    int
	Requests   int
	Jain       float64 // Jain's index of the workspaces' mean ratio of ideal to actual time to first token
}

// ClassResult is the distribution of the time to first token of one class.
type ClassResult struct {
	Class      string
	FirstToken *Histogram
}

// Parameters of the simulation that all policies share.
const (
	reportInterval   = 500 * time.Millisecond
	keptDelay        = time.Second // delay of a store's changes to hosts
	fullReadInterval = 2 * time.Second
	planInterval     = 250 * time.Millisecond
	peerLoadInterval = 50 * time.Millisecond // interval at which hosts exchange their load in flight
	hopLatency       = time.Millisecond
	slotOvercommit   = 1.1
)

var simEpoch = time.Date(2026, 3, 12, 0, 0, 0, 0, time.UTC)

// simulation simulates one policy on one workload in virtual time.
type simulation struct {
	eventLoop
	spec        Spec
	policy      Policy
	cond        Conditions
	rng         *rand.Rand
	engines     []*simEngine
	stores      []*indexer.Store
	blockOwners map[[16]byte]blockOwner
	hosts       []*simHost
	classes     []configurer.Class

	times            []*Histogram
	recomputedTokens float64
	repeatedTokens   float64
	refused          int
	requests         int
	idealRatios      []float64
	idealRatioCounts []float64
	roundRobin       int
}

// blockOwner is the conversation that a block belongs to, and the tokens up to
// the end of the block.
type blockOwner struct {
	conv   int
	tokens int
}

// simHost is a host of the simulation.
type simHost struct {
	sim      *simulation
	zone     int
	index    *indexer.Index
	lookup   indexer.Lookup
	router   *router.Router
	targets  []router.Target
	meters   []router.Meter
	queue    scheduler.Queue
	waiting  map[*scheduler.Item]*turn
	holdings []router.Holding
}

// Simulate simulates a policy. The same seed gives the same workload.
func Simulate(spec Spec, policy Policy, cond Conditions, seed uint64) Result {
	if cond.LinkFactor > 0 {
		spec.LinkRate *= cond.LinkFactor
	}
	s := &simulation{
		spec: spec, policy: policy, cond: cond,
		rng: rand.New(rand.NewPCG(seed, 3)), blockOwners: make(map[[16]byte]blockOwner),
	}
	s.build(seed)
	g := newGenerator(spec, seed)
	s.every(reportInterval, s.sampleLoads)
	s.every(planInterval, s.runStorePlans)
	if !policy.NoPeerLoad && !policy.Perfect {
		s.every(peerLoadInterval, s.sharePeerLoads)
	}
	if cond.ZoneDown > 0 {
		s.after(cond.ZoneDown, s.failZone)
	}
	for {
		t, ok := g.pop()
		if !ok {
			break
		}
		s.runUntil(t.at)
		s.hosts[s.rng.IntN(len(s.hosts))].arrive(t)
	}
	s.runUntil(spec.For + 10*time.Minute)
	return s.result()
}

func (s *simulation) build(seed uint64) {
	for _, c := range s.spec.Classes {
		s.times = append(s.times, NewHistogram())
		reserved := c.Reserved
		if s.policy.NoReserve {
			reserved = 0
		}
		s.classes = append(s.classes, configurer.Class{Name: c.Name, Rank: c.Rank, Weight: c.Weight, Reserved: reserved})
	}
	s.idealRatios = make([]float64, s.spec.Workspaces)
	s.idealRatioCounts = make([]float64, s.spec.Workspaces)
	for i := range s.spec.Engines {
		s.engines = append(s.engines, newSimEngine(&s.eventLoop, &s.spec, i))
		s.stores = append(s.stores, indexer.NewStore(indexer.StoreOptions{
			Capacity:   s.spec.StoreTokens / indexer.TokensPerBlock,
			BlockBytes: s.spec.BytesPerToken * indexer.TokensPerBlock,
			LinkRate:   s.spec.LinkRate,
		}))
	}
	for i := range s.spec.Hosts {
		s.hosts = append(s.hosts, s.newHost(i, seed))
	}
}

func (s *simulation) newHost(i int, seed uint64) *simHost {
	h := &simHost{
		sim:     s,
		zone:    i % s.spec.Zones,
		index:   indexer.NewIndex(indexer.IndexOptions{}),
		router:  router.NewWithOptions(rand.New(rand.NewPCG(seed, uint64(100+i))), s.policy.Router),
		meters:  make([]router.Meter, len(s.engines)),
		waiting: make(map[*scheduler.Item]*turn),
	}
	for j, e := range s.engines {
		name := engineName(j)
		h.index.ID(name)
		h.index.ExtendLease(name, simEpoch.Add(10*s.spec.For))
		h.targets = append(h.targets, router.Target{
			Name: name, Hash: router.NameHash(name), Usable: true, Near: e.zone == h.zone,
			Slots: float64(s.spec.Slots), PrefillRate: s.spec.PrefillRate, LinkRate: s.spec.LinkRate,
			BytesPerToken: s.spec.BytesPerToken, Meter: &h.meters[j],
		})
	}
	return h
}

func engineName(i int) string { return "engine-" + string([]byte{byte('a' + i/26), byte('a' + i%26)}) }

func (s *simulation) clock() time.Time { return simEpoch.Add(s.now) }

// every calls f periodically until the workload ends.
func (s *simulation) every(d time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		if s.now < s.spec.For {
			s.after(d, tick)
		}
	}
	s.after(d, tick)
}

// sampleLoads samples the load of all engines and delivers it to all hosts
// after the lag.
func (s *simulation) sampleLoads() {
	for i, e := range s.engines {
		load := router.Load{Running: e.running, Waiting: len(e.waiting), WaitingTokens: e.pendingTokens()}
		down := e.down
		marks := make([]router.Mark, len(s.hosts))
		for j, h := range s.hosts {
			marks[j] = h.meters[i].Mark()
		}
		s.after(s.cond.Lag, func() {
			for j, h := range s.hosts {
				l := load
				l.Base = marks[j]
				h.targets[i].Load = l
				h.targets[i].Usable = !down
			}
		})
	}
	s.after(s.cond.Lag, func() {
		for _, h := range s.hosts {
			h.drain()
		}
	})
}

// sharePeerLoads sends the load that each host has in flight to all others.
func (s *simulation) sharePeerLoads() {
	type count struct{ requests, tokens int }
	counts := make([]count, len(s.hosts)*len(s.engines))
	for j, h := range s.hosts {
		for i := range s.engines {
			counts[j*len(s.engines)+i] = count{h.meters[i].InFlight(), h.meters[i].Pending()}
		}
	}
	s.after(hopLatency, func() {
		for j, h := range s.hosts {
			for i := range s.engines {
				p := router.PeerLoad{Fresh: true}
				for o := range s.hosts {
					if o != j {
						p.Requests += counts[o*len(s.engines)+i].requests
						p.Tokens += counts[o*len(s.engines)+i].tokens
					}
				}
				h.targets[i].Peers = p
			}
		}
	})
}

func (s *simulation) failZone() {
	for _, e := range s.engines {
		if e.zone == 0 {
			e.down = true
		}
	}
}

// runStorePlans executes the exports and frees that the stores' plans ask for.
func (s *simulation) runStorePlans() {
	if s.policy.NoExport {
		return
	}
	for i, st := range s.stores {
		p := st.Tick(s.clock())
		for _, x := range p.Export {
			s.export(i, x)
		}
		for _, r := range p.Free {
			s.free(i, r)
		}
	}
}

func (s *simulation) export(i int, x indexer.Export) {
	e := s.engines[i]
	end := x.Blocks[len(x.Blocks)-1]
	owner := s.blockOwners[end]
	if e.cachedTokens(owner.conv) < owner.tokens {
		return // evicted before the export
	}
	d := time.Duration(float64(len(x.Blocks)*indexer.TokensPerBlock) * s.spec.BytesPerToken / s.spec.LinkRate *
		float64(time.Second))
	e.linkBusy += d
	s.after(3*d, func() {
		e.storedTokens[owner.conv] = max(e.storedTokens[owner.conv], owner.tokens)
		s.after(s.eventDelay(), func() {
			s.stores[i].SegmentReported(s.clock(), end, 1, len(x.Blocks), x.From, x.Parent)
			s.after(keptDelay, func() {
				for _, h := range s.hosts {
					h.index.SetKept(indexer.KeptSegment{Upstream: engineName(i), Wire: end, Generation: 1, From: x.From})
				}
			})
		})
	})
}

// eventDelay returns the delay of a cache event. The next full read delivers a
// lost one.
func (s *simulation) eventDelay() time.Duration {
	if s.rng.Float64() < s.cond.EventLoss {
		return s.cond.Lag + fullReadInterval
	}
	return s.cond.Lag
}

func (s *simulation) free(i int, r indexer.Ref) {
	owner := s.blockOwners[r.Wire]
	delete(s.engines[i].storedTokens, owner.conv)
	s.stores[i].SegmentRemoved(r.Wire, r.Generation)
	for _, h := range s.hosts {
		h.index.RemoveKept(engineName(i), r.Wire)
	}
}

func (s *simulation) result() Result {
	r := Result{Policy: s.policy.Name, Refused: s.refused, Requests: s.requests}
	for i, c := range s.spec.Classes {
		r.Classes = append(r.Classes, ClassResult{Class: c.Name, FirstToken: s.times[i]})
	}
	if s.repeatedTokens > 0 {
		r.Recomputed = s.recomputedTokens / s.repeatedTokens
	}
	var busy time.Duration
	for _, e := range s.engines {
		busy += e.linkBusy
	}
	r.LinkUse = busy.Seconds() / (s.spec.For.Seconds() * float64(len(s.engines)))
	r.Jain = jain(s.idealRatios, s.idealRatioCounts)
	return r
}

// jain returns Jain's fairness index (Jain, Chiu and Hawe, 1984) of the means
// sums[i]/counts[i], leaving out those without a count.
func jain(sums, counts []float64) float64 {
	var sum, squares, n float64
	for i := range sums {
		if counts[i] == 0 {
			continue
		}
		x := sums[i] / counts[i]
		sum += x
		squares += x * x
		n++
	}
	if n == 0 || squares == 0 {
		return math.NaN()
	}
	return sum * sum / (n * squares)
}
