// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
)

const (
	// minGreetInterval is the least time between two host lists sent to one host.
	minGreetInterval = time.Second
	// digestSettleTime is how long another host's digest must have differed before the hosts
	// exchange records, in a large fleet. Gossip settles most differences earlier. Without this
	// delay, a change of one record set 100 MB in motion among 295 hosts.
	digestSettleTime = time.Second
)

// heartbeat sends heartbeats and checks for silent hosts. Active hosts exchange messages at
// short intervals, heartbeats or load reports; all others at longer ones.
func (n *Node) heartbeat(now time.Time) {
	if now.Sub(n.lastHeartbeat) < n.opts.Timing.Heartbeat {
		return
	}
	n.lastHeartbeat = now
	n.publishFeeds()
	changed, forwarded := n.hosts.Tick(now)
	if len(changed) > 0 {
		n.recordHostChanges(changed)
	}
	if len(forwarded) > 0 {
		n.sendHostsToNeighbours("", forwarded)
	}
	fast, slow := n.neighboursByPace()
	n.opts.Quarantine.Expire(now)
	m := &messenger.Message{Digest: n.hosts.Digest(), Offsets: n.feedOffsets(), Era: n.era,
		EndedDigest: n.opts.Quarantine.Digest(), RateLimits: n.opts.Throttler.Limits(now)}
	if now.Sub(n.lastStandbyHeartbeat) >= n.opts.Timing.HeartbeatStandby {
		n.lastStandbyHeartbeat = now
		m.FeedDigests = n.feedDigests()
		m.Brittle = n.opts.Brittle.BrittleNews(now)
		n.sendAll(fast, "", m)
		n.sendAll(slow, "", m)
	} else if now.Sub(n.lastReport) >= n.opts.Timing.Heartbeat {
		n.sendAll(fast, "", m)
	}
	if t := n.topology(); !t.small && t.isRelay(n.opts.Self.Host) && now.Sub(n.lastRelayed) >= maxRelaySilence {
		n.lastRelayed = now
		n.sendAll(t.members, "", &messenger.Message{Offsets: m.Offsets, Era: m.Era})
	}
}

// maxRelaySilence is how long a relay may send its zone nothing. It is less than staleGap, so that
// what it forwards is not taken for stale.
const maxRelaySilence = staleGap - 2*staleWindow/3

// neighboursByPace divides the neighbours into those that expect heartbeats at short intervals and
// the others.
func (n *Node) neighboursByPace() (fast, slow []string) {
	for _, h := range n.hosts.Neighbours() {
		if n.hosts.FrequentHeartbeats(h) {
			fast = append(fast, h)
		} else {
			slow = append(slow, h)
		}
	}
	return fast, slow
}

// sendHostsToNeighbours sends changed host records to all neighbours but one.
func (n *Node) sendHostsToNeighbours(except string, records []tracker.HostRecord) {
	n.sendToNeighbours(except, &messenger.Message{Hosts: records})
}

// sendToNeighbours sends a message to all neighbours but one.
func (n *Node) sendToNeighbours(except string, m *messenger.Message) {
	n.sendAll(n.hosts.Neighbours(), except, m)
}

func (n *Node) sendAll(hosts []string, except string, m *messenger.Message) {
	var to []messenger.Target
	for _, h := range hosts {
		if r, ok := n.hosts.Lookup(h); ok && h != except && h != n.opts.Self.Host && r.Peers != "" {
			to = append(to, messenger.Target{Host: h, Address: r.Peers})
		}
	}
	if len(to) > 0 {
		n.emit(SendAll{To: to, Message: m})
	}
}

func (n *Node) send(host string, m *messenger.Message) {
	if r, ok := n.hosts.Lookup(host); ok && r.Peers != "" {
		n.emit(Send{To: host, Address: r.Peers, Message: m})
	}
}

// greet sends a host what it may lack when a connection to it opens. After a long partition, either
// host may have forgotten the other. Without this both sides of a partition of 60 s stayed apart
// until the next search, up to 30 s.
func (n *Node) greet(now time.Time, host, address string) {
	t := n.topology()
	n.lastGreeted[host] = now
	n.emit(Send{To: host, Address: address, Message: n.greeting(now)})
	if slices.Contains(t.active, host) && tracker.RankIndex(t.active, n.opts.Self.Host, "teller/"+host) == 0 {
		n.send(host, n.cacheState())
	}
}

// cacheState returns what this host knows of KV caches.
func (n *Node) cacheState() *messenger.Message {
	return &messenger.Message{Report: &placer.Report{Placed: n.opts.Placements()}, Stores: n.opts.StoreReports()}
}

func (n *Node) handlePeerMessage(now time.Time, ev PeerMessage) {
	m := ev.Message
	n.introducer.Contacted()
	n.met = true
	n.recordContact(now, ev.From)
	n.noteHeard(now)
	if n.arrivals.mayBeStale(now, ev.From) {
		m = m.WithFeedPages(withUnknownAge(m.FeedPages))
	}
	if m.Digest != 0 && !m.Full && !slices.Contains(n.hosts.Neighbours(), ev.From) {
		// A host that counts this one among its neighbours must receive messages from it, or suspects it.
		n.send(ev.From, &messenger.Message{Echo: true})
	}
	n.observeEra(now, m.Era)
	n.mergeHosts(now, ev.From, m.Hosts)
	n.notifySuspect(ev.From)
	n.answerSnapshotRequests(ev.From, m.SnapshotRequests)
	n.sendMissing(now, ev.From, m.Era, m.FeedRequests)
	n.receivePages(now, ev.From, m.FeedPages)
	if len(m.VersionAges) > 0 {
		n.viewDirty = n.state.MergeVersionAges(now, m.VersionAges) || n.viewDirty
	}
	n.compareOffsets(now, ev.From, m.Era, m.Offsets)
	n.compareDigests(now, ev.From, m)
	n.answerComparisons(now, ev.From, m.FeedComparisons)
	if m.Renewal != nil {
		n.observeEra(now, m.Renewal.Lease.Era)
		n.updater.HandleStatus(now, m.Renewal)
		for _, done := range m.Renewal.Renewed {
			n.renewed(done)
		}
	}
	for _, s := range m.Stores {
		n.emit(ApplyStoreReport{From: ev.From, Report: s})
	}
	if m.Report != nil {
		n.receiveReport(now, ev.From, m)
	}
	n.relay(ev.From, m)
	n.answerBuckets(now, ev.From, m.Buckets)
	n.receiveQuarantine(now, ev.From, m)
	n.receiveRateLimits(now, ev.From, m)
	n.receiveBrittle(now, ev.From, m.Brittle)
	n.receiveContention(now, ev.From, m)
	if m.Digest != 0 {
		n.compareDigest(now, ev.From, m.Digest)
	}
}

// compareDigest compares another host's view of the fleet with this one's.
func (n *Node) compareDigest(now time.Time, host string, digest uint64) {
	if digest == n.hosts.Digest() {
		delete(n.differsSince, host)
		return
	}
	since, before := n.differsSince[host]
	if !before {
		since = now
		n.differsSince[host] = now
	}
	if now.Sub(n.lastGreeted[host]) <= minGreetInterval {
		return
	}
	if n.topology().small {
		if r, ok := n.hosts.Lookup(host); ok {
			n.greet(now, host, r.Peers)
		}
		return
	}
	if now.Sub(since) > digestSettleTime {
		n.lastGreeted[host] = now
		n.send(host, &messenger.Message{Buckets: n.hosts.Buckets()})
	}
}

// answerBuckets sends another host the records of the buckets that differ.
func (n *Node) answerBuckets(now time.Time, host string, buckets []uint64) {
	if len(buckets) == 0 {
		return
	}
	if records := n.hosts.Differing(buckets); len(records) > 0 {
		n.send(host, &messenger.Message{Hosts: records})
	}
}

// notifySuspect sends a suspected host its own record, so that it can refute it.
func (n *Node) notifySuspect(host string) {
	r, ok := n.hosts.Lookup(host)
	if ok && (r.State == tracker.HostSuspect || r.State == tracker.HostGone) {
		n.send(host, &messenger.Message{Hosts: []tracker.HostRecord{r}})
	}
}

func (n *Node) mergeHosts(now time.Time, from string, records []tracker.HostRecord) {
	var changed []tracker.HostRecord
	for _, r := range records {
		changed = append(changed, n.hosts.Merge(now, r)...)
	}
	if len(changed) > 0 {
		n.recordHostChanges(changed)
		n.sendHostsToNeighbours(from, changed)
	}
}

func (n *Node) recordHostChanges(records []tracker.HostRecord) {
	n.hostsDirty = true
	for _, r := range records {
		n.emit(LogEvent{Kind: LogHostChanged, Host: r.Host, Key: string(r.State)})
	}
}

// recordContact records direct contact with a host.
func (n *Node) recordContact(now time.Time, host string) {
	before, _ := n.hosts.Lookup(host)
	n.hostsDirty = n.hosts.RecordContact(now, host) || n.hostsDirty
	if r, _ := n.hosts.Lookup(host); r.State != before.State {
		n.recordHostChanges([]tracker.HostRecord{r})
	}
}

// markLeaving marks this host as leaving in its record.
func (n *Node) markLeaving() {
	self, changed := n.hosts.UpdateSelf(func(r *tracker.HostRecord) { r.State = tracker.HostLeaving })
	if changed {
		n.recordHostChanges([]tracker.HostRecord{self})
		n.sendHostsToNeighbours("", []tracker.HostRecord{self})
	}
}
