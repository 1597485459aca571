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

// FetchOptions configure the simulation of hosts that place prompts at engines whose links and stores serve
// one transfer after another.
type FetchOptions struct {
	Pricing   bool    // Pricing reports whether pricer decides what is fetched.
	SlowStore float64 // SlowStore is the factor by which the link of one store is slower; 0 means 1.
	Seed      uint64
}

// FetchResult is the outcome of a simulation.
type FetchResult struct {
	FetchOptions
	Short int // Short is the number of choices that fetch under 2,000 tokens.
	// Worse are those of Short that the engine was estimated to prefill sooner, by more than a twentieth of the
	// objective or by more than the prefill would have delayed its other requests in sum.
	Worse  int
	Waited int // Waited are those of Short whose fetch took over 100 ms.
	Long   int // Long is the number of long prompts, and Late those whose first token took over 1 s.
	Late   int
	Reread int // Reread is the number of shared tokens that were prefilled although a store holds them.
}

// The load of the simulation: the prompts of two classes, a second, over some hosts before some engines. Two
// stores hold all shared parts.
const (
	fetchHosts, fetchEngines     = 6, 12
	fetchTime                    = 5 * time.Second  // fetchTime is how long prompts arrive.
	fetchDrain                   = 25 * time.Second // fetchDrain is how long all of them take at most to be answered.
	fetchShort, fetchShortTokens = 260, 500
	fetchLong, fetchLongTokens   = 24, 12800
	fetchEngineMbps              = 370000
	fetchStoreMbps               = 50000
	fetchTokenBytes              = 18432
	fetchPrefill                 = time.Millisecond / 42 // time of a token
	fetchMoved                   = 2000                  // tokens from which a fetch is no longer short
)

// fetchBegan is the start of the virtual time.
var fetchBegan = time.Unix(1000, 0)

// fetchClock is what the upstreams' clock shows then, in milliseconds.
const fetchClock = 5_000_000

type fetchModel struct {
	eventLoop
	rng    *rand.Rand
	hosts  []*placer.Placer
	free   map[string]time.Duration // free is when a link or an engine has nothing left to do.
	result FetchResult
}

// Fetch simulates the load.
func Fetch(o FetchOptions) FetchResult {
	m := &fetchModel{rng: rand.New(rand.NewPCG(o.Seed, 0)), free: make(map[string]time.Duration), result: FetchResult{FetchOptions: o}}
	var held [2][]placer.StoreChange
	for i := range 240 {
		tokens := fetchShortTokens
		if i < 40 {
			tokens = fetchLongTokens
		}
		held[i%2] = append(held[i%2], placer.StoreChange{Part: placer.PartName{Salt: fetchSalt(1), ID: fmt.Sprint(i)}, Tokens: tokens})
	}
	view := fetchView()
	for i := range fetchHosts {
		p := placer.New(placer.Options{Host: fmt.Sprint("h", i), Seed: uint64(i), FetchPricing: o.Pricing})
		p.SetCell(0, 1, true)
		p.Update(view)
		for i, parts := range held {
			p.ApplyStoreChanges(fetchBegan, fmt.Sprint("s", i+1), placer.StoreChanges{Epoch: 1, Clock: fetchClock, Changes: parts})
		}
		m.hosts = append(m.hosts, p)
	}
	m.arrivals(fetchShort, func(p *placer.Placer) { m.arrive(p, 40+m.rng.IntN(200), fetchShortTokens, 100, 400*time.Millisecond) })
	m.arrivals(fetchLong, func(p *placer.Placer) { m.arrive(p, m.rng.IntN(40), fetchLongTokens, 4000, time.Second) })
	m.report()
	m.stateContents()
	m.runUntil(fetchTime + fetchDrain)
	return m.result
}

func fetchSalt(weights uint64) string { return placer.Salt{Model: "m", Weights: weights}.String() }

func fetchView() *follower.View {
	v := &follower.View{
		Table: matcher.New(matcher.Parts{Services: []matcher.Service{
			{Name: "engines", Engine: &matcher.Engine{Slots: 8, CapacityTokens: 60000, BytesPerToken: fetchTokenBytes, LinkMbps: fetchEngineMbps}},
			{Name: "s1", Store: &matcher.Store{Address: "s1", CapacityTokens: 1 << 20, LinkMbps: fetchStoreMbps}},
			{Name: "s2", Store: &matcher.Store{Address: "s2", CapacityTokens: 1 << 20, LinkMbps: fetchStoreMbps}},
		}}),
		Versions: map[string]follower.VersionHistory{"m": {Version: 1, Since: fetchBegan}},
	}
	var upstreams []follower.Upstream
	for i := range fetchEngines {
		name := fmt.Sprint("e", i)
		upstreams = append(upstreams, follower.Upstream{ID: name, Service: "engines", Address: name, Standing: follower.StandingReady, Slots: 8, Weights: map[string]uint64{"m": 1}})
	}
	v.Upstreams = follower.ListOf(upstreams...)
	return v
}

func (m *fetchModel) time() time.Time { return fetchBegan.Add(m.now) }

// arrivals schedules Poisson arrivals at random hosts.
func (m *fetchModel) arrivals(perSecond float64, arrive func(p *placer.Placer)) {
	for at := time.Duration(0); at < fetchTime; at += time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second)) {
		p := m.hosts[m.rng.IntN(len(m.hosts))]
		m.after(at, func() { arrive(p) })
	}
}

// report exchanges the hosts' reports every 100 ms.
func (m *fetchModel) report() {
	for i, from := range m.hosts {
		r := from.Report()
		for j, to := range m.hosts {
			if i != j {
				to.ApplyReport(m.time(), fmt.Sprint("h", i), r)
			}
		}
	}
	m.after(100*time.Millisecond, m.report)
}

// stateContents has the stores state every 500 ms that nothing has changed.
func (m *fetchModel) stateContents() {
	for _, p := range m.hosts {
		for _, address := range []string{"s1", "s2"} {
			p.ApplyStoreChanges(m.time(), address, placer.StoreChanges{Epoch: 1, Clock: fetchClock + m.now.Milliseconds()})
		}
	}
	m.after(500*time.Millisecond, m.stateContents)
}

// occupy returns when a task that needs several resources at once ends, if it begins at a time at the earliest.
func (m *fetchModel) occupy(from, d time.Duration, names ...string) time.Duration {
	for _, name := range names {
		from = max(from, m.free[name])
		if name == "link s1" && m.result.SlowStore > 0 {
			d = time.Duration(m.result.SlowStore * float64(d))
		}
	}
	for _, name := range names {
		m.free[name] = from + d
	}
	return from + d
}

func (m *fetchModel) arrive(p *placer.Placer, id, shared, own int, objective time.Duration) {
	m.place(m.now, p, &placer.PlacementRequest{
		Service: "engines", SaltOf: fetchSalt, Objective: objective, Due: m.time().Add(objective),
		Prompt: &placer.Prompt{Model: "m", Output: 20, Parts: []placer.Part{{ID: fmt.Sprint(id), Tokens: shared}, {ID: fmt.Sprint(id, m.now), Tokens: own}}},
	})
}

// place places a prompt, or tries again 20 ms later.
func (m *fetchModel) place(arrived time.Duration, p *placer.Placer, req *placer.PlacementRequest) {
	p.SetFeedCurrent(m.time())
	c, verdict := p.Choose(m.time(), req)
	if verdict != placer.Chosen {
		m.after(20*time.Millisecond, func() { m.place(arrived, p, req) })
		return
	}
	ready := m.now
	if moved := c.Basis.FetchTokens; moved > 0 {
		mbps := float64(fetchEngineMbps)
		if c.Fetch[0][0] == 's' {
			mbps = fetchStoreMbps
		}
		took := 3*time.Millisecond + time.Duration(float64(moved*fetchTokenBytes*8)/mbps*float64(time.Microsecond))
		ready = m.occupy(m.now, took, "link "+c.Upstream.ID, "link "+c.Fetch[0])
		if moved < fetchMoved {
			m.countShort(p, &c, req.Objective, ready-m.now)
		}
	}
	shared := req.Prompt.Parts[0].Tokens
	long := shared == fetchLongTokens
	if long {
		m.result.Long++
		if c.Basis.PrefillTokens > req.Prompt.Parts[1].Tokens {
			m.result.Reread += shared
		}
	}
	end := m.occupy(ready, time.Duration(c.Basis.PrefillTokens)*fetchPrefill, c.Upstream.ID) + 25*time.Millisecond
	m.after(end-m.now, func() {
		if long && m.now-arrived > time.Second {
			m.result.Late++
		}
		c.Ticket.First(m.time())
		m.after(300*time.Millisecond, func() { c.Ticket.Done(m.time(), placer.ResultServed) })
	})
}

// countShort counts a choice that fetches few tokens.
func (m *fetchModel) countShort(p *placer.Placer, c *placer.Choice, objective, took time.Duration) {
	m.result.Short++
	pace := p.Dump(m.time()).Upstreams[c.Upstream.ID].Slowness
	prefill := time.Duration(pace * float64(c.Basis.FetchTokens) / 42 * float64(time.Millisecond))
	longer := c.Basis.FetchTime - prefill - time.Microsecond // estimates are rounded
	if longer > objective/20 || longer > time.Duration(c.Basis.Work.Requests)*prefill {
		m.result.Worse++
	}
	if took > 100*time.Millisecond {
		m.result.Waited++
	}
}

// PrintFetch writes results as a table.
func PrintFetch(w io.Writer, results []FetchResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "seed\tpricing\tslow store\tshort fetches\tprefilled sooner\tover 100 ms\tlong prompts\tlate\tprefilled again")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%t\t%g\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Seed, r.Pricing, r.SlowStore, r.Short, r.Worse, r.Waited, r.Long, r.Late, r.Reread)
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
}
