// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"container/heap"
	"time"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/messenger"
)

type fleetEvent struct {
	at  time.Time
	seq int
	do  func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int { return len(q) }
func (q fleetEvents) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q fleetEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (m *fleetModel) after(d time.Duration, do func()) { m.at(m.now.Add(d), do) }

func (m *fleetModel) at(t time.Time, do func()) {
	m.count++
	heap.Push(&m.queue, fleetEvent{at: t, seq: m.count, do: do})
}

func (m *fleetModel) until(t time.Time) {
	for len(m.queue) > 0 && !m.queue[0].at.After(t) {
		e := heap.Pop(&m.queue).(fleetEvent)
		m.now = e.at
		e.do()
	}
	m.now = t
	clear(m.sizes)
}

// every has a host handle an event again and again, as long as it lives.
func (m *fleetModel) every(h *fleetHost, d time.Duration, ev func() conductor.Event) {
	life := h.life
	var next func()
	next = func() {
		if h.life == life {
			m.handle(h, ev())
			m.after(d, next)
		}
	}
	m.after(time.Duration(m.rng.Int64N(int64(d))), next)
}

// later has a host handle an event, if it still lives then.
func (m *fleetModel) later(h *fleetHost, t time.Time, ev func() conductor.Event) {
	life := h.life
	m.at(t, func() {
		if h.life == life {
			m.handle(h, ev())
		}
	})
}

// send carries a message over both hosts' links. A connection is made before the first.
func (m *fleetModel) send(from *fleetHost, name string, msg *messenger.Message) {
	to := m.named[name]
	if to == nil || to.node == nil {
		return
	}
	size, ok := m.sizes[msg]
	if !ok {
		size = len(messenger.Encode(msg))
		m.sizes[msg] = size
	}
	delay := fleetAcross
	if from.zone == to.zone {
		delay = fleetInZone
	}
	if from.linked[name] != to.life {
		from.linked[name] = to.life
		m.later(from, m.now.Add(3*delay), func() conductor.Event { return conductor.PeerUp{Host: name, Address: name} })
	}
	m.charge(from, to, size)
	from.out = taken(m.now, from.out, size, from.mbps)
	to.in = taken(from.out.Add(delay), to.in, size, to.mbps)
	m.later(to, to.in, func() conductor.Event { return conductor.PeerMessage{From: from.name, Message: msg} })
}

// charge counts a message for both hosts.
func (m *fleetModel) charge(from, to *fleetHost, size int) {
	m.sum.Messages++
	if from.zone == to.zone {
		m.sum.Within += size
	} else {
		m.sum.Between += size
	}
	for _, h := range []*fleetHost{from, to} {
		h.messages++
		h.bytes += size
	}
}

// taken returns when a link has carried some bytes that come at a time.
func taken(at, free time.Time, bytes int, mbps float64) time.Time {
	if free.After(at) {
		at = free
	}
	const bits = 8
	return at.Add(time.Duration(float64(bytes) * bits / mbps * float64(time.Microsecond)))
}
