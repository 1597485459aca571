// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import "slices"

// overloadEngine runs as many requests at a time as it has slots, and queues the others.
type overloadEngine struct {
	model   *overloadModel
	running int
	queue   []*overloadTry
}

func (e *overloadEngine) receive(t *overloadTry) {
	if e.running < e.model.opts.Slots {
		e.begin(t)
		return
	}
	e.queue = append(e.queue, t)
	e.model.result.MostQueued = max(e.model.result.MostQueued, len(e.queue))
}

func (e *overloadEngine) begin(t *overloadTry) {
	m := e.model
	e.running++
	t.running = true
	began := m.now
	m.after(m.opts.ServiceTime, func() {
		if !t.running {
			return // it was canceled
		}
		e.end(t)
		if began < m.opts.For {
			m.result.BusySlots += min(m.now, m.opts.For) - began
		}
		m.after(overloadLatency, func() { t.host.answered(t) })
	})
}

// end frees the slot of a request.
func (e *overloadEngine) end(t *overloadTry) {
	t.running = false
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.begin(next)
	}
}

// cancel ends a request whose host no longer wants its answer.
func (e *overloadEngine) cancel(t *overloadTry) {
	if t.running {
		e.end(t)
		return
	}
	if i := slices.Index(e.queue, t); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
	}
}
