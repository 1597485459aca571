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
)

// Parameters of the simulation of brittle upstreams. Intervals are those of conductor.DefaultTiming.
const (
	brittleService      = "plain"
	brittleLatency      = 500 * time.Microsecond // of messages, requests and answers
	brittleAdmit        = 20 * time.Millisecond
	brittleReport       = 100 * time.Millisecond
	brittleLending      = time.Millisecond // least time between two steps of lending
	brittleMeshHosts    = 48               // number of hosts up to which each reports to all others
	brittleGossip       = 50 * time.Millisecond
	brittleDetect       = time.Second             // time until other hosts notice that a host has started or stopped
	brittleStartup      = 1500 * time.Millisecond // time after its start in which a host does not count others
	brittleKept         = 5 * time.Second         // time for which no other host owns slots in place of one that is gone
	brittleCounted      = 5100 * time.Millisecond // time for which hosts count one that is gone
	brittleOnset        = time.Second             // from which upstreams say that they are brittle
	brittleQueuesGo     = 3 * time.Second
	brittleLoadChanges  = 5 * time.Second
	brittleEnd          = 12 * time.Second
	brittleDowntime     = 2 * time.Second
	brittleDowntimeHost = 2 * time.Second
	brittleSplitFor     = 4 * time.Second
	brittlePartedFor    = 9 * time.Second
	brittleShift        = 400 * time.Millisecond
	brittleShare        = 4 // divides the hosts into those that something happens to
	brittleAttempts     = 2
	brittleZones        = 4
	// brittleClaim is the time in which hosts claim a slot that is free.
	brittleClaim = 50 * time.Millisecond
	brittleWatch = 10 * time.Millisecond // interval at which slots are looked at
)

// brittleModel simulates hosts that share brittle upstreams.
type brittleModel struct {
	eventLoop
	opts      BrittleOptions
	rng       *rand.Rand
	view      *follower.View
	upstreams []*brittleUpstream
	hosts     []*brittleHost
	byName    map[string]*brittleHost
	result    BrittleResult
	messages  int
}

// brittleUpstream is an upstream that ends if it refuses too many requests in a second.
type brittleUpstream struct {
	model     *brittleModel
	instance  string
	down      bool
	start     int // start is incremented by each start.
	runs      []*brittleCall
	queue     []*brittleCall
	refusals  []time.Duration
	claimedAt time.Duration // claimedAt is when it last had no slot to claim.
}

// brittleCall is a request at a host.
type brittleCall struct {
	host     *brittleHost
	deadline time.Duration
	attempts int
	ticket   *placer.Ticket
	sent     time.Time
}

func newBrittleModel(o BrittleOptions) *brittleModel {
	m := &brittleModel{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 5)), byName: make(map[string]*brittleHost)}
	m.result.BrittleOptions = o
	m.view = &follower.View{Table: matcher.New(matcher.Parts{Services: []matcher.Service{{Name: brittleService}}})}
	var listed []follower.Upstream
	for i := range o.Upstreams {
		u := follower.Upstream{ID: fmt.Sprint("upstream-", i), Service: brittleService, Standing: follower.StandingReady, Slots: o.Slots}
		listed = append(listed, u)
		m.upstreams = append(m.upstreams, &brittleUpstream{model: m, instance: u.InstanceID()})
	}
	m.view.Upstreams = follower.ListOf(listed...)
	for i := range o.Hosts {
		h := &brittleHost{model: m, number: i, name: fmt.Sprintf("host-%03d", i)}
		m.hosts, m.byName[h.name] = append(m.hosts, h), h
	}
	return m
}

func (m *brittleModel) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(m.now) }

func (m *brittleModel) run() {
	later := 0
	if m.opts.Scenario == BrittleJoins {
		later = m.opts.Hosts / brittleShare
	}
	for i, h := range m.hosts {
		if i >= later {
			h.start(true)
		}
	}
	m.publishHosts(0)
	m.after(brittleQueuesGo, func() {
		for _, u := range m.upstreams {
			u.watch()
		}
	})
	m.arrive()
	m.inject(later)
	m.runUntil(brittleEnd)
	for _, u := range m.upstreams {
		m.result.Worst = max(m.result.Worst, worstSecond(u.refusals))
	}
	if m.result.Served > 0 {
		m.result.Messages = float64(m.messages) / float64(m.result.Served)
	}
	for _, h := range m.hosts {
		m.result.Busiest = max(m.result.Busiest, float64(h.received)/(brittleEnd-brittleQueuesGo).Seconds())
	}
}

// queuesGone reports whether the queues are gone.
func (m *brittleModel) queuesGone() bool { return m.now >= brittleQueuesGo }

// worstSecond returns the largest number of times within a second.
func worstSecond(times []time.Duration) int {
	worst, from := 0, 0
	for i, at := range times {
		for at-times[from] >= time.Second {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}

// arrive lets requests of callers arrive at the hosts that run.
func (m *brittleModel) arrive() {
	load := m.opts.Calm
	if m.now >= brittleLoadChanges {
		load = m.opts.Load
	}
	perSecond := load * float64(m.opts.Upstreams*m.opts.Slots) / m.opts.Service.Seconds()
	m.after(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if h := m.pick(); h != nil {
			h.receive(&brittleCall{host: h, deadline: m.now + m.opts.Deadline})
		}
		m.arrive()
	})
}

// pick returns the host that the next caller asks.
func (m *brittleModel) pick() *brittleHost {
	for range 10 * len(m.hosts) {
		h := m.hosts[m.rng.IntN(len(m.hosts))]
		if m.opts.Scenario == BrittleShift {
			busy := max(len(m.hosts)/brittleShare, 1)
			first := int(m.now/brittleShift) * busy
			h = m.hosts[(first+m.rng.IntN(busy))%len(m.hosts)]
		}
		if h.placer != nil && !h.frozen && m.now >= h.takesFrom {
			return h
		}
	}
	return nil
}

// inject schedules what happens in the scenario.
func (m *brittleModel) inject(later int) {
	affected := m.hosts[:m.opts.Hosts/brittleShare]
	switch m.opts.Scenario {
	case BrittleJoins:
		for i, h := range m.hosts[:later] {
			m.after(brittleQueuesGo-500*time.Millisecond+time.Second*time.Duration(i)/time.Duration(later), func() { h.join() })
		}
	case BrittleLosses:
		for i, h := range affected {
			m.after(brittleQueuesGo+time.Second*time.Duration(i)/time.Duration(len(affected)), h.restart)
		}
	case BrittleFreeze:
		for _, h := range affected {
			m.after(brittleQueuesGo-200*time.Millisecond, func() { h.freeze(2 * time.Second) })
		}
	case BrittleSplit, BrittleParted:
		d := brittleSplitFor
		if m.opts.Scenario == BrittleParted {
			d = brittlePartedFor
		}
		m.after(brittleQueuesGo-time.Second, func() { m.split(true) })
		m.after(brittleQueuesGo-time.Second+d, func() { m.split(false) })
	}
}

// split cuts the hosts into two halves, or joins them again.
func (m *brittleModel) split(on bool) {
	for i, h := range m.hosts {
		h.side = 0
		if on {
			h.side = i % 2
		}
	}
	m.publishHosts(brittleDetect)
}

// publishHosts tells each host, within a time, which others it hears.
func (m *brittleModel) publishHosts(within time.Duration) {
	for _, h := range m.hosts {
		var d time.Duration
		if within > 0 {
			d = time.Duration(m.rng.Int64N(int64(within)))
		}
		m.after(d, h.countHosts)
		m.after(d+brittleCounted, h.countHosts)
	}
}

func (u *brittleUpstream) brittle() bool { return !u.model.opts.Sound && u.model.now >= brittleOnset }

// room returns the number of requests that may wait.
func (u *brittleUpstream) room() int {
	if u.brittle() && u.model.queuesGone() {
		return 0
	}
	return u.model.opts.Queue
}

func (u *brittleUpstream) receive(c *brittleCall) {
	m := u.model
	switch {
	case u.down:
		m.after(brittleLatency, func() { c.host.ended(c, placer.ResultUnreachable) })
	case len(u.runs) < m.opts.Slots:
		u.begin(c)
	case len(u.queue) < u.room():
		u.queue = append(u.queue, c)
	default:
		u.refuse(c)
	}
}

func (u *brittleUpstream) begin(c *brittleCall) {
	m, start := u.model, u.start
	u.runs = append(u.runs, c)
	took := time.Duration((0.9 + 0.2*m.rng.Float64()) * float64(m.opts.Service))
	m.after(took, func() {
		if u.start != start {
			return // it has ended since
		}
		u.runs = slices.DeleteFunc(u.runs, func(o *brittleCall) bool { return o == c })
		if m.queuesGone() {
			m.result.Served++
		}
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			u.begin(next)
		}
		u.answer(c, placer.ResultServed)
	})
}

// answer sends the answer to a request, with what the upstream says of itself.
func (u *brittleUpstream) answer(c *brittleCall, result placer.Result) {
	brittle := u.brittle()
	u.model.after(brittleLatency, func() {
		c.host.learn(u, c.sent, brittle)
		c.host.ended(c, result)
	})
}

func (u *brittleUpstream) refuse(c *brittleCall) {
	m := u.model
	m.result.Refusals++
	u.answer(c, placer.ResultFull)
	if !u.brittle() || !m.queuesGone() {
		return
	}
	u.refusals = append(u.refusals, m.now)
	recent := 0
	for _, at := range u.refusals {
		if m.now-at < time.Second {
			recent++
		}
	}
	if recent > m.opts.Limit {
		u.fall()
	}
}

// fall ends the upstream for a time.
func (u *brittleUpstream) fall() {
	m := u.model
	m.result.Falls++
	u.down = true
	u.start++
	u.runs, u.queue = nil, nil
	for _, h := range m.hosts {
		h.upstreamEnded(u)
	}
	m.after(brittleDowntime, func() { u.down = false })
}

// idle reports whether a slot has been free, for longer than hosts need to claim it, at an owner that a host hears.
func (u *brittleUpstream) idle(h *brittleHost) bool {
	return u.model.now-u.claimedAt > brittleClaim && u.claimable(func(o *brittleHost) bool { return o.heardBy(h) })
}

// claimable reports whether one of some owners has a slot that it neither uses nor has lent.
func (u *brittleUpstream) claimable(of func(owner *brittleHost) bool) bool {
	m := u.model
	if u.down || len(u.runs) == m.opts.Slots {
		return false
	}
	return slices.ContainsFunc(m.hosts, func(o *brittleHost) bool {
		if !of(o) {
			return false
		}
		part, lent := o.placer.LendingPart(m.clock(), u.instance)
		for _, c := range u.runs {
			if c.host == o {
				part--
			}
		}
		return part > lent
	})
}

// watch notes when the upstream had no slot to claim.
func (u *brittleUpstream) watch() {
	if !u.claimable(func(o *brittleHost) bool { return o.placer != nil && !o.frozen }) {
		u.claimedAt = u.model.now
	}
	u.model.after(brittleWatch, u.watch)
}
