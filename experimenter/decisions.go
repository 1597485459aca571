// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"math"
	"math/rand/v2"
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/keeper"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/scheduler"
)

// Pick is a way to choose an engine that is not this project's.
type Pick string

// The baselines.
const (
	PickRouter     Pick = ""
	PickRandom     Pick = "Random"
	PickRoundRobin Pick = "RoundRobin"
	PickLeastLoad  Pick = "LeastLoad"
	PickRendezvous Pick = "Rendezvous"
)

// Policy is a way to decide, with mechanisms switched off.
type Policy struct {
	Name      string
	Pick      Pick
	Perfect   bool // Perfect gives the decision instant knowledge of the truth.
	Router    router.Options
	NoSends   bool // NoSends keeps what hosts have under way to themselves.
	NoGossip  bool // NoGossip keeps placements to the host that made them.
	NoAnswers bool // NoAnswers keeps prompts without their answers.
	NoExport  bool // NoExport keeps nothing in stores.
	Share     bool // Share lets urgent classes reserve a part of each engine's slots instead of whole engines.
	NoReserve bool // NoReserve reserves no slots for urgent classes.
	NoQueue   bool // NoQueue lets nothing wait at hosts.
}

// Conditions are what goes wrong during a run.
type Conditions struct {
	Lag        time.Duration // Lag is that of load reports and cache events.
	EventLoss  float64       // EventLoss is the share of cache events that come only with the next full reading.
	ZoneDown   time.Duration // ZoneDown is when an availability zone is lost; 0 for never.
	LinkFactor float64       // LinkFactor multiplies the links' rate; 0 for 1.
}

// Healthy is a usual day: reports half a second old.
var Healthy = Conditions{Lag: 500 * time.Millisecond}

// Result is what a policy achieved.
type Result struct {
	Policy     string
	Classes    []ClassResult
	Recomputed float64 // Recomputed is the part of what had been computed before that was computed again.
	LinkUse    float64 // LinkUse is the part of the links' time that was used.
	Refused    int
	Requests   int
	Jain       float64 // Jain is Jain's index over the workspaces' mean ratio of ideal to real time to first token.
}

// ClassResult is the time to first token of one class.
type ClassResult struct {
	Class string
	Times *Times
}

// Constants of the simulation that are the same for all policies.
const (
	reportInterval = 500 * time.Millisecond
	keptInterval   = time.Second // keptInterval is how long news of stores takes to hosts.
	fullReading    = 2 * time.Second
	planInterval   = 250 * time.Millisecond
	sendsInterval  = 50 * time.Millisecond // sendsInterval is how often hosts say what they have under way.
	hop            = time.Millisecond
	overcommit     = 1.1
)

var simEpoch = time.Date(2026, 3, 12, 0, 0, 0, 0, time.UTC)

// simulation runs one policy over one workload.
type simulation struct {
	world
	spec    Spec
	policy  Policy
	cond    Conditions
	rng     *rand.Rand
	engines []*simEngine
	stores  []*keeper.Store
	convOf  map[[16]byte]blockOwner
	hosts   []*simHost
	classes []configurer.Class

	times      []*Times
	again      float64
	before     float64
	refused    int
	requests   int
	ideal      []float64
	idealCount []float64
	robin      int
}

type blockOwner struct {
	conv   int
	tokens int
}

// simHost is one entry host.
type simHost struct {
	sim      *simulation
	zone     int
	index    *keeper.Index
	lookup   keeper.Lookup
	router   *router.Router
	pool     []router.Target
	meters   []router.Meter
	queue    scheduler.Queue
	waiting  map[*scheduler.Item]*turn
	holdings []router.Holding
}

// Run simulates a policy. The same seed gives the same workload.
func Run(spec Spec, policy Policy, cond Conditions, seed uint64) Result {
	if cond.LinkFactor > 0 {
		spec.LinkRate *= cond.LinkFactor
	}
	s := &simulation{spec: spec, policy: policy, cond: cond, rng: rand.New(rand.NewPCG(seed, 3)), convOf: make(map[[16]byte]blockOwner)}
	s.build(seed)
	g := newGenerator(spec, seed)
	s.every(reportInterval, s.report)
	s.every(planInterval, s.plan)
	if !policy.NoSends && !policy.Perfect {
		s.every(sendsInterval, s.sends)
	}
	if cond.ZoneDown > 0 {
		s.after(cond.ZoneDown, s.loseZone)
	}
	for {
		t, ok := g.pop()
		if !ok {
			break
		}
		s.until(t.at)
		s.hosts[s.rng.IntN(len(s.hosts))].arrive(t)
	}
	s.until(spec.For + 10*time.Minute)
	return s.result()
}

func (s *simulation) build(seed uint64) {
	for _, c := range s.spec.Classes {
		s.times = append(s.times, NewTimes())
		reserved := c.Reserved
		if s.policy.NoReserve {
			reserved = 0
		}
		s.classes = append(s.classes, configurer.Class{Name: c.Name, Rank: c.Rank, Weight: c.Weight, Reserved: reserved})
	}
	s.ideal = make([]float64, s.spec.Workspaces)
	s.idealCount = make([]float64, s.spec.Workspaces)
	for i := range s.spec.Engines {
		s.engines = append(s.engines, newSimEngine(&s.world, &s.spec, i))
		s.stores = append(s.stores, keeper.NewStore(keeper.StoreOptions{
			Capacity:   s.spec.Store / keeper.TokensPerBlock,
			BlockBytes: s.spec.TokenBytes * keeper.TokensPerBlock,
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
		index:   keeper.NewIndex(keeper.IndexOptions{}),
		router:  router.NewWithOptions(rand.New(rand.NewPCG(seed, uint64(100+i))), s.policy.Router),
		meters:  make([]router.Meter, len(s.engines)),
		waiting: make(map[*scheduler.Item]*turn),
	}
	for j, e := range s.engines {
		name := engineName(j)
		h.index.ID(name)
		h.index.Refresh(name, simEpoch.Add(10*s.spec.For))
		h.pool = append(h.pool, router.Target{
			Name: name, Hash: router.NameHash(name), Usable: true, Near: e.zone == h.zone, Slots: float64(s.spec.Slots),
			PrefillRate: s.spec.Prefill, LinkRate: s.spec.LinkRate, BytesPerToken: s.spec.TokenBytes, Meter: &h.meters[j],
		})
	}
	return h
}

func engineName(i int) string { return "engine-" + string([]byte{byte('a' + i/26), byte('a' + i%26)}) }

func (s *simulation) clock() time.Time { return simEpoch.Add(s.now) }

func (s *simulation) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		if s.now < s.spec.For {
			s.after(d, again)
		}
	}
	s.after(d, again)
}

// report samples the engines' load and brings it to all hosts after the lag.
func (s *simulation) report() {
	for i, e := range s.engines {
		load := router.Load{Running: e.running, Waiting: len(e.waiting), WaitingTokens: e.backlog()}
		down := e.down
		marks := make([]router.Mark, len(s.hosts))
		for j, h := range s.hosts {
			marks[j] = h.meters[i].Mark()
		}
		s.after(s.cond.Lag, func() {
			for j, h := range s.hosts {
				l := load
				l.Base = marks[j]
				h.pool[i].Load = l
				h.pool[i].Usable = !down
			}
		})
	}
	s.after(s.cond.Lag, func() {
		for _, h := range s.hosts {
			h.drain()
		}
	})
}

// sends lets every host tell the others what it has under way.
func (s *simulation) sends() {
	type count struct{ requests, tokens int }
	said := make([]count, len(s.hosts)*len(s.engines))
	for j, h := range s.hosts {
		for i := range s.engines {
			said[j*len(s.engines)+i] = count{h.meters[i].InFlight(), h.meters[i].Pending()}
		}
	}
	s.after(hop, func() {
		for j, h := range s.hosts {
			for i := range s.engines {
				p := router.PeerLoad{Fresh: true}
				for o := range s.hosts {
					if o != j {
						p.Requests += said[o*len(s.engines)+i].requests
						p.Tokens += said[o*len(s.engines)+i].tokens
					}
				}
				h.pool[i].Peers = p
			}
		}
	})
}

func (s *simulation) loseZone() {
	for _, e := range s.engines {
		if e.zone == 0 {
			e.down = true
		}
	}
}

// plan carries on the stores' plans.
func (s *simulation) plan() {
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

func (s *simulation) export(i int, x keeper.Export) {
	e := s.engines[i]
	end := x.Blocks[len(x.Blocks)-1]
	owner := s.convOf[end]
	if e.cachedTokens(owner.conv) < owner.tokens {
		return // evicted before its export
	}
	d := time.Duration(float64(len(x.Blocks)*keeper.TokensPerBlock) * s.spec.TokenBytes / s.spec.LinkRate * float64(time.Second))
	e.linkBusy += d
	s.after(3*d, func() {
		e.kept[owner.conv] = max(e.kept[owner.conv], owner.tokens)
		s.after(s.eventDelay(), func() {
			s.stores[i].Sealed(s.clock(), end, 1, len(x.Blocks), x.From, x.Parent)
			s.after(keptInterval, func() {
				for _, h := range s.hosts {
					h.index.SetKept(keeper.Kept{Upstream: engineName(i), Wire: end, Generation: 1, From: x.From})
				}
			})
		})
	})
}

// eventDelay is how late a cache event comes. A lost one is made up for by the
// next full reading.
func (s *simulation) eventDelay() time.Duration {
	if s.rng.Float64() < s.cond.EventLoss {
		return s.cond.Lag + fullReading
	}
	return s.cond.Lag
}

func (s *simulation) free(i int, r keeper.Ref) {
	owner := s.convOf[r.Wire]
	delete(s.engines[i].kept, owner.conv)
	s.stores[i].Gone(r.Wire, r.Generation)
	for _, h := range s.hosts {
		h.index.RemoveKept(engineName(i), r.Wire)
	}
}

func (s *simulation) result() Result {
	r := Result{Policy: s.policy.Name, Refused: s.refused, Requests: s.requests}
	for i, c := range s.spec.Classes {
		r.Classes = append(r.Classes, ClassResult{Class: c.Name, Times: s.times[i]})
	}
	if s.before > 0 {
		r.Recomputed = s.again / s.before
	}
	var busy time.Duration
	for _, e := range s.engines {
		busy += e.linkBusy
	}
	r.LinkUse = busy.Seconds() / (s.spec.For.Seconds() * float64(len(s.engines)))
	r.Jain = jain(s.ideal, s.idealCount)
	return r
}

// jain returns Jain's index of fairness (Jain, Chiu and Hawe, 1984) over means.
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
