// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// startRun starts a run at the chosen engine, or retries if that instance has
// ended.
func (m *endsModel) startRun(req *endsRequest, c placer.Choice) {
	req.sends++
	req.triedEngines = append(req.triedEngines, c.Upstream.ID)
	e := m.engineOf(c)
	if !e.up || e.born != c.Upstream.Born {
		c.Ticket.Done(m.clock(), placer.ResultUnreachable)
		m.retry(req)
		return
	}
	req.runs++
	r := &endsRun{request: req, engine: e, choice: c, sent: m.clock()}
	e.runs = append(e.runs, r)
	if !req.bad {
		m.after(time.Duration(m.rng.ExpFloat64()*float64(endsMeanRunTime)), func() { m.finishRun(r) })
		return
	}
	if barred, ok := m.barredAt[req.id]; ok && m.now > barred+endsLateAfter {
		m.result.LateArrivals++
	}
	m.after(endsMinBadRunTime+time.Duration(m.rng.Int64N(int64(endsMaxBadRunTime-endsMinBadRunTime))), func() {
		m.endByRequest(r)
	})
}

func (m *endsModel) engineOf(c placer.Choice) *endsEngine {
	for _, e := range m.engines {
		if e.id == c.Upstream.ID {
			return e
		}
	}
	panic("experimenter: unknown engine " + c.Upstream.ID)
}

// finishRun completes the run of a harmless request.
func (m *endsModel) finishRun(r *endsRun) {
	i := slices.Index(r.engine.runs, r)
	if i < 0 {
		return // the engine has ended
	}
	r.engine.runs = slices.Delete(r.engine.runs, i, i+1)
	r.choice.Ticket.First(m.clock())
	r.choice.Ticket.Done(m.clock(), placer.ResultServed)
	r.request.host.ledger.Served(m.clock(), r.request.id)
	r.request.done(r.request, true)
}

// endByRequest ends the engine that runs a bad request.
func (m *endsModel) endByRequest(r *endsRun) {
	if !slices.Contains(r.engine.runs, r) {
		return
	}
	m.result.Ends++
	m.ends[r.request.id]++
	if m.ends[r.request.id] == quarantiner.BarThreshold {
		m.barredAt[r.request.id] = m.now
	}
	m.endEngine(r.engine)
}

// endEngine ends an engine and all its runs, and schedules its restart.
func (m *endsModel) endEngine(e *endsEngine) {
	e.up = false
	lost, instance := e.runs, m.instance(e)
	e.runs = nil
	for _, r := range lost {
		req := r.request
		r.choice.Ticket.Done(m.clock(), placer.ResultUnreachable)
		req.host.ledger.Ended(m.clock(), quarantiner.Evidence{Request: req.id}, instance, r.sent)
		if !req.bad && !req.interrupted {
			req.interrupted = true
			m.result.Interrupted++
		}
	}
	for _, r := range lost {
		m.retry(r.request)
	}
	m.after(endsMinDowntime+time.Duration(m.rng.Int64N(int64(3*endsMinDowntime))), func() {
		m.lastBorn++
		e.born, e.up = m.lastBorn, true
		m.after(endsDiscoveryDelay, m.updateHosts)
	})
}

// retry places a request on another engine, or fails it if its limits are
// reached.
func (m *endsModel) retry(req *endsRequest) {
	if req.sends >= endsMaxSends || req.runs >= endsMaxRuns {
		req.done(req, false)
		return
	}
	m.place(req)
}

// scheduleCrash schedules the next end of an engine for another reason.
func (m *endsModel) scheduleCrash() {
	m.after(time.Duration(m.rng.ExpFloat64()/m.opts.Crashes*float64(time.Second)), func() {
		if e := m.engines[m.rng.IntN(len(m.engines))]; e.up {
			m.endEngine(e)
		}
		m.scheduleCrash()
	})
}
