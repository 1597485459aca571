// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/lender"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
)

// brittleHost runs the choices of a host.
type brittleHost struct {
	model     *brittleModel
	number    int
	name      string
	placer    *placer.Placer // placer is nil while the host is down.
	takesFrom time.Duration  // takesFrom is when callers begin to ask the host.
	countsAt  time.Duration  // countsAt is when the host begins to count others.
	side      int            // side is that of a partition.
	frozen    bool
	heard     []string                          // heard are the hosts that it heard at the last count.
	lastHeard map[string]time.Duration          // lastHeard is when it last heard each host.
	thawedAt  time.Duration                     // thawedAt is when it last went on after standing still.
	pending   []func()                          // pending is what a frozen host does when it goes on.
	waiting   []*brittleCall                    // waiting are in the order of their arrival.
	calls     map[*brittleCall]*brittleUpstream // calls are in flight.
	waking    bool
	lending   bool          // lending reports that a step of lending is due.
	lentAt    time.Duration // lentAt is when the last step of lending was.
	received  int           // received is the number of messages about slots since the queues are gone.
}

// start starts the host, among others that start with it or alone.
func (h *brittleHost) start(together bool) {
	m := h.model
	h.waiting, h.calls, h.heard, h.lastHeard = nil, make(map[*brittleCall]*brittleUpstream), nil, make(map[string]time.Duration)
	h.waking, h.lending, h.lentAt = false, false, 0
	p := placer.New(placer.Options{
		Host: h.name, Seed: m.opts.Seed<<16 + uint64(h.number), HoldFull: true,
		Epoch: uint64(m.clock().UnixNano()), Waiting: func() int { return len(h.waiting) }, OnRoom: h.wake, OnLending: h.lend,
	})
	h.placer = p
	p.Update(m.view)
	if !together {
		h.takesFrom, h.countsAt = m.now+brittleDetect, m.now+brittleStartup
		m.after(brittleStartup, h.countHosts)
		for _, o := range m.hosts { // the first host that greets it tells what it knows
			if o != h && o.heardBy(h) {
				p.MergeBrittle(m.clock(), o.placer.BrittleNews(m.clock()))
				break
			}
		}
	}
	h.every(p, brittleAdmit, h.admit)
	h.every(p, brittleReport, h.report)
	h.every(p, brittleAdmit, h.lend)
}

// every runs f at an interval while the host runs and is not frozen.
func (h *brittleHost) every(p *placer.Placer, interval time.Duration, f func()) {
	m := h.model
	var tick func()
	tick = func() {
		if h.placer != p {
			return
		}
		if !h.frozen {
			f()
		}
		m.after(interval, tick)
	}
	m.after(time.Duration(m.rng.Int64N(int64(interval))), tick)
}

// do runs f now, or when a frozen host goes on.
func (h *brittleHost) do(f func()) {
	if h.frozen {
		h.pending = append(h.pending, f)
		return
	}
	f()
}

func (h *brittleHost) freeze(d time.Duration) {
	if h.placer == nil {
		return
	}
	h.frozen = true
	h.thawedAt = h.model.now + d
	h.model.publishHosts(brittleDetect)
	h.model.after(d, func() {
		h.frozen = false
		pending := h.pending
		h.pending = nil
		for _, f := range pending {
			f()
		}
		h.model.publishHosts(brittleDetect)
	})
}

func (h *brittleHost) join() {
	h.start(false)
	h.model.publishHosts(brittleDetect)
}

// restart ends the host and starts it again. The others notice after brittleDetect.
func (h *brittleHost) restart() {
	m := h.model
	for c, u := range h.calls {
		u.abandon(c)
	}
	h.placer = nil
	m.publishHosts(brittleDetect)
	m.after(brittleDowntimeHost, h.join)
}

// abandon ends a request whose host is gone; one that runs keeps its slot.
func (u *brittleUpstream) abandon(c *brittleCall) {
	u.queue = slices.DeleteFunc(u.queue, func(o *brittleCall) bool { return o == c })
}

// heardBy reports whether another host hears this one.
func (h *brittleHost) heardBy(o *brittleHost) bool {
	return h.placer != nil && !h.frozen && h.side == o.side
}

// countHosts counts the hosts that are heard.
func (h *brittleHost) countHosts() {
	m := h.model
	if h.placer == nil || m.now < h.countsAt {
		return
	}
	var heard []string
	for _, o := range m.hosts {
		if o.heardBy(h) {
			heard = append(heard, o.name)
		}
	}
	if m.opts.Scenario == BrittleFlap {
		m.rng.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
		heard = heard[:m.rng.IntN(len(heard))+1]
		m.after(brittleReport, h.countHosts)
	}
	for _, name := range append(h.heard, heard...) { // those of the last call were heard until now
		h.lastHeard[name] = m.now
	}
	h.heard = heard
	var names []string
	var known []tracker.HostRecord
	for name, at := range h.lastHeard {
		if m.now-at < brittleKept {
			names = append(names, name)
			known = append(known, tracker.HostRecord{Host: name, AvailabilityZone: fmt.Sprint("zone-", m.byName[name].number%brittleZones)})
		}
	}
	h.placer.SetSharingHosts(m.clock(), names, conductor.SlotOwners(known))
}

// report tells the other hosts of this one's work. In a large fleet they get it in a sum, and later.
func (h *brittleHost) report() {
	m := h.model
	r := h.placer.Report()
	if len(m.hosts) > brittleMeshHosts {
		return
	}
	m.after(brittleLatency, func() {
		for _, o := range m.hosts {
			if o != h && o.heardBy(h) {
				o.placer.ApplyReport(m.clock(), h.name, r)
			}
		}
	})
}

// lend lends and borrows slots, as soon as the interval between two steps allows.
func (h *brittleHost) lend() {
	m, p := h.model, h.placer
	if h.lending {
		return
	}
	h.lending = true
	m.after(max(h.lentAt+brittleLending-m.now, 0), func() {
		if h.placer != p {
			return
		}
		h.lending = false
		h.do(func() {
			if h.placer == p {
				h.lentAt = m.now
				h.post(p.StepLending(m.clock()))
				h.tell(p.TakeBrittleNews(m.clock()))
			}
		})
	})
}

// tell tells the other hosts what upstreams have said.
func (h *brittleHost) tell(news []placer.BrittleNews) {
	m := h.model
	if len(news) == 0 {
		return
	}
	m.after(brittleGossip, func() {
		for _, o := range m.hosts {
			if o.side == h.side && o != h {
				o.do(func() {
					if o.placer != nil {
						o.placer.MergeBrittle(m.clock(), news)
					}
				})
			}
		}
	})
}

// post sends messages about slots.
func (h *brittleHost) post(messages []lender.Message) {
	m := h.model
	for _, l := range messages {
		to := m.byName[l.To]
		if m.queuesGone() {
			m.messages++
		}
		m.after(brittleLatency, func() {
			if to.side == h.side {
				to.receiveMessage(h, &l)
			}
		})
	}
}

func (h *brittleHost) receiveMessage(from *brittleHost, l *lender.Message) {
	m := h.model
	if m.queuesGone() {
		h.received++
	}
	h.do(func() {
		if h.placer != nil {
			h.post(h.placer.ReceiveLending(m.clock(), from.name, l))
		}
	})
}

// learn records what an answer says of its upstream.
func (h *brittleHost) learn(u *brittleUpstream, sent time.Time, brittle bool) {
	m := h.model
	h.do(func() {
		switch {
		case h.placer == nil:
		case brittle:
			h.placer.MarkBrittle(m.clock(), u.instance, float64(m.opts.Limit))
		default:
			h.placer.MarkSound(m.clock(), sent, u.instance)
		}
	})
}

func (h *brittleHost) receive(c *brittleCall) {
	if h.model.queuesGone() {
		h.model.result.Asked++
	}
	h.waiting = append(h.waiting, c)
	h.wake()
}

// wake admits waiting requests at once.
func (h *brittleHost) wake() {
	if h.waking || len(h.waiting) == 0 {
		return
	}
	h.waking = true
	h.model.after(0, func() {
		h.waking = false
		h.do(h.admit)
	})
}

// admit sends the waiting requests that upstreams have room for, and refuses those that are too late.
func (h *brittleHost) admit() {
	m := h.model
	h.waiting = slices.DeleteFunc(h.waiting, func(c *brittleCall) bool {
		if m.now+m.opts.Service <= c.deadline {
			return false
		}
		h.refuse()
		return true
	})
	for h.placer != nil && len(h.waiting) > 0 {
		c := h.waiting[0]
		choice, verdict := h.placer.Choose(m.clock(), &placer.PlacementRequest{Service: brittleService})
		if verdict != placer.Chosen {
			return
		}
		h.waiting = h.waiting[1:]
		h.send(c, choice)
	}
}

// refuse records that a caller is refused. One whose host has stood still could not be helped.
func (h *brittleHost) refuse() {
	m := h.model
	if m.queuesGone() && m.now-h.thawedAt > m.opts.Deadline && slices.ContainsFunc(m.upstreams, func(u *brittleUpstream) bool { return u.idle(h) }) {
		m.result.RefusedFree++
	}
}

func (h *brittleHost) send(c *brittleCall, choice placer.Choice) {
	m := h.model
	i := slices.IndexFunc(m.upstreams, func(u *brittleUpstream) bool { return u.instance == choice.Upstream.InstanceID() })
	u := m.upstreams[i]
	c.ticket, c.sent = choice.Ticket, m.clock()
	c.attempts++
	h.calls[c] = u
	m.after(brittleLatency, func() {
		if h.calls[c] == u { // the host may have ended
			u.receive(c)
		}
	})
}

// ended records the end of an attempt.
func (h *brittleHost) ended(c *brittleCall, result placer.Result) {
	h.do(func() {
		if _, ok := h.calls[c]; !ok || h.placer == nil {
			return
		}
		delete(h.calls, c)
		c.ticket.Done(h.model.clock(), result)
		if result != placer.ResultServed && c.attempts < brittleAttempts {
			h.waiting = append(h.waiting, c)
			h.wake()
		}
	})
}

// upstreamEnded fails the requests in flight at an upstream that has ended.
func (h *brittleHost) upstreamEnded(u *brittleUpstream) {
	for c, at := range h.calls {
		if at == u {
			h.model.after(brittleLatency, func() { h.ended(c, placer.ResultFailed) })
		}
	}
}
