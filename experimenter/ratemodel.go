// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/internal/auditor"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/throttler"
	"amaranthgate.example/amaranthgate/tracker"
)

// Parameters of the simulation of a rate limit.
const (
	rateUpstream     = "upstream"
	rateStep         = 20 * time.Millisecond // interval at which hosts admit waiting requests
	rateLatency      = time.Millisecond      // of messages and requests
	rateGossip       = 50 * time.Millisecond // time until all hosts know a statement
	rateAnswer       = 15 * time.Millisecond // time until a request is answered
	rateDetect       = time.Second           // time until other hosts notice that a host has stopped
	rateDowntime     = 2 * time.Second
	rateSplitFrom    = 8 * time.Second
	rateSplitFor     = 3 * time.Second
	rateEventFrom    = 6 * time.Second
	rateEventSpacing = time.Second
	rateFallFrom     = 8 * time.Second
	rateFallFor      = 8 * time.Second
)

// rateModel simulates hosts that share the rate limit of one upstream.
type rateModel struct {
	opts        RateOptions
	rng         *rand.Rand
	began, now  time.Time
	queue       fleetEvents
	seq         int
	hosts       []*rateHost
	limit       float64
	auditor     *auditor.Auditor
	messages    int
	bytes       int
	mostWaiting int
}

type rateHost struct {
	model     *rateModel
	name      string
	throttler *throttler.Throttler // throttler is nil while the host is down.
	waiting   []time.Time          // deadlines of the waiting requests
}

func newRateModel(o RateOptions) *rateModel {
	began := time.Unix(1_700_000_000, 0)
	m := &rateModel{
		opts: o, rng: rand.New(rand.NewPCG(o.Seed, 2)), began: began, now: began,
		auditor: auditor.New(auditor.Options{Settle: rateSettle}),
	}
	for i := range o.activeHosts() {
		m.hosts = append(m.hosts, &rateHost{model: m, name: fmt.Sprintf("host-%03d", i)})
	}
	return m
}

func (m *rateModel) run() {
	for _, h := range m.hosts {
		h.start()
	}
	m.setHosts(m.names())
	m.declare(m.opts.Limit)
	m.scheduleArrival()
	m.inject()
	for end := m.began.Add(m.opts.For); len(m.queue) > 0 && !m.queue[0].at.After(end); {
		e := heap.Pop(&m.queue).(fleetEvent)
		m.now = e.at
		e.run()
	}
}

func (m *rateModel) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.queue, fleetEvent{at: m.now.Add(d), seq: m.seq, run: f})
}

// declare makes the upstream declare a limit.
func (m *rateModel) declare(limit float64) {
	m.limit = limit
	m.auditor.Declare(rateUpstream, m.now, limit)
	h := m.hosts[0]
	m.answer(h, m.now)
}

// answer lets a host have an answer to a request that was sent at a time.
func (m *rateModel) answer(h *rateHost, sent time.Time) {
	if h.throttler == nil {
		return
	}
	m.auditor.Told(rateUpstream, h.name, m.now)
	h.throttler.Declare(m.now, sent.Add(1), rateUpstream, m.limit)
	if changes := h.throttler.TakeChanges(); len(changes) > 0 {
		m.after(rateGossip, func() {
			for _, o := range m.hosts {
				if o.throttler != nil {
					o.throttler.Merge(m.now, changes)
				}
			}
		})
	}
}

func (m *rateModel) names() []string {
	var out []string
	for _, h := range m.hosts {
		if h.throttler != nil {
			out = append(out, h.name)
		}
	}
	return out
}

// setHosts gives all hosts the same view of the fleet.
func (m *rateModel) setHosts(names []string) {
	for _, h := range m.hosts {
		if h.throttler != nil {
			h.throttler.SetHosts(m.now, names, len(m.hosts))
		}
	}
}

// start starts a host, which knows no limit.
func (h *rateHost) start() {
	h.waiting = nil
	t := throttler.New(throttler.Options{Host: h.name, Waiting: func() int { return len(h.waiting) }, Granted: h.admit})
	h.throttler = t
	var step func()
	step = func() {
		if h.throttler != t {
			return
		}
		h.step()
		h.model.after(rateStep, step)
	}
	h.model.after(time.Duration(h.model.rng.Int64N(int64(rateStep))), step)
}

// step admits waiting requests and exchanges messages.
func (h *rateHost) step() {
	m := h.model
	h.waiting = slices.DeleteFunc(h.waiting, func(deadline time.Time) bool { return m.now.After(deadline) })
	h.admit()
	for _, msg := range h.throttler.Step(m.now) {
		m.send(h, msg)
	}
}

// admit sends waiting requests to the upstream as far as the limit allows.
func (h *rateHost) admit() {
	m := h.model
	for len(h.waiting) > 0 {
		if !h.throttler.Allows(m.now, rateUpstream) || !h.throttler.Take(m.now, rateUpstream) {
			h.throttler.Want(m.now, rateUpstream)
			return
		}
		h.waiting = h.waiting[1:]
		sent := m.now
		m.after(rateLatency, func() { m.auditor.Arrived(rateUpstream, h.name, sent, m.now) })
		m.after(rateAnswer, func() { m.answer(h, sent) })
	}
}

// send delivers a message of one host to another.
func (m *rateModel) send(from *rateHost, msg throttler.Message) {
	m.messages++
	m.bytes += len(messenger.Encode(&messenger.Message{Permits: &msg.Permits}))
	m.after(rateLatency, func() {
		for _, to := range m.hosts {
			if to.name != msg.To || to.throttler == nil {
				continue
			}
			for _, reply := range to.throttler.ReceiveAsks(m.now, from.name, msg.Permits.Asks) {
				m.send(to, reply)
			}
			to.throttler.ReceiveGrants(m.now, msg.Permits.Grants)
		}
	})
}

// scheduleArrival schedules the next request of a caller.
func (m *rateModel) scheduleArrival() {
	m.after(time.Duration(m.rng.ExpFloat64()/m.opts.Demand*float64(time.Second)), func() {
		h := m.hosts[m.rng.IntN(len(m.hosts))]
		if m.opts.Scenario == RateOneBusy {
			h = m.hosts[len(m.hosts)-1]
		}
		if h.throttler != nil {
			h.waiting = append(h.waiting, m.now.Add(m.opts.Deadline))
			m.mostWaiting = max(m.mostWaiting, len(h.waiting))
		}
		m.scheduleArrival()
	})
}

// owners returns the hosts in the order in which they own the limit.
func (m *rateModel) owners() []*rateHost {
	ranked := slices.Clone(m.hosts)
	slices.SortFunc(ranked, func(a, b *rateHost) int {
		if tracker.Rank(a.name, rateUpstream) > tracker.Rank(b.name, rateUpstream) {
			return -1
		}
		return 1
	})
	return ranked
}

// inject schedules what happens in the scenario.
func (m *rateModel) inject() {
	switch m.opts.Scenario {
	case RateRestarts:
		for i, h := range m.owners()[:min(6, len(m.hosts))] {
			m.after(rateEventFrom+time.Duration(i)*rateEventSpacing, func() { m.restart(h) })
		}
	case RateSplit:
		m.after(rateSplitFrom, m.split)
		m.after(rateSplitFrom+rateSplitFor, func() { m.setHosts(m.names()) })
	case RateJoin:
		added := (len(m.hosts) + 3) / 4
		for i := range added {
			m.after(rateEventFrom+rateEventSpacing*time.Duration(i)/time.Duration(added), m.join)
		}
	case RateFall:
		m.after(rateFallFrom, func() { m.declare(m.opts.Limit / 10) })
		m.after(rateFallFrom+rateFallFor, func() { m.declare(m.opts.Limit) })
	}
}

// restart stops a host and starts it again. The others notice after rateDetect.
func (m *rateModel) restart(h *rateHost) {
	h.throttler = nil
	m.auditor.Excuse(h.name, m.now, m.now.Add(rateDowntime))
	m.after(rateDetect, func() { m.setHosts(m.names()) })
	m.after(rateDowntime, func() {
		h.start()
		m.after(rateDetect, func() { m.setHosts(m.names()) })
	})
}

// split gives two halves of the fleet different views of the first owner.
func (m *rateModel) split() {
	first := m.owners()[0].name
	without := slices.DeleteFunc(m.names(), func(n string) bool { return n == first })
	for i, h := range m.hosts {
		if i%2 == 0 && h.name != first {
			h.throttler.SetHosts(m.now, without, len(m.hosts))
		}
	}
}

// join adds a host. Each other host learns of it within rateDetect.
func (m *rateModel) join() {
	h := &rateHost{model: m, name: fmt.Sprintf("host-%03d", len(m.hosts))}
	m.hosts = append(m.hosts, h)
	h.start()
	h.throttler.Merge(m.now, m.hosts[0].throttler.Limits(m.now))
	for _, o := range m.hosts {
		m.after(time.Duration(m.rng.Int64N(int64(rateDetect))), func() {
			if o.throttler != nil {
				o.throttler.SetHosts(m.now, m.names(), len(m.hosts))
			}
		})
	}
}
