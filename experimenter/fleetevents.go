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
	run func()
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

func (m *fleetModel) after(d time.Duration, f func()) { m.schedule(m.now.Add(d), f) }

func (m *fleetModel) schedule(t time.Time, f func()) {
	m.seq++
	heap.Push(&m.queue, fleetEvent{at: t, seq: m.seq, run: f})
}

func (m *fleetModel) runUntil(t time.Time) {
	for len(m.queue) > 0 && !m.queue[0].at.After(t) {
		e := heap.Pop(&m.queue).(fleetEvent)
		m.now = e.at
		e.run()
	}
	m.now = t
	clear(m.encodedSizes)
}

// handleEvery has a host handle an event periodically until it stops. The
// first event has a random phase.
func (m *fleetModel) handleEvery(h *fleetHost, d time.Duration, ev func() conductor.Event) {
	incarnation := h.incarnation
	var next func()
	next = func() {
		if h.incarnation == incarnation {
			m.handle(h, ev())
			m.after(d, next)
		}
	}
	m.after(time.Duration(m.rng.Int64N(int64(d))), next)
}

// handleAt has a host handle an event at a time, unless it stops before.
func (m *fleetModel) handleAt(h *fleetHost, t time.Time, ev func() conductor.Event) {
	incarnation := h.incarnation
	m.schedule(t, func() {
		if h.incarnation == incarnation {
			m.handle(h, ev())
		}
	})
}

// send transmits a message over both hosts' links. The first message to an
// incarnation of a host also sets up a connection.
func (m *fleetModel) send(from *fleetHost, name string, msg *messenger.Message) {
	to := m.hostsByName[name]
	if to == nil || to.node == nil {
		return
	}
	size, ok := m.encodedSizes[msg]
	if !ok {
		size = len(messenger.Encode(msg))
		m.encodedSizes[msg] = size
	}
	delay := fleetCrossZoneLatency
	if from.zone == to.zone {
		delay = fleetZoneLatency
	}
	if from.connected[name] != to.incarnation {
		from.connected[name] = to.incarnation
		m.handleAt(from, m.now.Add(3*delay), func() conductor.Event {
			return conductor.PeerConnected{Host: name, Address: name}
		})
	}
	m.countMessage(from, to, size)
	from.sendFree = linkFreeAt(m.now, from.sendFree, size, from.mbps)
	to.receiveFree = linkFreeAt(from.sendFree.Add(delay), to.receiveFree, size, to.mbps)
	m.handleAt(to, to.receiveFree, func() conductor.Event {
		return conductor.PeerMessage{From: from.name, Message: msg}
	})
}

// countMessage adds a message to the totals and to both hosts.
func (m *fleetModel) countMessage(from, to *fleetHost, size int) {
	m.result.Messages++
	if from.zone == to.zone {
		m.result.BytesWithinZones += size
	} else {
		m.result.BytesBetweenZones += size
	}
	for _, h := range []*fleetHost{from, to} {
		h.messages++
		h.bytes += size
	}
}

// linkFreeAt returns the time at which a link, free from a given time on, has
// transmitted a message that is ready at time at.
func linkFreeAt(at, free time.Time, bytes int, mbps float64) time.Time {
	if free.After(at) {
		at = free
	}
	const bits = 8
	return at.Add(time.Duration(float64(bytes) * bits / mbps * float64(time.Microsecond)))
}
