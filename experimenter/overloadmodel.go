// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// Parameters of the simulation of overload that all variants share. Intervals are those of
// conductor.DefaultTiming.
const (
	overloadService        = "engines"
	overloadModelName      = "m"
	overloadLatency        = time.Millisecond // of messages, requests and answers
	overloadAdmitTick      = 20 * time.Millisecond
	overloadReport         = 100 * time.Millisecond
	overloadUrgentInterval = 4 * time.Millisecond
	overloadReportLarge    = 400 * time.Millisecond // beyond activator.MaxAllActive hosts
	overloadPromptTokens   = 50                     // short, so that engines are bounded by their slots
	overloadOutputTokens   = 50
	overloadCapacity       = 67_000
	overloadBurstFrom      = 2 * time.Second
	overloadBurstFor       = 3 * time.Second
	overloadPartitionFrom  = 3 * time.Second
	overloadPartitionFor   = 3 * time.Second
	overloadLossShare      = 0.1
	// overloadMaxWait divides the remaining time of a caller into the longest wait before a retry.
	overloadMaxWait = 3
	// overloadLeastTime is the remaining time below which a caller does not retry. It is the least
	// Retry-After.
	overloadLeastTime = 50 * time.Millisecond
)

// overloadModel runs the placer and the admission of each host against simulated engines.
type overloadModel struct {
	eventLoop
	opts     OverloadOptions
	rng      *rand.Rand // rng is for arrivals only, which are the same for all variants.
	retryRng *rand.Rand
	lossRng  *rand.Rand
	hosts    []*overloadHost
	// running are the names of the running hosts; nil if that is to be collected again.
	running     []string
	hostsByName map[string]*overloadHost
	engines     map[string]*overloadEngine // engines are by ID.
	view        *follower.View
	result      OverloadResult
	arrivals    []time.Duration
	inFlight    int // inFlight is the number of requests that hosts have sent and not seen the end of.
	waiting     int // waiting is the number of requests that wait at all hosts.
	use         overloadUse
	refusals    []*overloadCall // refusals are the requests that were refused, in the order of their first refusal.
}

// overloadCall is a request of a caller with its retries.
type overloadCall struct {
	number    int
	first     time.Duration // first is when its first try arrived at a host.
	group     OverloadGroup
	tries     int
	refused   bool
	refusedAt time.Duration // refusedAt is the time of its first refusal.
	ran       bool          // ran reports whether it was answered or sent to an engine in vain.
}

// deadline returns the latest useful answer.
func (c *overloadCall) deadline(o *OverloadOptions) time.Duration { return c.first + o.Deadline }

// identity returns what hosts recognize a repeated request by.
func (c *overloadCall) identity() quarantiner.Identity {
	var id quarantiner.Identity
	binary.BigEndian.PutUint64(id[:], uint64(c.number)+1)
	return id
}

func newOverloadModel(o OverloadOptions) *overloadModel {
	m := &overloadModel{
		opts: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), retryRng: rand.New(rand.NewPCG(o.Seed, 12)),
		lossRng: rand.New(rand.NewPCG(o.Seed, 13)), engines: make(map[string]*overloadEngine), hostsByName: make(map[string]*overloadHost), result: NewOverloadResult(o),
	}
	m.view = &follower.View{Listed: true, Table: matcher.New(matcher.Parts{Services: []matcher.Service{
		{Name: overloadService, Engine: &matcher.Engine{Slots: o.Slots, CapacityTokens: overloadCapacity, BytesPerToken: 100, LinkMbps: 370_000}},
	}})}
	var upstreams []follower.Upstream
	for i := range o.Engines {
		id := fmt.Sprint("engine-", i)
		m.engines[id] = &overloadEngine{model: m}
		upstreams = append(upstreams, follower.Upstream{
			ID: id, Born: 1, Service: overloadService, Standing: follower.StandingReady, Slots: o.Slots,
			Weights: map[string]uint64{overloadModelName: 1},
		})
	}
	m.view.Upstreams = follower.ListOf(upstreams...)
	for i := range o.Hosts {
		h := &overloadHost{model: m, number: i, name: fmt.Sprintf("host-%03d", i)}
		m.hosts, m.hostsByName[h.name] = append(m.hosts, h), h
	}
	return m
}

func (m *overloadModel) clock() time.Time { return simEpoch.Add(m.now) }

func (m *overloadModel) run() OverloadResult {
	for i, h := range m.hosts {
		if m.opts.Scenario == OverloadStart && m.opts.Hosts > 1 && i == len(m.hosts)-1 {
			m.after(m.opts.For/2, h.start)
			continue
		}
		h.start()
	}
	if m.opts.Scenario == OverloadPartition {
		last := m.hosts[len(m.hosts)-1]
		m.after(overloadPartitionFrom, func() { last.cutOff = true })
		m.after(overloadPartitionFrom+overloadPartitionFor, func() { last.cutOff = false })
	}
	m.use.setFree(0, m.opts.slots())
	m.scheduleArrival()
	m.runUntil(m.opts.For + m.opts.Deadline + overloadAdmitTick)
	m.result.Count.Possible = m.opts.PossibleInTime(m.arrivals)
	m.judgeRefusals()
	return m.result
}

// names returns the names of the running hosts.
func (m *overloadModel) names() []string {
	if m.running == nil {
		for _, h := range m.hosts {
			if h.placer != nil {
				m.running = append(m.running, h.name)
			}
		}
	}
	return m.running
}

// byName returns the hosts of names.
func (m *overloadModel) byName(names []string) []*overloadHost {
	var out []*overloadHost
	for _, name := range names {
		out = append(out, m.hostsByName[name])
	}
	return out
}

// judgeRefusals counts the requests that were refused, and those of them that were refused wrongly. Those
// whose deadline is after the last arrival are left out, since the load ends then.
func (m *overloadModel) judgeRefusals() {
	refused := slices.DeleteFunc(m.refusals, func(c *overloadCall) bool {
		return c.ran || c.deadline(&m.opts) > m.opts.For
	})
	m.result.Unserved = len(refused)
	m.result.RefusedWrongly = m.use.refusedWrongly(&m.opts, refused)
}

// load returns the requests a second at this time.
func (m *overloadModel) load() float64 {
	if m.opts.Scenario == OverloadBurst && m.now >= overloadBurstFrom && m.now < overloadBurstFrom+overloadBurstFor {
		return overloadBurstFactor * m.opts.Load
	}
	return m.opts.Load
}

// scheduleArrival schedules the next request of a caller.
func (m *overloadModel) scheduleArrival() {
	m.after(time.Duration(m.rng.ExpFloat64()/m.load()*float64(time.Second)), func() {
		if m.now >= m.opts.For {
			return
		}
		c := &overloadCall{number: len(m.arrivals), first: m.now, group: m.drawGroup()}
		m.arrivals = append(m.arrivals, m.now)
		m.result.Request(c.group)
		m.try(c, m.drawHost(m.rng, nil))
		m.scheduleArrival()
	})
}

func (m *overloadModel) drawGroup() OverloadGroup {
	g := OverloadGroup{Rank: m.rng.IntN(m.opts.Ranks)}
	if m.opts.Workspaces > 1 && m.rng.IntN(2) == 0 {
		g.Workspace = 1 + m.rng.IntN(m.opts.Workspaces-1)
	}
	return g
}

// drawHost draws a running host other than the given one, if there is another.
func (m *overloadModel) drawHost(rng *rand.Rand, other *overloadHost) *overloadHost {
	var all []*overloadHost
	for _, h := range m.hosts {
		if h.placer != nil && h != other {
			all = append(all, h)
		}
	}
	if len(all) == 0 {
		return other
	}
	return all[rng.IntN(len(all))]
}

// try sends a request, or its retry, to a host.
func (m *overloadModel) try(c *overloadCall, h *overloadHost) {
	c.tries++
	m.result.Try(c.group)
	h.receive(&overloadTry{call: c, host: h, arrived: m.now})
}

// refused records a refusal, and lets the caller retry after a time.
func (m *overloadModel) refused(t *overloadTry, retryAfter time.Duration) {
	m.result.Refuse(t.call.group, m.now-t.arrived)
	if !t.call.refused {
		t.call.refused, t.call.refusedAt = true, m.now
		m.refusals = append(m.refusals, t.call)
	}
	remaining := t.call.deadline(&m.opts) - m.now
	if t.call.tries > m.opts.Retries || remaining < overloadLeastTime {
		return
	}
	m.after(min(retryAfter, remaining/overloadMaxWait), func() { m.try(t.call, m.drawHost(m.retryRng, t.host)) })
}

// answered records an answer.
func (m *overloadModel) answered(t *overloadTry) {
	t.call.ran = true
	m.result.Answer(t.call.group, m.now-t.call.first)
}

// expired records that a request which an engine had or would have run did not end before its deadline.
func (m *overloadModel) expired(t *overloadTry) {
	t.call.ran = true
	m.result.Lose(t.call.group)
}

// updateLoad records whether slots are free while nothing waits.
func (m *overloadModel) updateLoad(inFlight, waiting int) {
	m.inFlight += inFlight
	m.waiting += waiting
	free := max(m.opts.slots()-m.inFlight, 0)
	if m.waiting > 0 {
		free = 0
	}
	m.use.setFree(m.now, free)
}

// overloadMessage is a message of a host to others. Either may be nil.
type overloadMessage struct {
	deliver func(to *overloadHost)
	size    int
	report  bool
}

// send delivers a message to hosts, unless it is lost.
func (m *overloadModel) send(from *overloadHost, to []*overloadHost, msg overloadMessage) {
	if len(to) == 0 {
		return
	}
	if msg.report {
		m.result.Reports += len(to)
		m.result.ReportBytes += len(to) * msg.size
	} else {
		m.result.Contentions += len(to)
		m.result.ContentionBytes += len(to) * msg.size
	}
	m.after(overloadLatency, func() {
		for _, h := range to {
			lost := m.opts.Scenario == OverloadLoss && m.lossRng.Float64() < overloadLossShare
			if h.placer != nil && !lost && !from.cutOff && !h.cutOff {
				msg.deliver(h)
			}
		}
	})
}

// reportInterval returns the time between two reports of a host.
func (m *overloadModel) reportInterval() time.Duration {
	if m.opts.Hosts > activator.MaxAllActive {
		return overloadReportLarge
	}
	return overloadReport
}
