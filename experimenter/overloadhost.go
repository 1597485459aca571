// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"math"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/forecaster"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/readmitter"
	"amaranthgate.example/amaranthgate/scheduler"
)

// overloadHost runs the decisions of a host.
type overloadHost struct {
	model     *overloadModel
	number    int
	name      string
	placer    *placer.Placer // placer is nil before the host starts.
	admission overloadAdmission
	// forecaster, arbiter and contention are nil where the variant has none.
	forecaster *forecaster.Forecaster
	arbiter    *arbiter.Arbiter
	contention interface {
		Contention(now time.Time) arbiter.Local
	}
	returns   *readmitter.Ledger               // returns is used by forecasting hosts only.
	tries     map[*scheduler.Item]*overloadTry // tries are those that have not ended.
	length    int                              // length is that of the queue when it was last looked at.
	waking    bool
	reporting bool          // reporting reports that an urgent report is due.
	urgentAt  time.Duration // urgentAt is when the last urgent report was sent.
	cutOff    bool          // cutOff reports that no messages reach or leave the host.
}

// overloadAdmission decides which requests start, wait and are refused.
type overloadAdmission interface {
	Offer(now time.Time, it *scheduler.Item) scheduler.Offered
	Wake(now time.Time) (started, refused []*scheduler.Item)
	Remove(it *scheduler.Item) bool
	Len() int
}

// overloadTry is a request at a host.
type overloadTry struct {
	call    *overloadCall
	host    *overloadHost
	arrived time.Duration
	first   time.Time     // first is the time of the first try as far as the host knows.
	sent    time.Duration // sent is when it was last sent to an engine.
	item    *scheduler.Item
	choice  placer.Choice
	verdict placer.Verdict
	running bool // running reports that it is in a slot of an engine.
	ended   bool
}

// start starts the host, which knows the engines but no load.
func (h *overloadHost) start() {
	m := h.model
	o := placer.Options{
		Host: h.name, Seed: m.opts.Seed<<16 + uint64(h.number), OnRoom: h.signalCapacity, OnUrgent: h.requestReport,
		Waiting: func() int { return h.length },
	}
	if m.opts.Variant.orders() {
		h.arbiter = arbiter.New(arbiter.Options{Host: h.name, Incarnation: uint64(m.clock().UnixNano())})
		o.Order = h.arbiter
		o.Began = func(now time.Time, turn arbiter.Request, work float64) {
			h.arbiter.Began(now, turn.Key.Service, turn.Workspace, work)
			h.arbiter.BeganClass(now, turn.Key, work)
		}
	}
	m.running = nil
	h.placer, h.tries = placer.New(o), make(map[*scheduler.Item]*overloadTry)
	h.admission, h.returns = h.newAdmission(), readmitter.New(readmitter.Options{})
	h.placer.Update(m.view)
	h.every(overloadAdmitTick, func() {
		h.contend()
		h.admitWaiting()
	})
	interval := m.reportInterval()
	ticks := 0
	h.every(overloadReport, func() {
		h.placer.Watch(m.clock())
		if ticks++; ticks%int(interval/overloadReport) == 0 {
			h.report()
		}
	})
}

// newAdmission returns the admission of the variant.
func (h *overloadHost) newAdmission() overloadAdmission {
	v := h.model.opts.Variant
	if v.forecasts() {
		h.forecaster = forecaster.New(forecaster.Options{Seed: h.model.opts.Seed<<16 + uint64(h.number)})
	}
	o := scheduler.AdmissionOptions{Admit: func(it *scheduler.Item) bool { return it.Begin() }, Forecaster: h.forecaster}
	if h.arbiter != nil {
		o.Peers = h.arbiter.Sums
	}
	switch {
	case v == OverloadBaseline:
		return newOverloadGate()
	case v.listed():
		l := &overloadList{forecaster: h.forecaster, peers: o.Peers, single: v == OverloadSingle, mean: v == OverloadMean}
		h.contention = l
		return l
	}
	a := scheduler.NewAdmission(o)
	h.contention = a
	return a
}

// contend tells other hosts what waits here if that is due.
func (h *overloadHost) contend() {
	if h.arbiter == nil {
		return
	}
	m := h.model
	local := h.contention.Contention(m.clock())
	local.Returns = h.returns.Take(m.clock())
	h.arbiter.SetLocal(m.clock(), local)
	for _, out := range h.arbiter.Step(m.clock(), m.names()) {
		msg := out.Message
		m.send(h, m.byName(out.To), overloadMessage{
			size:    len(messenger.Encode(&messenger.Message{Contention: &msg})),
			deliver: func(to *overloadHost) { to.receiveContention(h.name, &msg) },
		})
	}
}

// receiveContention applies what waits at another host.
func (h *overloadHost) receiveContention(from string, msg *arbiter.Message) {
	returns, problem := h.arbiter.Receive(h.model.clock(), from, msg)
	if problem != "" {
		panic("experimenter: message of " + from + ": " + problem)
	}
	h.returns.Merge(h.model.clock(), returns)
}

// every calls f periodically, the first time at a random phase.
func (h *overloadHost) every(d time.Duration, f func()) {
	var next func()
	next = func() {
		f()
		h.model.after(d, next)
	}
	h.model.after(time.Duration(h.model.retryRng.Int64N(int64(d))), next)
}

// others returns the other running hosts.
func (h *overloadHost) others() []*overloadHost {
	var out []*overloadHost
	for _, o := range h.model.hosts {
		if o != h && o.placer != nil {
			out = append(out, o)
		}
	}
	return out
}

// report sends the host's load to the others.
func (h *overloadHost) report() {
	h.placer.ExpireReports(h.model.clock())
	h.sendReport(h.placer.Report())
}

func (h *overloadHost) sendReport(r placer.Report) {
	h.model.send(h, h.others(), overloadMessage{
		report: true, size: len(messenger.Encode(&messenger.Message{Report: &r})),
		deliver: func(to *overloadHost) { to.placer.ApplyReport(h.model.clock(), h.name, r) },
	})
}

// requestReport sends the changes of the host's load to the others, unless that was done just before.
func (h *overloadHost) requestReport() {
	if h.reporting {
		return
	}
	h.reporting = true
	h.model.after(max(0, h.urgentAt+overloadUrgentInterval-h.model.now), func() {
		h.reporting, h.urgentAt = false, h.model.now
		h.sendReport(h.placer.Changes())
	})
}

// signalCapacity wakes the queue once an engine may have more room.
func (h *overloadHost) signalCapacity() {
	if h.waking || h.length == 0 {
		return
	}
	h.waking = true
	h.model.after(0, func() {
		h.waking = false
		h.admitWaiting()
	})
}

// admitWaiting starts and refuses waiting requests.
func (h *overloadHost) admitWaiting() {
	if h.length == 0 {
		return
	}
	h.apply(h.admission.Wake(h.model.clock()))
}

// apply carries out decisions on requests.
func (h *overloadHost) apply(started, refused []*scheduler.Item) {
	for _, it := range started {
		h.send(h.tries[it])
	}
	for _, it := range refused {
		h.refuse(h.tries[it])
	}
	h.updateLength()
}

func (h *overloadHost) updateLength() {
	before := h.length
	h.length = h.admission.Len()
	h.model.updateLoad(0, h.length-before)
}

// receive offers a request to the admission.
func (h *overloadHost) receive(t *overloadTry) {
	t.first = h.model.clock()
	if first, ok := h.returns.Readmit(t.first, t.call.identity()); ok && h.forecaster != nil {
		t.first = first
	}
	t.item = h.item(t)
	h.tries[t.item] = t
	switch h.admission.Offer(h.model.clock(), t.item) {
	case scheduler.Started:
		h.send(t)
	case scheduler.Refused:
		h.refuse(t)
	}
	h.apply(h.admission.Wake(h.model.clock())) // has what the call of Offer decided of others
	h.model.after(t.call.deadline(&h.model.opts)-h.model.now, func() { h.expire(t) })
}

// item returns the queue item of a request, as exchanger does.
func (h *overloadHost) item(t *overloadTry) *scheduler.Item {
	m := h.model
	prompt := &placer.Prompt{
		Model: overloadModelName, Output: overloadOutputTokens,
		Parts: []placer.Part{{ID: strconv.Itoa(t.call.number), Tokens: overloadPromptTokens}},
	}
	ask := &placer.PlacementRequest{
		Service: overloadService, Prompt: prompt, SaltOf: func(uint64) string { return "" }, Objective: m.opts.Objective,
	}
	least := placer.MinFirstTokenTime(prompt)
	const rankFactor = 4 // as in exchanger
	rank := t.call.group.Rank
	it := &scheduler.Item{
		Class: strconv.Itoa(rank) + "/route", ClassWeight: math.Pow(rankFactor, -float64(rank)), Rank: rank,
		Workspace: "workspace-" + strconv.Itoa(t.call.group.Workspace), WorkspaceWeight: 1,
		Cost: overloadPromptTokens + overloadOutputTokens, Group: overloadService, Entered: m.clock(),
		Latest: simEpoch.Add(t.call.deadline(&m.opts) - least),
		First:  t.first, Due: t.first.Add(m.opts.Objective - least), Lead: least,
		Rate: func() (float64, bool) { return 0, false },
	}
	it.Begin = func() bool {
		ask.Turn = h.turn(it)
		t.choice, t.verdict = h.placer.Choose(m.clock(), ask)
		it.Left = t.verdict != placer.Chosen
		return t.verdict != placer.Busy
	}
	return it
}

// turn returns the place of a request among those of all hosts, as exchanger does.
func (h *overloadHost) turn(it *scheduler.Item) arbiter.Request {
	if l, ok := h.admission.(*overloadList); ok {
		return l.turn(it)
	}
	t := arbiter.Request{
		Key: arbiter.ClassKey{Service: it.Group, Class: it.Class}, Rank: it.Rank, Lane: it.Lane(),
		Workspace: it.Workspace, StartBy: it.Latest,
	}
	if it.Lane() == arbiter.LaneLate || it.Due.IsZero() {
		return t
	}
	t.StartBy = it.Due
	if h.forecaster != nil {
		t.StartBy = it.Due.Add(min(0, it.Lead-h.forecaster.Lead(t.Key)))
	}
	return t
}

// send sends a request to the engine that was chosen for it.
func (h *overloadHost) send(t *overloadTry) {
	m := h.model
	if t.verdict != placer.Chosen {
		h.refuse(t)
		return
	}
	t.sent = m.now
	m.use.started(m.now, t.call, &m.opts)
	m.updateLoad(1, 0)
	e := m.engines[t.choice.Upstream.ID]
	m.after(overloadLatency, func() {
		if !t.ended {
			e.receive(t)
		}
	})
}

// overloadRetryAfter is what callers are told if the refusal has no time of its own, as in exchanger.
const overloadRetryAfter = overloadLeastTime

func (h *overloadHost) end(t *overloadTry) {
	t.ended = true
	delete(h.tries, t.item)
}

func (h *overloadHost) refuse(t *overloadTry) {
	h.end(t)
	if t.item.RetryAfter > 0 {
		h.returns.Refused(h.model.clock(), t.call.identity(), t.first, simEpoch.Add(t.call.deadline(&h.model.opts)))
	}
	h.model.refused(t, max(overloadRetryAfter, t.item.RetryAfter))
}

// answered passes on an answer.
func (h *overloadHost) answered(t *overloadTry) {
	if t.ended {
		return
	}
	h.end(t)
	m := h.model
	now := m.clock()
	if h.forecaster != nil {
		h.forecaster.ObserveLead(arbiter.ClassKey{Service: t.item.Group, Class: t.item.Class}, m.now-t.sent)
	}
	t.choice.Ticket.First(now)
	t.choice.Ticket.Done(now, placer.ResultServed)
	m.answered(t)
	m.updateLoad(-1, 0)
}

// expire ends a request at its deadline.
func (h *overloadHost) expire(t *overloadTry) {
	m := h.model
	switch {
	case t.ended:
	case h.admission.Remove(t.item):
		h.refuse(t)
		h.updateLength()
	default:
		h.end(t)
		t.choice.Ticket.Done(m.clock(), placer.ResultFailed)
		m.expired(t)
		m.updateLoad(-1, 0)
		m.after(overloadLatency, func() { m.engines[t.choice.Upstream.ID].cancel(t) })
	}
}
