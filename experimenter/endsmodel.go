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

// endsModel runs the placer and the quarantine ledger of each host against
// simulated engines.
type endsModel struct {
	eventLoop
	opts     EndsOptions
	policy   EndsPolicy
	rng      *rand.Rand
	hosts    []*endsHost
	engines  []*endsEngine
	lastBorn int64
	barredAt map[quarantiner.Identity]time.Duration // time at which a bad request reached quarantiner.BarThreshold
	ends     map[quarantiner.Identity]int
	result   EndsResult
}

type endsHost struct {
	placer *placer.Placer
	ledger *quarantiner.Ledger
}

type endsEngine struct {
	id   string
	born int64
	up   bool
	runs []*endsRun // in starting order, so that results depend on the seed only
}

// endsRequest is one request of a caller. A caller's retry is a new request.
type endsRequest struct {
	id           quarantiner.Identity
	bad          bool
	host         *endsHost
	triedEngines []string
	sends        int
	runs         int
	interrupted  bool
	attempt      int
	done         func(req *endsRequest, served bool)
}

type endsRun struct {
	request *endsRequest
	engine  *endsEngine
	choice  placer.Choice
	sent    time.Time
}

func newEndsModel(o EndsOptions, policy EndsPolicy) *endsModel {
	m := &endsModel{
		opts: o, policy: policy, rng: rand.New(rand.NewPCG(o.Seed, 5)), result: EndsResult{Policy: policy},
		barredAt: make(map[quarantiner.Identity]time.Duration), ends: make(map[quarantiner.Identity]int),
	}
	for i := range o.Engines {
		m.engines = append(m.engines, &endsEngine{id: fmt.Sprint("engine-", i), born: 1, up: true})
	}
	m.lastBorn = 1
	for i := range o.Hosts {
		h := &endsHost{placer: placer.New(placer.Options{Host: fmt.Sprint("host-", i), Seed: uint64(i)})}
		h.ledger = quarantiner.New(quarantiner.Options{
			Changed: func() { m.after(endsMessageDelay, func() { m.sendEntries(h) }) },
		})
		m.hosts = append(m.hosts, h)
	}
	m.updateHosts()
	return m
}

func (m *endsModel) clock() time.Time { return simEpoch.Add(m.now) }

func (m *endsModel) run() EndsResult {
	m.every(endsReportInterval, m.exchangeReports)
	m.scheduleOther()
	if m.opts.Crashes > 0 {
		m.scheduleCrash()
	}
	for bad := range m.opts.Bad {
		for range m.opts.Callers {
			m.after(time.Duration(m.rng.Int64N(int64(endsBadInterval))), func() { m.sendBad(bad) })
		}
	}
	m.runUntil(m.opts.For)
	return m.result
}

// every calls f periodically.
func (m *endsModel) every(d time.Duration, f func()) {
	m.after(d, func() {
		f()
		m.every(d, f)
	})
}

// updateHosts gives all hosts the current list of engines.
func (m *endsModel) updateHosts() {
	view := &follower.View{Listed: true, Table: matcher.New(matcher.Parts{Services: []matcher.Service{
		{Name: endsService, Engine: &matcher.Engine{
			Slots: endsSlots, CapacityTokens: endsCapacityTokens, BytesPerToken: 18432, LinkMbps: 370_000,
		}},
	}})}
	var upstreams []follower.Upstream
	for _, e := range m.engines {
		upstreams = append(upstreams, follower.Upstream{
			ID: e.id, Born: e.born, Service: endsService, Standing: follower.StandingReady,
			Slots: endsSlots, Weights: map[string]uint64{"m": 1},
		})
	}
	view.Upstreams = follower.ListOf(upstreams...)
	for _, h := range m.hosts {
		h.placer.Update(view)
	}
}

// exchangeReports sends each host's placement report to all others.
func (m *endsModel) exchangeReports() {
	for i, h := range m.hosts {
		h.placer.Watch(m.clock())
		r := h.placer.Report()
		for j, o := range m.hosts {
			if i != j {
				o.placer.ApplyReport(m.clock(), fmt.Sprint("host-", i), r)
			}
		}
	}
}

// sendEntries sends the changed entries of a host's ledger to all others.
func (m *endsModel) sendEntries(h *endsHost) {
	entries := h.ledger.TakeChanges(m.clock())
	for _, o := range m.hosts {
		if o != h && len(entries) > 0 {
			o.ledger.Merge(m.clock(), entries)
		}
	}
}

// scheduleOther schedules the next harmless request.
func (m *endsModel) scheduleOther() {
	m.after(time.Duration(m.rng.ExpFloat64()/m.opts.Rate*float64(time.Second)), func() {
		m.result.Others++
		m.sendOther(fmt.Sprint("other-", m.result.Others), 1)
		m.scheduleOther()
	})
}

// sendOther sends a harmless request, and again if it fails.
func (m *endsModel) sendOther(name string, attempt int) {
	req := m.newRequest(name)
	req.attempt = attempt
	req.done = func(req *endsRequest, served bool) {
		switch {
		case served:
		case attempt < endsMaxAttempts:
			m.sendOther(name, attempt+1)
		default:
			m.result.Failed++
		}
	}
	m.place(req)
}

// sendBad sends a bad request, and again after each end until the simulation
// ends.
func (m *endsModel) sendBad(bad int) {
	req := m.newRequest(fmt.Sprint("bad-", bad))
	req.bad = true
	req.done = func(*endsRequest, bool) { m.after(endsBadInterval, func() { m.sendBad(bad) }) }
	m.place(req)
}

func (m *endsModel) newRequest(name string) *endsRequest {
	return &endsRequest{
		id:   quarantiner.Identify(quarantiner.Parts{Target: name}),
		host: m.hosts[m.rng.IntN(len(m.hosts))],
	}
}

// place starts a request at an engine, waits for room, or fails the request.
func (m *endsModel) place(req *endsRequest) {
	ask := &placer.PlacementRequest{
		Service: endsService, Exclude: req.triedEngines, SaltOf: func(uint64) string { return "" },
		Prompt: &placer.Prompt{
			Model: "m", Output: 10, Parts: []placer.Part{{ID: req.id.String(), Tokens: endsPromptTokens}},
		},
	}
	v := req.host.ledger.Standing(m.clock(), req.id)
	switch {
	case m.policy == EndsNoQuarantine:
	case v.Standing == quarantiner.Barred:
		if !req.bad {
			m.result.Barred++
		}
		req.done(req, false)
		return
	case v.Standing == quarantiner.Suspect && m.policy == EndsIsolated:
		ask.Isolation = placer.Isolation{Key: req.id.Key(), EndedInstances: v.Ends}
	case v.Standing == quarantiner.Suspect && m.policy == EndsLeastLoaded:
		ask.Exclude = m.allButLeastLoaded(req)
	}
	choice, verdict := req.host.placer.Choose(m.clock(), ask)
	if verdict == placer.None && len(ask.Exclude) > len(req.triedEngines) {
		ask.Exclude = req.triedEngines // the least loaded engine has no room
		choice, verdict = req.host.placer.Choose(m.clock(), ask)
	}
	switch verdict {
	case placer.Chosen:
		m.startRun(req, choice)
	case placer.Busy, placer.AwaitPrefill:
		m.after(endsPollInterval, func() { m.place(req) })
	default:
		req.done(req, false)
	}
}

// allButLeastLoaded returns the names of all engines except the untried one
// with the fewest requests in flight, as the request's host knows them.
func (m *endsModel) allButLeastLoaded(req *endsRequest) []string {
	best, least := "", 0
	var all []string
	for _, e := range m.engines {
		all = append(all, e.id)
		busy := req.host.placer.InFlight(m.instance(e))
		if !slices.Contains(req.triedEngines, e.id) && (best == "" || busy < least) {
			best, least = e.id, busy
		}
	}
	return slices.DeleteFunc(all, func(id string) bool { return id == best })
}

// instance returns the name of an engine's current instance.
func (m *endsModel) instance(e *endsEngine) string {
	return (&follower.Upstream{ID: e.id, Born: e.born}).InstanceID()
}
