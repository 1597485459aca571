// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Allowance of cold upstreams. An upstream that has just started, or whose availability
// zone is taken back, breaks under more requests a second than its service allows. All
// hosts together must stay under that, also those that are cut off from the others. So
// each has a fixed part, without asking anybody: the whole divided by the hosts that may
// send, or that lately might, and what is left over given to the first in rank for the
// upstream.
const (
	// coldPart is the part of the allowance that is given out. The rest is for hosts that
	// were just called in and that others do not count yet: 9 of 35 requests a second, for
	// as many hosts.
	coldPart = 0.75
	// coldWindow is the time over which the allowance is counted: the operators' second,
	// and what a request may stay at its host after its choice.
	coldWindow = 1300 * time.Millisecond
	// coldPenalty stands for the slowness of a cold upstream, by a factor that nobody
	// tells.
	coldPenalty = 50 * time.Millisecond
	// coldGuard is how long an upstream that answers again after it could not be reached
	// counts as cold: it may have started anew, and its entry, written every 1.2 s, comes
	// later than its first answer.
	coldGuard = 2 * time.Second
)

// ColdLimit is the operators' bound for all hosts together, beside what the configuration
// allows for a service.
type ColdLimit struct {
	Overage float64 // Overage multiplies the requests a second that a cold upstream bears.
	Slack   float64 // Slack is added to them.
}

// perSecond returns how many requests a second of all hosts together are given out.
func (l ColdLimit) perSecond(bears float64) int {
	return int(coldPart * (bears*max(l.Overage, 1) + l.Slack))
}

// sharers are the hosts that the allowances of cold upstreams are divided among.
type sharers struct {
	hosts []uint64 // hosts has a hash of each; empty as long as they are not known.
	round int      // round counts the changes.
}

// SetSharers names the hosts that may send to cold upstreams now, or lately might: one
// that is cut off from the others still sends. A host that is not among them sends
// nothing there, nor does one that does not know the others yet.
func (p *Placer) SetSharers(names []string) {
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = xxhash.Sum64String(name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(p.sharers.hosts, hashes) {
		return
	}
	p.sharers = sharers{hosts: hashes, round: p.sharers.round + 1}
	p.eased()
}

// share returns how many requests this host may send to an upstream within a second while
// it is cold.
func (p *Placer) share(t *target) int {
	if t.shareRound != p.sharers.round {
		t.share, t.shareRound = p.sharers.of(p.host, t.hash, p.opts.Cold.perSecond(t.bears)), p.sharers.round
	}
	return t.share
}

// of returns a host's part of a number of requests to an upstream.
func (s *sharers) of(host, upstream uint64, total int) int {
	if !slices.Contains(s.hosts, host) {
		return 0
	}
	place, own := 0, rendezvous(PartKey(host), upstream)
	for _, h := range s.hosts {
		if rendezvous(PartKey(h), upstream) > own {
			place++
		}
	}
	share := total / len(s.hosts)
	if place < total%len(s.hosts) {
		share++
	}
	return share
}

// coldUntil returns until when an upstream must be taken for cold.
func (p *Placer) coldUntil(t *target) time.Time {
	until := t.upstream.ColdUntil
	if back, ok := p.returned[t.upstream.AvailabilityZone]; ok {
		until = later(until, back.Add(t.coldFor)) // evacuated upstreams come back cold
	}
	return later(until, t.guarded)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// cold tells that an upstream bears only so many requests.
func (p *Placer) cold(now time.Time, t *target) bool {
	return t.bears > 0 && now.Before(p.coldUntil(t))
}

// rationed tells that a cold upstream must get no more of this host for the moment.
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

// noteSent remembers that a request is sent, for upstreams that may turn cold at any moment.
func (t *target) noteSent(now time.Time) {
	if t.bears == 0 {
		return
	}
	old := 0
	for old < len(t.sent) && now.Sub(t.sent[old]) >= coldWindow {
		old++
	}
	t.sent = append(t.sent[:0], t.sent[old:]...)
	t.sent = append(t.sent, now)
}
