// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
)

// LoadsOptions configure Loads.
type LoadsOptions struct {
	Hosts, Engines int
	Rate           float64       // Rate is in requests a second; a tenth have long prompts.
	For            time.Duration // For is the simulated time of each seed.
	Slow           float64       // Slow is the probability that an engine is slow in a period.
	Slowdown       float64       // Slowdown is the factor of the time that work takes then.
	Seed           uint64        // Seed is the first seed.
	Seeds          int
}

// LoadsPolicy is what hosts do with the load that engines state.
type LoadsPolicy string

const (
	LoadsIgnored LoadsPolicy = "ignored"
	LoadsOwn     LoadsPolicy = "own answers only"
	LoadsShared  LoadsPolicy = "shared"
)

// LoadsResult counts the requests with short prompts under a policy.
type LoadsResult struct {
	Policy     LoadsPolicy
	Short      int
	Missed     int // Missed took three times their estimate to the first token, or more.
	Late       int // Late took longer than loadsObjective.
	Statements int // Statements is the number that hosts sent in reports.
	options    LoadsOptions
}

const (
	loadsSlots       = 8
	loadsShortTokens = 383
	loadsLongTokens  = 4260
	loadsLongShare   = 0.1
	loadsObjective   = 400 * time.Millisecond
	loadsPeriod      = 600 * time.Millisecond // loadsPeriod is the time between two changes of an engine's pace.
	loadsRunTime     = 150 * time.Millisecond // loadsRunTime is the time from the first token to the end.
	loadsReports     = 300 * time.Millisecond
	loadsUrgentDelay = 4 * time.Millisecond
	loadsHop         = time.Millisecond
	loadsRetry       = 5 * time.Millisecond // loadsRetry is the time after which a request that found no room chooses again.
	loadsMachine     = 1.3                  // loadsMachine is the factor by which each third engine is always slower.
	loadsMissed      = 3
)

// Loads plays the same loads under each policy.
func Loads(o LoadsOptions) []LoadsResult {
	var out []LoadsResult
	for _, policy := range []LoadsPolicy{LoadsIgnored, LoadsOwn, LoadsShared} {
		total := LoadsResult{Policy: policy, options: o}
		for i := range o.Seeds {
			r := newLoadsModel(o, policy, o.Seed+uint64(i)).run()
			total.Short, total.Missed, total.Late = total.Short+r.Short, total.Missed+r.Missed, total.Late+r.Late
			total.Statements += r.Statements
		}
		out = append(out, total)
	}
	return out
}

// PrintLoads prints a table of results.
func PrintLoads(w io.Writer, results []LoadsResult) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "stated loads\tshort prompts\tthree times the estimate\tlate\tstatements/s/host")
	for _, r := range results {
		o := r.options
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.4f\t%.2f\n", r.Policy, r.Short, float64(r.Missed)/float64(r.Short),
			float64(r.Late)/float64(r.Short), float64(r.Statements)/float64(o.Seeds*o.Hosts)/o.For.Seconds())
	}
	_ = t.Flush() // a terminal that is gone needs no table
}

// loadsModel runs the placer of each host against simulated engines.
type loadsModel struct {
	eventLoop
	opts    LoadsOptions
	policy  LoadsPolicy
	rng     *rand.Rand
	hosts   []*loadsHost
	engines map[string]*loadsEngine
	result  LoadsResult
}

type loadsHost struct {
	name   string
	placer *placer.Placer
	ratio  float64 // ratio is the last time to the first token over its estimate.
}

func newLoadsModel(o LoadsOptions, policy LoadsPolicy, seed uint64) *loadsModel {
	m := &loadsModel{opts: o, policy: policy, rng: rand.New(rand.NewPCG(seed, 7)), engines: make(map[string]*loadsEngine)}
	var upstreams []follower.Upstream
	for i := range o.Engines {
		id := fmt.Sprint("engine-", i)
		m.engines[id] = newLoadsEngine(m.rng, o, i)
		upstreams = append(upstreams, follower.Upstream{
			ID: id, Service: "engines", Standing: follower.StandingReady, Slots: loadsSlots, Weights: map[string]uint64{"m": 1},
		})
	}
	view := &follower.View{Listed: true, Upstreams: follower.ListOf(upstreams...), Table: matcher.New(matcher.Parts{Services: []matcher.Service{
		{Name: "engines", Engine: &matcher.Engine{Slots: loadsSlots, CapacityTokens: 60_000, BytesPerToken: 18432, LinkMbps: 370_000}},
	}})}
	for i := range o.Hosts {
		h := &loadsHost{name: fmt.Sprint("host-", i)}
		h.placer = placer.New(placer.Options{
			Host: h.name, Seed: seed<<16 + uint64(i), StatedLoad: policy != LoadsIgnored,
			OnUrgent: func() { m.after(loadsUrgentDelay, func() { m.send(h, h.placer.Changes()) }) },
			OnFirst:  func(took, estimate time.Duration) { h.ratio = float64(took) / float64(estimate) },
		})
		h.placer.SetCell(0, 1, true)
		h.placer.Update(view)
		m.hosts = append(m.hosts, h)
		m.after(time.Duration(i)*loadsReports/time.Duration(o.Hosts), func() { m.report(h) })
	}
	return m
}

func (m *loadsModel) clock() time.Time { return simEpoch.Add(m.now) }

func (m *loadsModel) run() LoadsResult {
	m.arrive()
	m.runUntil(m.opts.For)
	return m.result
}

// report sends a host's full report, and the next ones.
func (m *loadsModel) report(h *loadsHost) {
	h.placer.ExpireReports(m.clock())
	m.send(h, h.placer.Report())
	m.after(loadsReports, func() { m.report(h) })
}

// send sends a report to all other hosts.
func (m *loadsModel) send(h *loadsHost, r placer.Report) {
	if r.Loads = h.placer.TakeLoads(m.clock()); m.policy == LoadsOwn {
		r.Loads = nil
	}
	m.result.Statements += len(r.Loads)
	m.after(loadsHop, func() {
		for _, o := range m.hosts {
			if o != h {
				o.placer.ApplyReport(m.clock(), h.name, r)
			}
		}
	})
}

// arrive sends a request to a host, and schedules the next one.
func (m *loadsModel) arrive() {
	tokens := loadsShortTokens
	if m.rng.Float64() < loadsLongShare {
		tokens = loadsLongTokens
	}
	req := &placer.PlacementRequest{
		Service: "engines", SaltOf: func(uint64) string { return "salt" },
		Prompt: &placer.Prompt{Model: "m", Output: 20, Parts: []placer.Part{{ID: fmt.Sprint(m.seq), Tokens: tokens}}},
	}
	m.choose(m.hosts[m.rng.IntN(len(m.hosts))], req, m.now)
	m.after(time.Duration(m.rng.ExpFloat64()*float64(time.Second)/m.opts.Rate), m.arrive)
}

// choose places a request that arrived at a time, once an engine has room.
func (m *loadsModel) choose(h *loadsHost, req *placer.PlacementRequest, arrived time.Duration) {
	c, verdict := h.placer.Choose(m.clock(), req)
	if verdict != placer.Chosen {
		m.after(loadsRetry, func() { m.choose(h, req, arrived) })
		return
	}
	sent := m.clock()
	m.after(loadsHop, func() {
		e := m.engines[c.Upstream.ID]
		first, end := e.run(m.now, placer.MinFirstTokenTime(req.Prompt))
		m.after(first+loadsHop-m.now, func() {
			h.placer.ObserveLoad(m.clock(), sent, c.Upstream.ID, e.load(first))
			c.Ticket.First(m.clock())
			if req.Prompt.Tokens() == loadsShortTokens {
				m.count(h.ratio, m.now-arrived)
			}
		})
		m.after(end+loadsHop-m.now, func() { c.Ticket.Done(m.clock(), placer.ResultServed) })
	})
}

// count counts a short prompt.
func (m *loadsModel) count(ratio float64, took time.Duration) {
	m.result.Short++
	if ratio >= loadsMissed {
		m.result.Missed++
	}
	if took > loadsObjective {
		m.result.Late++
	}
}
