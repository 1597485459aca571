// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
)

// A starting host reads one page of announcements that holds another host, and learns of the rest
// from it. Hosts that start together may so form groups that don't know each other, and
// that each count upstreams' work, share limits and record bad requests for themselves. Therefore
// the first host in rank of each group periodically reads all announcements and greets the hosts it
// doesn't know. It also removes the announcements of hosts that are gone.

const (
	// firstSearchDelay is how long after its start a host first searches: the time in which found
	// hosts send it the rest of the fleet.
	firstSearchDelay = 1500 * time.Millisecond
	// maxSearchInterval bounds the interval between searches, which doubles each time.
	maxSearchInterval = 30 * time.Second
	// maxGreeted bounds the number of hosts greeted per search: each that answers sends all others.
	maxGreeted = 16
	// announcementTTL is how long a host must have been unknown before its announcement is removed,
	// so that starting hosts don't read many pages of ended ones, 1.5 s each. Each side of a long
	// partition announces its first host in rank again.
	announcementTTL = 10 * time.Minute
)

// peerSearch schedules the searches for unknown hosts.
type peerSearch struct {
	interval time.Duration // interval is the time from the next search to the one after it.
	due      time.Time
	count    int
	// absent are the announced hosts that are unknown, by name.
	absent map[string]absence
}

type absence struct {
	incarnation uint64
	since       time.Time
}

// searchHosts reads all announcements if a search is due and this host is first in rank.
func (n *Node) searchHosts(now time.Time) {
	if n.search.due.IsZero() {
		n.search.absent = make(map[string]absence)
		n.scheduleSearch(now)
	}
	if now.Before(n.search.due) || tracker.RankIndex(n.topology().serving.Hosts(), n.opts.Self.Host, "seeker") != 0 {
		return
	}
	n.search.interval = min(2*n.search.interval, maxSearchInterval)
	n.search.due = now.Add(n.search.interval)
	n.search.count++
	n.emit(ReadAllAnnouncements{})
}

// scheduleSearch schedules the next search, and further ones at growing intervals.
func (n *Node) scheduleSearch(now time.Time) {
	n.search.interval, n.search.due = firstSearchDelay, now.Add(firstSearchDelay)
}

// handleAllAnnouncementsRead applies the result of a search.
func (n *Node) handleAllAnnouncementsRead(now time.Time, ev AllAnnouncementsRead) {
	var unknown []tracker.HostRecord
	announced := false
	for _, r := range ev.Hosts {
		_, known := n.hosts.Lookup(r.Host)
		announced = announced || r.Host == n.opts.Self.Host
		if !known && r.Peers != "" {
			unknown = append(unknown, r)
		}
	}
	if ev.Complete && !announced {
		n.emit(Announce{})
	}
	if ev.Complete {
		n.replenishAnnouncements(ev.Hosts)
	}
	n.greetUnknown(now, unknown)
	if expired := n.expiredAnnouncements(now, unknown); ev.Complete && len(expired) > 0 {
		n.emit(Retract{Hosts: expired, End: ev.End})
	}
}

// replenishAnnouncements asks hosts to announce themselves when few announced ones are live:
// starting hosts depend on them, and running hosts do not announce themselves otherwise.
func (n *Node) replenishAnnouncements(announced []tracker.HostRecord) {
	listed := make(map[string]bool, len(announced))
	for _, r := range announced {
		listed[r.Host] = true
	}
	live := n.hosts.Live()
	missing := min(introducer.MinAnnouncements, len(live))
	var others []string
	for _, h := range live {
		if listed[h] || h == n.opts.Self.Host {
			missing-- // this host announces itself if it is missing
		} else {
			others = append(others, h)
		}
	}
	for _, h := range others[:max(0, min(missing, len(others)))] {
		n.send(h, &messenger.Message{SnapshotRequests: []string{announceRequest}})
	}
}

// expiredAnnouncements returns the hosts that have been unknown for announcementTTL.
func (n *Node) expiredAnnouncements(now time.Time, unknown []tracker.HostRecord) []tracker.HostRecord {
	absent := make(map[string]absence, len(unknown))
	var expired []tracker.HostRecord
	for _, r := range unknown {
		a, ok := n.search.absent[r.Host]
		if !ok || a.incarnation != r.Incarnation {
			a = absence{incarnation: r.Incarnation, since: now}
		}
		absent[r.Host] = a
		if now.Sub(a.since) >= announcementTTL {
			expired = append(expired, r)
		}
	}
	n.search.absent = absent
	return expired
}

// greetUnknown greets unknown hosts. They are gossiped only once they answer, since they may be
// gone.
func (n *Node) greetUnknown(now time.Time, unknown []tracker.HostRecord) {
	if len(unknown) == 0 {
		return
	}
	salt := n.opts.Self.Host + "/" + strconv.Itoa(n.search.count)
	slices.SortFunc(unknown, func(a, b tracker.HostRecord) int {
		return cmp.Compare(tracker.Rank(a.Host, salt), tracker.Rank(b.Host, salt))
	})
	m := n.greeting(now)
	for _, r := range unknown[:min(maxGreeted, len(unknown))] {
		n.emit(Send{To: r.Host, Address: r.Peers, Message: m})
	}
}

// bucketsInterval is the least time between two greetings that include buckets, which ask the
// receiver for the records that differ.
const bucketsInterval = 500 * time.Millisecond

// greeting returns what a host that has long been without contact to this one may lack. Its buckets ask in
// turn for what this host lacks.
func (n *Node) greeting(now time.Time) *messenger.Message {
	m := &messenger.Message{Full: true, Digest: n.hosts.Digest(), VersionAges: n.state.VersionAges(now),
		Offsets: n.feedOffsets(), Era: n.era,
		Ended: n.opts.Quarantine.Entries(now), EndedDigest: n.opts.Quarantine.Digest(),
		RateLimits: n.opts.Throttler.Limits(now), Brittle: n.opts.Brittle.BrittleNews(now),
		Hosts: []tracker.HostRecord{n.hosts.Self()}}
	if now.Sub(n.lastBucketsSent) >= bucketsInterval {
		n.lastBucketsSent = now
		m.Buckets = n.hosts.Buckets()
	}
	if n.topology().small {
		m.Hosts = n.hosts.Told()
	}
	return m
}
