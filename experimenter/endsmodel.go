// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// endsModel is hosts with their real placement and quarantine, before engines that are
// modelled.
type endsModel struct {
	world
	opts    EndsOptions
	way     EndsWay
	rng     *rand.Rand
	hosts   []*endsHost
	engines []*endsEngine
	born    int64
	third   map[quarantiner.Identity]time.Duration // third is when the third engine had ended under a bad request.
	ended   map[quarantiner.Identity]int
	result  EndsResult
}

type endsHost struct {
	placer *placer.Placer
	ledger *quarantiner.Ledger
}

type endsEngine struct {
	id   string
	born int64
	up   bool
	runs []*endsRun // runs are in the order in which they began, so that a seed gives one result.
}

// endsTry is one try of a caller.
type endsTry struct {
	id     quarantiner.Identity
	bad    bool
	host   *endsHost
	tried  []string
	sends  int
	runs   int
	cut    bool
	number int
	ended  func(t *endsTry, served bool)
}

type endsRun struct {
	try    *endsTry
	engine *endsEngine
	choice placer.Choice
	sent   time.Time
}

func newEndsModel(o EndsOptions, way EndsWay) *endsModel {
	m := &endsModel{
		opts: o, way: way, rng: rand.New(rand.NewPCG(o.Seed, 5)), result: EndsResult{Way: way},
		third: make(map[quarantiner.Identity]time.Duration), ended: make(map[quarantiner.Identity]int),
	}
	for i := range o.Engines {
		m.engines = append(m.engines, &endsEngine{id: fmt.Sprint("engine-", i), born: 1, up: true})
	}
	m.born = 1
	for i := range o.Hosts {
		h := &endsHost{placer: placer.New(placer.Options{Host: fmt.Sprint("host-", i), Seed: uint64(i)})}
		h.ledger = quarantiner.New(quarantiner.Options{Changed: func() { m.after(endsTold, func() { m.tell(h) }) }})
		m.hosts = append(m.hosts, h)
	}
	m.show()
	return m
}

func (m *endsModel) time() time.Time { return simEpoch.Add(m.now) }

func (m *endsModel) run() EndsResult {
	m.every(endsReports, m.report)
	m.arrive()
	if m.opts.Crashes > 0 {
		m.crash()
	}
	for bad := range m.opts.Bad {
		for range m.opts.Callers {
			m.after(time.Duration(m.rng.Int64N(int64(endsAgain))), func() { m.again(bad) })
		}
	}
	m.until(m.opts.For)
	return m.result
}

func (m *endsModel) every(d time.Duration, f func()) {
	m.after(d, func() {
		f()
		m.every(d, f)
	})
}

// show lets the hosts see which engines there are.
func (m *endsModel) show() {
	view := &follower.View{Listed: true, Table: matcher.New(matcher.Parts{Services: []matcher.Service{
		{Name: endsService, Engine: &matcher.Engine{Slots: endsSlots, CapacityTokens: endsMemory, BytesPerToken: 18432, LinkMbps: 370_000}},
	}})}
	var upstreams []follower.Upstream
	for _, e := range m.engines {
		upstreams = append(upstreams, follower.Upstream{
			ID: e.id, Born: e.born, Service: endsService, Standing: follower.StandingReady, Slots: endsSlots, Weights: map[string]uint64{"m": 1},
		})
	}
	view.Upstreams = follower.ListOf(upstreams...)
	for _, h := range m.hosts {
		h.placer.Update(view)
	}
}

func (m *endsModel) report() {
	for i, h := range m.hosts {
		h.placer.Watch(m.time())
		r := h.placer.Report()
		for j, o := range m.hosts {
			if i != j {
				o.placer.Heard(m.time(), fmt.Sprint("host-", i), r)
			}
		}
	}
}

func (m *endsModel) tell(h *endsHost) {
	words := h.ledger.News(m.time())
	for _, o := range m.hosts {
		if o != h && len(words) > 0 {
			o.ledger.Hear(m.time(), words)
		}
	}
}

// arrive lets requests that harm nobody come.
func (m *endsModel) arrive() {
	m.after(time.Duration(m.rng.ExpFloat64()/m.opts.Rate*float64(time.Second)), func() {
		m.result.Others++
		m.other(fmt.Sprint("other-", m.result.Others), 1)
		m.arrive()
	})
}

// other is one try of a caller whose request harms nobody.
func (m *endsModel) other(name string, number int) {
	t := m.newTry(name)
	t.number = number
	t.ended = func(t *endsTry, served bool) {
		switch {
		case served:
		case number < endsTries:
			m.other(name, number+1)
		default:
			m.result.Failed++
		}
	}
	m.choose(t)
}

// again is a caller of a bad request, who sends it for as long as the run lasts.
func (m *endsModel) again(bad int) {
	t := m.newTry(fmt.Sprint("bad-", bad))
	t.bad = true
	t.ended = func(*endsTry, bool) { m.after(endsAgain, func() { m.again(bad) }) }
	m.choose(t)
}

func (m *endsModel) newTry(name string) *endsTry {
	return &endsTry{id: quarantiner.Identify(quarantiner.Parts{Target: name}), host: m.hosts[m.rng.IntN(len(m.hosts))]}
}

// choose sends a try to an engine, or ends it.
func (m *endsModel) choose(t *endsTry) {
	ask := &placer.Ask{Service: endsService, Exclude: t.tried, SaltOf: func(uint64) string { return "" },
		Prompt: &placer.Prompt{Model: "m", Output: 10, Parts: []placer.Part{{ID: t.id.String(), Tokens: endsPrompt}}}}
	v := t.host.ledger.Standing(m.time(), t.id)
	switch {
	case m.way == EndsForgotten:
	case v.Standing == quarantiner.Barred:
		if !t.bad {
			m.result.Barred++
		}
		t.ended(t, false)
		return
	case v.Standing == quarantiner.Suspect && m.way == EndsApart:
		ask.Apart = placer.Apart{Key: t.id.Key(), Ends: v.Ends}
	case v.Standing == quarantiner.Suspect && m.way == EndsLeast:
		ask.Exclude = m.butLeast(t)
	}
	choice, verdict := t.host.placer.Choose(m.time(), ask)
	if verdict == placer.None && len(ask.Exclude) > len(t.tried) {
		ask.Exclude = t.tried // the one with the least under way takes nothing
		choice, verdict = t.host.placer.Choose(m.time(), ask)
	}
	switch verdict {
	case placer.Chosen:
		m.send(t, choice)
	case placer.Busy, placer.Awaits:
		m.after(endsPoll, func() { m.choose(t) })
	default:
		t.ended(t, false)
	}
}

// butLeast returns the names of all engines but the one that this host believes to have the
// least under way.
func (m *endsModel) butLeast(t *endsTry) []string {
	best, least := "", 0
	var all []string
	for _, e := range m.engines {
		all = append(all, e.id)
		busy := t.host.placer.Busy(m.start(e))
		if !slices.Contains(t.tried, e.id) && (best == "" || busy < least) {
			best, least = e.id, busy
		}
	}
	return slices.DeleteFunc(all, func(id string) bool { return id == best })
}

func (m *endsModel) start(e *endsEngine) string {
	return (&follower.Upstream{ID: e.id, Born: e.born}).Start()
}
