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

// reply counts calls to the store and delivers their result to a host.
func (m *fleetModel) reply(h *fleetHost, calls int, ev func() conductor.Event) {
	m.result.StoreCalls += calls
	m.handleAt(h, m.now.Add(time.Duration(calls)*fleetStoreLatency), ev)
}

// announcementPage returns the page of announcements after a host name.
func (m *fleetModel) announcementPage(after string) conductor.AnnouncementsRead {
	from, found := slices.BinarySearch(m.announced, after)
	if found {
		from++
	}
	to := min(from+fleetPageRecords, len(m.announced))
	var ev conductor.AnnouncementsRead
	for _, name := range m.announced[from:to] {
		ev.Hosts = append(ev.Hosts, m.announcements[name])
	}
	if to < len(m.announced) {
		ev.Next = m.announced[to-1]
	}
	return ev
}

var errFleetOverloaded = errors.New("experimenter: the store is overloaded")

// announce appends a host's announcement after the queued ones.
func (m *fleetModel) announce(h *fleetHost) {
	m.result.StoreCalls++
	if m.appendsFree.Before(m.now) {
		m.appendsFree = m.now
	}
	if m.appendsFree.Sub(m.now) > fleetMaxAppendWait {
		m.handleAt(h, m.now.Add(fleetStoreLatency), func() conductor.Event {
			return conductor.Announced{Err: errFleetOverloaded}
		})
		return
	}
	m.appendsFree = m.appendsFree.Add(fleetAppendTime)
	record := tracker.HostRecord{
		Host: h.name, AvailabilityZone: h.zone, State: tracker.HostLive,
		Peers: h.name, Callers: h.name, Cores: h.cores, LinkMbps: h.mbps,
	}
	m.schedule(m.appendsFree, func() {
		if at, found := slices.BinarySearch(m.announced, h.name); !found {
			m.announced = slices.Insert(m.announced, at, h.name)
		}
		m.announcements[h.name] = record
	})
	m.handleAt(h, m.appendsFree, func() conductor.Event { return conductor.Announced{} })
}

// read serves a host's read of a feed: the full listing, or the records from
// an offset on once there are any or the wait has passed.
func (m *fleetModel) read(h *fleetHost, a conductor.Read) {
	asked, incarnation := m.now, h.incarnation
	if a.Full {
		var listed map[string]follower.Record
		log, era := m.logs[a.Feed], m.era
		listed = make(map[string]follower.Record, len(log))
		for _, r := range log {
			listed[r.Key] = r
		}
		m.reply(h, 1+len(listed)/fleetPageRecords, func() conductor.Event {
			news := follower.FeedPage{Feed: a.Feed, Full: true, Next: int64(len(log)), Era: era, FromEra: era}
			for _, r := range listed {
				r.Era = era
				news.Records = append(news.Records, r)
				m.result.StoreBytes += len(r.Value)
			}
			return conductor.FeedRead{Page: news, RequestedAt: asked, Wait: a.Wait}
		})
		return
	}
	m.result.StoreCalls++
	answered := false
	answer := func() {
		if answered || h.incarnation != incarnation {
			return
		}
		answered = true
		m.handleAt(h, m.now.Add(fleetStoreLatency), func() conductor.Event {
			log := m.logs[a.Feed]
			news := follower.FeedPage{
				Feed: a.Feed, From: a.From.Offset, FromEra: a.From.Era, Next: int64(len(log)), Era: m.era,
			}
			if a.From.Era != m.era || a.From.Offset > int64(len(log)) {
				return conductor.FeedRead{Page: news, RequestedAt: asked, Wait: a.Wait, Err: follower.ErrCompacted}
			}
			for _, r := range log[a.From.Offset:] {
				r.Era = m.era
				news.Records = append(news.Records, r)
				m.result.StoreBytes += len(r.Value)
			}
			return conductor.FeedRead{Page: news, RequestedAt: asked, Wait: a.Wait}
		})
	}
	if a.From.Era != m.era || int64(len(m.logs[a.Feed])) != a.From.Offset {
		answer()
		return
	}
	m.waitingReads[a.Feed] = append(m.waitingReads[a.Feed], answer)
	m.after(a.Wait, answer)
}
