// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/quarantiner"
)

// send begins a run at an engine, if it is there.
func (m *endsModel) send(t *endsTry, c placer.Choice) {
	t.sends++
	t.tried = append(t.tried, c.Upstream.ID)
	e := m.engineOf(c)
	if !e.up || e.born != c.Upstream.Born {
		c.Ticket.Done(m.time(), placer.ResultUnreached)
		m.next(t)
		return
	}
	t.runs++
	r := &endsRun{try: t, engine: e, choice: c, sent: m.time()}
	e.runs = append(e.runs, r)
	if !t.bad {
		m.after(time.Duration(m.rng.ExpFloat64()*float64(endsWork)), func() { m.served(r) })
		return
	}
	if third, ok := m.third[t.id]; ok && m.now > third+endsSettled {
		m.result.Late++
	}
	m.after(endsLeast+time.Duration(m.rng.Int64N(int64(endsMost-endsLeast))), func() { m.endUnder(r) })
}

func (m *endsModel) engineOf(c placer.Choice) *endsEngine {
	for _, e := range m.engines {
		if e.id == c.Upstream.ID {
			return e
		}
	}
	panic("experimenter: unknown engine " + c.Upstream.ID)
}

func (m *endsModel) served(r *endsRun) {
	i := slices.Index(r.engine.runs, r)
	if i < 0 {
		return // its engine has ended
	}
	r.engine.runs = slices.Delete(r.engine.runs, i, i+1)
	r.choice.Ticket.First(m.time())
	r.choice.Ticket.Done(m.time(), placer.ResultServed)
	r.try.host.ledger.Served(m.time(), r.try.id)
	r.try.ended(r.try, true)
}

// endUnder ends an engine by a bad request.
func (m *endsModel) endUnder(r *endsRun) {
	if !slices.Contains(r.engine.runs, r) {
		return
	}
	m.result.Ends++
	m.ended[r.try.id]++
	if m.ended[r.try.id] == quarantiner.Bar {
		m.third[r.try.id] = m.now
	}
	m.end(r.engine)
}

// end ends an engine with all that runs there.
func (m *endsModel) end(e *endsEngine) {
	e.up = false
	lost, start := e.runs, m.start(e)
	e.runs = nil
	for _, r := range lost {
		t := r.try
		r.choice.Ticket.Done(m.time(), placer.ResultUnreached)
		t.host.ledger.Ended(m.time(), t.id, start, r.sent)
		if !t.bad && !t.cut {
			t.cut = true
			m.result.Cut++
		}
	}
	for _, r := range lost {
		m.next(r.try)
	}
	m.after(endsBack+time.Duration(m.rng.Int64N(int64(3*endsBack))), func() {
		m.born++
		e.born, e.up = m.born, true
		m.after(endsShown, m.show)
	})
}

// next offers a try to another engine, or ends it.
func (m *endsModel) next(t *endsTry) {
	if t.sends >= endsSends || t.runs >= endsRuns {
		t.ended(t, false)
		return
	}
	m.choose(t)
}

// crash lets engines end by themselves.
func (m *endsModel) crash() {
	m.after(time.Duration(m.rng.ExpFloat64()/m.opts.Crashes*float64(time.Second)), func() {
		if e := m.engines[m.rng.IntN(len(m.engines))]; e.up {
			m.end(e)
		}
		m.crash()
	})
}
