// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/conductor"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/tracker"
)

// answer ends a host's calls to the store.
func (m *fleetModel) answer(h *fleetHost, calls int, ev func() conductor.Event) {
	m.sum.Calls += calls
	m.later(h, m.now.Add(time.Duration(calls)*fleetAnswer), ev)
}

func (m *fleetModel) find(after string) conductor.HostsFound {
	from, found := slices.BinarySearch(m.order, after)
	if found {
		from++
	}
	to := min(from+fleetPage, len(m.order))
	var ev conductor.HostsFound
	for _, name := range m.order[from:to] {
		ev.Hosts = append(ev.Hosts, m.cards[name])
	}
	if to < len(m.order) {
		ev.Next = m.order[to-1]
	}
	return ev
}

var errFleetBusy = errors.New("turned away")

// announce appends a host's announcement, behind those that wait.
func (m *fleetModel) announce(h *fleetHost) {
	m.sum.Calls++
	if m.free.Before(m.now) {
		m.free = m.now
	}
	if m.free.Sub(m.now) > fleetQueue {
		m.later(h, m.now.Add(fleetAnswer), func() conductor.Event { return conductor.Announced{Err: errFleetBusy} })
		return
	}
	m.free = m.free.Add(fleetAppend)
	card := tracker.HostRecord{Host: h.name, AvailabilityZone: h.zone, State: tracker.HostLive, Peers: h.name, Callers: h.name, Cores: h.cores, LinkMbps: h.mbps}
	m.at(m.free, func() {
		if at, found := slices.BinarySearch(m.order, h.name); !found {
			m.order = slices.Insert(m.order, at, h.name)
		}
		m.cards[h.name] = card
	})
	m.later(h, m.free, func() conductor.Event { return conductor.Announced{} })
}

func (m *fleetModel) read(h *fleetHost, a conductor.Read) {
	asked, life := m.now, h.life
	if a.Full {
		var listed map[string]follower.Record
		log := m.logs[a.Feed]
		listed = make(map[string]follower.Record, len(log))
		for _, r := range log {
			listed[r.Key] = r
		}
		m.answer(h, 1+len(listed)/fleetPage, func() conductor.Event {
			news := follower.News{Feed: a.Feed, Full: true, Next: int64(len(log))}
			for _, r := range listed {
				news.Records = append(news.Records, r)
				m.sum.StoreBytes += len(r.Value)
			}
			return conductor.FeedRead{News: news, Asked: asked, Wait: a.Wait}
		})
		return
	}
	m.sum.Calls++
	answered := false
	answer := func() {
		if answered || h.life != life {
			return
		}
		answered = true
		m.later(h, m.now.Add(fleetAnswer), func() conductor.Event {
			log := m.logs[a.Feed]
			news := follower.News{Feed: a.Feed, From: a.From, Next: int64(len(log)), Records: log[min(a.From, int64(len(log))):]}
			for _, r := range news.Records {
				m.sum.StoreBytes += len(r.Value)
			}
			return conductor.FeedRead{News: news, Asked: asked, Wait: a.Wait}
		})
	}
	if int64(len(m.logs[a.Feed])) > a.From {
		answer()
		return
	}
	m.reads[a.Feed] = append(m.reads[a.Feed], answer)
	m.after(a.Wait, answer)
}
