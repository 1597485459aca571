// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/exchanger"
)

// Parameters of the simulation of hosts that drain.
const (
	drainBegins  = 12 * time.Second // when the first drain begins; requests come from 0 on
	drainLatency = time.Millisecond // of requests
	drainNotice  = 50 * time.Millisecond
	drainStagger = 500 * time.Millisecond
	drainPoll    = 20 * time.Millisecond // interval at which a host that drains looks whether it ends
	drainRestart = time.Second           // from the end of a process until its host is ready again
	drainRedial  = 50 * time.Millisecond // until a caller that found no process tries again
	drainQuarter = 4                     // divides the hosts into those that drain
	drainCallers = 6                     // number of callers for each host
	drainLeast   = 6                     // least number of callers
	drainHistory = 300                   // number of earlier requests of each class that a host knows

	// Parameters of the design DrainByEstimate.
	drainEstimateMargin = 1.25
	drainEstimateEnd    = time.Second            // part of the grace after the end of requests
	drainEstimateLast   = 400 * time.Millisecond // from the end of listeners until that of requests
)

// drainClass is a class of requests.
type drainClass struct {
	name        string
	share       float64
	least, most time.Duration // least and most bound the deadline.
	stream      bool
}

var drainClasses = []drainClass{
	{name: "stream", share: 0.4, least: 4 * time.Second, most: 10 * time.Second, stream: true},
	{name: "once-brief", share: 0.2, least: 600 * time.Millisecond, most: 600 * time.Millisecond},
	{name: "once", share: 0.2, least: time.Minute, most: time.Minute},
	{name: "repeatable", share: 0.2, least: 30 * time.Second, most: 30 * time.Second},
}

// drainModel simulates hosts that drain.
type drainModel struct {
	eventLoop
	opts    DrainOptions
	rng     *rand.Rand // rng is that of requests, which are the same for all designs.
	hosts   []*drainHost
	callers []*drainCaller
	listed  []*drainHost // listed is the directory's answer: the hosts that others know to be ready. It is not changed.
	drains  int          // drains is the number of hosts that have yet to drain and come back.
	result  DrainResult
}

// drainRequest is a request of a caller.
type drainRequest struct {
	caller   *drainCaller
	class    *drainClass
	deadline time.Duration // deadline is the time after its arrival at which a host ends it.
	lasts    time.Duration
	sent     time.Duration // sent is when it was first sent.
	choices  [2]int        // choices select the addresses of its attempts.
	refused  *drainHost    // refused is the host that did not take it; nil if none.
	late     bool          // late reports that it was taken after callers had heard of the drain.
	over     bool
}

// drainCaller resolves addresses and keeps them for a time.
type drainCaller struct {
	model   *drainModel
	keeps   time.Duration
	expires time.Duration
	known   []*drainHost
	reuses  bool       // reuses reports that it keeps its connection open.
	pinned  bool       // pinned reports that it asks the directory only while it has no connection.
	conn    *drainHost // conn is the host of its open connection.
}

// drainHost is a host that may drain.
type drainHost struct {
	model     *drainModel
	number    int
	durations exchanger.Durations
	plan      exchanger.Drain
	draining  bool
	closing   time.Duration // closing is when it took no more requests; 0 if it does.
	down      bool
	active    time.Duration          // active is when last a request arrived or ended
	open      map[*drainRequest]bool // open are the requests in progress, true if brief.
	brief     int64
}

func newDrainModel(o DrainOptions) *drainModel {
	m := &drainModel{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 11))}
	m.result.DrainOptions = o
	for i := range o.Hosts {
		h := &drainHost{model: m, number: i, open: make(map[*drainRequest]bool)}
		for c := range drainClasses {
			for range drainHistory {
				r := m.draw(&drainClasses[c])
				h.durations.Record(r.class.name, min(r.lasts, r.deadline))
			}
		}
		m.hosts = append(m.hosts, h)
	}
	m.listed = slices.Clone(m.hosts)
	for i := range max(drainLeast, drainCallers*o.Hosts) {
		c := &drainCaller{model: m, known: m.hosts, keeps: o.TimeToLive, reuses: i%2 == 0, pinned: i%4 == 0}
		if i%3 == 0 {
			c.keeps *= 3
		}
		m.callers = append(m.callers, c)
	}
	return m
}

func (m *drainModel) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(m.now) }

func (m *drainModel) run() {
	chosen, apart := m.hosts, time.Duration(0)
	switch m.opts.Scenario {
	case DrainOne:
		chosen = m.hosts[:1]
	case DrainQuarter:
		chosen, apart = m.hosts[:max(m.opts.Hosts/drainQuarter, 1)], drainStagger
	case DrainStaggered:
		apart = drainStagger
	case DrainSeries:
		chosen = m.hosts[:min(m.opts.Hosts, 2)]
	}
	m.drains = len(chosen)
	if m.opts.Scenario == DrainSeries {
		chosen = chosen[:1]
	}
	for i, h := range chosen {
		m.after(drainBegins+time.Duration(i)*apart, h.drain)
	}
	m.arrive()
	m.runUntil(math.MaxInt64)
}

// arrive lets requests of callers arrive until all hosts are back.
func (m *drainModel) arrive() {
	m.after(time.Duration(m.rng.ExpFloat64()/(m.opts.Rate*float64(m.opts.Hosts))*float64(time.Second)), func() {
		if m.drains == 0 {
			return
		}
		draw := m.rng.Float64()
		i := 0
		for ; i < len(drainClasses)-1 && draw >= drainClasses[i].share; i++ {
			draw -= drainClasses[i].share
		}
		r := m.draw(&drainClasses[i])
		r.choices = [2]int{m.rng.Int(), m.rng.Int()}
		r.caller, r.sent = m.callers[m.rng.IntN(len(m.callers))], m.now
		if m.now >= drainBegins {
			m.result.Requests++
		}
		r.caller.send(r)
		m.arrive()
	})
}

// draw returns a request of a class.
func (m *drainModel) draw(c *drainClass) *drainRequest {
	deadline := c.least + time.Duration(m.rng.Float64()*float64(c.most-c.least))
	return &drainRequest{class: c, deadline: deadline, lasts: time.Duration(m.seconds() * float64(time.Second))}
}

// seconds returns how long the next request lasts.
func (m *drainModel) seconds() float64 {
	a, b := m.rng.Float64(), m.rng.NormFloat64()
	switch m.opts.Durations {
	case DrainLogNormal:
		return min(0.5*math.Exp(1.2*b), 7)
	case DrainRareLong:
		if a < 0.05 {
			return 1 + 80*a
		}
	case DrainPareto:
		return min(0.1*math.Pow(1-a, -1/1.1), 2*m.opts.Grace.Seconds())
	case DrainChange:
		if m.now >= drainBegins {
			return 3 * math.Exp(0.8*b)
		}
	case DrainConstant:
		return 0.3
	}
	return 0.1
}

// list changes the directory's answer once other hosts have heard.
func (m *drainModel) list(h *drainHost, ready bool) {
	m.after(drainNotice, func() {
		m.listed = slices.DeleteFunc(slices.Clone(m.listed), func(o *drainHost) bool { return o == h })
		if ready {
			m.listed = append(m.listed, h)
		}
	})
}

// send sends a request to a host that the caller knows.
func (c *drainCaller) send(r *drainRequest) {
	m := c.model
	if m.now >= c.expires && len(m.listed) > 0 && (c.conn == nil || !c.pinned) {
		c.known, c.expires = m.listed, m.now+c.keeps
		if !slices.Contains(c.known, c.conn) {
			c.conn = nil
		}
	}
	h := c.conn
	if h == nil || h == r.refused {
		choice := r.choices[0]
		if r.refused != nil {
			choice = r.choices[1]
		}
		if h = c.known[choice%len(c.known)]; h == r.refused {
			h = c.known[(choice+1)%len(c.known)]
		}
	}
	if c.reuses {
		c.conn = h
	}
	m.after(drainLatency, func() { h.receive(r) })
}

// refused retries a request once that a host has not taken.
func (c *drainCaller) refused(r *drainRequest, by *drainHost, after time.Duration) {
	c.closed(by)
	if r.refused != nil {
		c.model.result.RefusedTwice++
		return
	}
	r.refused = by
	c.model.after(after, func() { c.send(r) })
}

// closed notes that a host has closed the caller's connection.
func (c *drainCaller) closed(by *drainHost) {
	if c.conn == by {
		c.conn = nil
	}
}

func (h *drainHost) receive(r *drainRequest) {
	m := h.model
	if h.down {
		m.result.Unreached++
		r.caller.refused(r, h, drainRedial)
		return
	}
	h.active = m.now
	basis, taken := h.admit(r)
	brief := basis == exchanger.BasisDeadline && h.durations.Brief(m.clock(), m.clock().Add(r.deadline), r.class.name)
	if !taken {
		m.result.Refusals++
		r.caller.refused(r, h, h.state().RetryAfter())
		return
	}
	r.late = h.draining && !m.clock().Before(h.plan.Refuses)
	brief = basis == exchanger.BasisDeadline && (brief || m.opts.Design == DrainByEstimate)
	h.open[r] = brief
	if brief {
		h.brief++
	}
	if brief && m.opts.Design != DrainByEstimate {
		m.after(exchanger.BriefTime, func() {
			if h.open[r] {
				h.open[r] = false
				h.brief--
			}
		})
	}
	if added := m.now - drainLatency - r.sent; r.refused != nil {
		m.result.Added += added
		m.result.WorstAdded = max(m.result.WorstAdded, added)
	}
	took := min(r.lasts, r.deadline)
	m.after(took, func() {
		if r.over {
			return
		}
		h.close(r)
		h.durations.Record(r.class.name, took)
		if h.draining {
			r.caller.closed(h)
		}
	})
}

// close ends a request in progress.
func (h *drainHost) close(r *drainRequest) {
	if h.open[r] {
		h.brief--
	}
	delete(h.open, r)
	r.over = true
	if h.model.opts.Design != DrainByEstimate {
		h.active = h.model.now
	}
}

// state returns the state of the drain.
func (h *drainHost) state() exchanger.Drain {
	d := h.plan
	d.Alone = !slices.ContainsFunc(h.model.listed, func(o *drainHost) bool { return o != h })
	d.Closing = h.closing > 0
	return d
}

// admit reports whether the host takes a request, and on what.
func (h *drainHost) admit(r *drainRequest) (exchanger.Basis, bool) {
	m, now := h.model, h.model.clock()
	d := h.state()
	switch {
	case !h.draining:
		return exchanger.BasisNone, true
	case m.opts.Design == DrainTakeAll:
		return exchanger.BasisEarly, !d.Closing
	case m.opts.Design == DrainByEstimate:
		return h.admitByEstimate(r, d)
	case m.opts.Design == DrainRefuseAtOnce && !d.Alone:
		d.Refuses = time.Time{}
	}
	deadline := now.Add(r.deadline)
	return d.Admit(now, deadline, h.durations.Brief(now, deadline, r.class.name))
}

// admitByEstimate decides for DrainByEstimate.
func (h *drainHost) admitByEstimate(r *drainRequest, d exchanger.Drain) (exchanger.Basis, bool) {
	now := h.model.clock()
	end := d.End
	if last := now.Add(drainEstimateLast); d.Alone && last.Before(end) {
		end = last
	}
	longest, known := h.durations.Longest(r.class.name)
	estimate := time.Duration(drainEstimateMargin * float64(longest))
	switch {
	case d.Closing:
		return exchanger.BasisNone, false
	case now.Before(d.Refuses):
		return exchanger.BasisEarly, true
	}
	return exchanger.BasisDeadline, !now.Add(r.deadline).After(end) || known && !now.Add(estimate).After(end)
}

// drain begins the drain of the host.
func (h *drainHost) drain() {
	m := h.model
	h.draining = true
	h.plan = conductor.PlanDrain(m.clock(), m.opts.Grace, m.opts.TimeToLive)
	if m.opts.Design == DrainByEstimate {
		h.plan.Refuses = m.clock().Add(3 * m.opts.TimeToLive)
		h.plan.End = m.clock().Add(m.opts.Grace - drainEstimateEnd)
	}
	m.list(h, false)
	h.poll(m.now)
}

// poll ends the host when it is time to.
func (h *drainHost) poll(began time.Duration) {
	m := h.model
	if h.closing == 0 && h.closes() {
		h.closing = m.now
	}
	over := !m.clock().Before(h.plan.End)
	if m.opts.Design == DrainByEstimate {
		over = m.now-h.closing >= drainEstimateLast
	}
	if h.closing > 0 && (over || len(h.open) == 0) {
		h.end(began)
		return
	}
	if h.closing > 0 && m.opts.Design != DrainByEstimate && h.state().Alone && m.now-h.closing > conductor.MaxClosing {
		h.closing = 0
	}
	m.after(drainPoll, func() { h.poll(began) })
}

// closes reports whether the host takes no more requests.
func (h *drainHost) closes() bool {
	m, now := h.model, h.model.clock()
	p := conductor.DrainProgress{
		Drain: h.state(), Active: now.Add(h.active - m.now), Open: int64(len(h.open)), Brief: h.brief, Reading: len(h.open) > 0,
	}
	switch m.opts.Design {
	case DrainTakeAll:
		return p.Over(now) || p.Idle(now)
	case DrainByEstimate:
		return p.Over(now.Add(drainEstimateLast)) || p.Idle(now) || p.OnlyBrief(now)
	}
	return p.Over(now) || p.Idle(now) || p.OnlyBrief(now)
}

// end cuts what is in progress and restarts the host.
func (h *drainHost) end(began time.Duration) {
	m := h.model
	h.down = true
	m.result.Ends = append(m.result.Ends, DrainEnd{Host: h.number, Began: began, Took: m.now - began, Cut: len(h.open)})
	for r := range h.open {
		h.close(r)
		r.caller.closed(h)
		switch {
		case !r.late:
			m.result.CutEarly++
		case r.class.stream:
			m.result.Lost++
		default:
			m.result.BadGateway++
		}
	}
	m.after(drainRestart, func() {
		h.down, h.draining, h.closing, h.plan = false, false, 0, exchanger.Drain{}
		m.list(h, true)
		m.drains--
		m.result.Back = m.now - drainBegins
		if m.opts.Scenario == DrainSeries && m.drains > 0 && h == m.hosts[0] {
			m.hosts[1].drain()
		}
	})
}
