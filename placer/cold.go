// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rate limit of cold upstreams. An upstream that has just started, or whose availability zone takes
// traffic again, bears only a limited number of requests a second from all hosts together. Since
// hosts may be partitioned, each has a fixed share: the limit divided by the number of hosts that
// may send, with the remainder going to the first in rank for the upstream.
const (
	// coldShare is the share of the limit that is divided. The rest covers hosts that have just
	// become active and that others do not count yet. Of 35 requests a second these are 9, enough
	// for as many hosts.
	coldShare = 0.75
	// coldWindow is the time over which requests are counted: the limit's second, and the delay
	// between a choice and the request's arrival.
	coldWindow = 1300 * time.Millisecond
	// coldPenalty is the cost added for a cold upstream, which is slower by an unknown factor.
	coldPenalty = 50 * time.Millisecond
	// coldRecovery is how long an upstream counts as cold after it is reachable again: it may have
	// restarted, and its new record, written every 1.2 s, arrives later than its
	// first answer.
	coldRecovery = 2 * time.Second
)

// ColdLimit adjusts the limit that the configuration sets for a service's cold upstreams.
type ColdLimit struct {
	Overage float64 // Overage multiplies the requests a second that a cold upstream may get.
	Slack   float64 // Slack is added to them, in requests a second.
}

// perSecond returns how many requests a second all hosts together may send.
func (l ColdLimit) perSecond(limit float64) int {
	return int(coldShare * (limit*max(l.Overage, 1) + l.Slack))
}

// coldHosts are the hosts that limits of upstreams are divided among.
type coldHosts struct {
	hosts   []uint64 // hosts has the hash of each host's name; empty until they are known.
	version int      // version is incremented by each change.
}

// SetColdHosts sets the hosts that may send to cold upstreams now or could until recently, since a
// partitioned host still sends. A host that is not among them, or does not know them yet, sends
// nothing to cold upstreams.
func (p *Placer) SetColdHosts(names []string) {
	hashes := hashNames(names)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coldHosts.set(hashes) {
		p.notifyRoom()
	}
}

func hashNames(names []string) []uint64 {
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = xxhash.Sum64String(name)
	}
	return hashes
}

// set replaces the hosts and reports whether that is a change.
func (s *coldHosts) set(hashes []uint64) bool {
	if slices.Equal(s.hosts, hashes) {
		return false
	}
	*s = coldHosts{hosts: hashes, version: s.version + 1}
	return true
}

// share returns how many requests a second this host may send to an upstream while it is cold.
func (p *Placer) share(t *target) int {
	if t.shareVersion != p.coldHosts.version {
		t.share, t.shareVersion = p.coldHosts.share(p.hostHash, t.hash, p.opts.Cold.perSecond(t.coldLimit)), p.coldHosts.version
	}
	return t.share
}

// share returns a host's share of a number of requests to an upstream.
func (s *coldHosts) share(host, upstream uint64, total int) int {
	if !slices.Contains(s.hosts, host) {
		return 0
	}
	position, own := 0, rendezvous(PartKey(host), upstream)
	for _, h := range s.hosts {
		if rendezvous(PartKey(h), upstream) > own {
			position++
		}
	}
	share := total / len(s.hosts)
	if position < total%len(s.hosts) {
		share++
	}
	return share
}

// coldUntil returns until when an upstream counts as cold.
func (p *Placer) coldUntil(t *target) time.Time {
	until := t.upstream.ColdUntil
	if back, ok := p.zoneReturns[t.upstream.AvailabilityZone]; ok {
		until = later(until, back.Add(t.coldDuration)) // upstreams of an evacuated zone come back cold
	}
	return later(until, t.maybeColdUntil)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// cold reports whether the rate limit for cold upstreams applies.
func (p *Placer) cold(now time.Time, t *target) bool {
	return t.coldLimit > 0 && now.Before(p.coldUntil(t))
}

// rationed reports whether this host has used up its share of a cold upstream for now.
func (p *Placer) rationed(now time.Time, t *target) bool {
	if !p.cold(now, t) {
		return false
	}
	recent := 0
	for _, at := range t.sent {
		if now.Sub(at) < coldWindow {
			recent++
		}
	}
	return recent >= p.share(t)
}

// recordSent records the time of a request, for upstreams that may turn cold at any moment.
func (t *target) recordSent(now time.Time) {
	if t.coldLimit == 0 {
		return
	}
	old := 0
	for old < len(t.sent) && now.Sub(t.sent[old]) >= coldWindow {
		old++
	}
	t.sent = append(t.sent[:0], t.sent[old:]...)
	t.sent = append(t.sent, now)
}
