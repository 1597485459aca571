// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/leaser"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/replayer"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/tracker"
)

// loadMark is the reading of this host's meter of an upstream at its last load
// report.
type loadMark struct {
	mark router.Mark
	at   time.Time
}

// heartbeat sends heartbeats to the neighbours and updates the states of silent
// hosts.
func (n *Node) heartbeat(now time.Time) {
	if now.Sub(n.lastHeartbeat) < n.opts.Heartbeat {
		return
	}
	n.lastHeartbeat = now
	changed, forwarded := n.hosts.Tick(now)
	n.viewDirty = n.viewDirty || len(changed) > 0
	if len(forwarded) > 0 {
		n.sendHosts("", forwarded)
	}
	m := &messenger.Message{Digest: n.hosts.Digest()}
	for _, h := range n.hosts.Neighbours() {
		n.emit(Send{To: h, Message: m})
	}
}

// sendHosts relays host records to all neighbours but the one that sent them.
func (n *Node) sendHosts(from string, records []tracker.HostRecord) {
	n.sendNeighbours(from, &messenger.Message{Hosts: records})
}

// sendNeighbours sends a message to all neighbours but from.
func (n *Node) sendNeighbours(from string, m *messenger.Message) {
	for _, h := range n.hosts.Neighbours() {
		if h != from {
			n.emit(Send{To: h, Message: m})
		}
	}
}

func (n *Node) peerUp(now time.Time, host string) {
	n.viewDirty = n.hosts.RecordContact(now, host) || n.viewDirty
	n.sendFullSync(now, host)
}

// sendFullSync sends all records of hosts and upstreams to one host.
func (n *Node) sendFullSync(now time.Time, host string) {
	n.lastFullSync[host] = now
	n.emit(Send{To: host, Message: &messenger.Message{
		Full:      true,
		Digest:    n.hosts.Digest(),
		Hosts:     n.hosts.Told(),
		Upstreams: n.upstreams.All(),
		Loads:     n.upstreams.Loads(),
	}})
}

func (n *Node) peerMessage(now time.Time, ev PeerMessage) {
	n.viewDirty = n.hosts.RecordContact(now, ev.From) || n.viewDirty
	n.notifySuspect(now, ev.From)
	m := ev.Message
	if m.Digest != 0 && !m.Full && !slices.Contains(n.hosts.Neighbours(), ev.From) {
		// A host that has this one as a neighbour expects heartbeats from it.
		n.emit(Send{To: ev.From, Message: &messenger.Message{Echo: true}})
	}
	n.mergeHosts(now, ev.From, m.Hosts)
	n.mergeUpstreams(ev.From, m.Upstreams)
	n.mergeLoads(now, m.Loads)
	for _, c := range m.Claims {
		n.claimMessage(now, ev.From, c)
	}
	for _, r := range m.Replies {
		n.applyClaimantEffects(now, n.claimant.HandleReply(now, r))
	}
	n.sendSnapshots(ev.From, m.SnapshotRequests)
	for _, r := range m.Records {
		n.applyRelayedRecord(now, r)
	}
	if m.Snapshot != nil {
		n.adoptSnapshot(now, *m.Snapshot)
	}
	if m.Demand != nil {
		n.handleDemand(now, ev.From, *m.Demand)
	}
	if m.Grants != nil {
		n.applyGrants(now, *m.Grants)
	}
	for _, t := range m.Turns {
		n.turnEnded(now, ev.From, t)
	}
	if m.CacheQuery != nil {
		n.cacheQueried(now, ev.From, *m.CacheQuery)
	}
	if m.CacheReply != nil {
		n.cacheReplied(now, *m.CacheReply)
	}
	if m.InFlight != nil {
		n.inFlightReceived(now, ev.From, m.InFlight)
	}
	if len(m.Placed) > 0 {
		n.emit(PlacementsLearned{Placements: m.Placed})
	}
	if m.Digest != 0 && m.Digest != n.hosts.Digest() && now.Sub(n.lastFullSync[ev.From]) > fullSyncInterval {
		n.sendFullSync(now, ev.From)
	}
}

// notifySuspect sends a host that is suspected or gone its own record, so that it
// can refute the suspicion.
func (n *Node) notifySuspect(now time.Time, host string) {
	r, ok := n.hosts.Lookup(host)
	if !ok || r.State != tracker.HostSuspect && r.State != tracker.HostGone {
		return
	}
	if now.Sub(n.lastSuspectNotice[host]) < n.opts.Heartbeat {
		return
	}
	n.lastSuspectNotice[host] = now
	n.emit(Send{To: host, Message: &messenger.Message{Hosts: []tracker.HostRecord{r}}})
}

func (n *Node) mergeHosts(now time.Time, from string, records []tracker.HostRecord) {
	var changed []tracker.HostRecord
	for _, r := range records {
		changed = append(changed, n.hosts.Merge(now, r)...)
	}
	if len(changed) == 0 {
		return
	}
	n.viewDirty = true
	n.sendHosts(from, changed)
}

func (n *Node) mergeUpstreams(from string, records []tracker.UpstreamRecord) {
	var changed []tracker.UpstreamRecord
	for _, r := range records {
		if n.upstreams.Merge(r) {
			n.updateIncarnation(r.Upstream, r.Incarnation)
			changed = append(changed, r)
		}
	}
	n.sendUpstreams(from, changed)
}

// sendUpstreams relays changed upstream records and makes the next view due at
// once, because a leaving upstream must get no new requests.
func (n *Node) sendUpstreams(from string, records []tracker.UpstreamRecord) {
	if len(records) == 0 {
		return
	}
	n.viewAt = time.Time{}
	n.viewDirty = true
	n.sendNeighbours(from, &messenger.Message{Upstreams: records})
}

func (n *Node) mergeLoads(now time.Time, loads []tracker.LoadDigest) {
	for _, l := range loads {
		if !n.upstreams.MergeLoad(now, l) {
			continue
		}
		n.loadMarks[l.Upstream] = loadMark{mark: n.opts.Registry.Get(l.Upstream).Meter.Mark(), at: now}
		n.viewDirty = true
		if len(n.hosts.Neighbours()) >= minRelayNeighbours {
			n.pendingLoads = append(n.pendingLoads, l)
		}
	}
}

// minRelayNeighbours is the number of neighbours from which the mesh is not full, so
// that load digests are relayed.
const minRelayNeighbours = 9

// loadReported handles the result of polling an upstream, as one of its watchers.
func (n *Node) loadReported(now time.Time, ev LoadReported) {
	if ev.Report == nil {
		if r, changed := n.upstreams.Unanswered(now, ev.Upstream); changed {
			n.sendUpstreams("", []tracker.UpstreamRecord{r})
		}
		return
	}
	r, changed := n.upstreams.Reported(now, n.opts.Self.Host, ev.Upstream, *ev.Report)
	if changed {
		n.updateIncarnation(ev.Upstream, r.Incarnation)
		n.sendUpstreams("", []tracker.UpstreamRecord{r})
	}
	n.loadMarks[ev.Upstream] = loadMark{mark: ev.Mark, at: now}
	_, digest, _ := n.upstreams.Lookup(ev.Upstream)
	n.viewDirty = true
	n.queueLoad(now, digest)
}

// Intervals at which unchanged load digests are sent again.
const (
	loadRefreshInterval   = 2 * time.Second
	modelsRefreshInterval = 10 * time.Second
)

// sentLoad is the last load digest of an upstream that this host sent.
type sentLoad struct {
	digest   tracker.LoadDigest
	at       time.Time
	modelsAt time.Time
}

// queueLoad queues a digest if it has changed or is due again. Unchanged models are
// left out until they are due.
func (n *Node) queueLoad(now time.Time, d tracker.LoadDigest) {
	sent := n.sentLoads[d.Upstream]
	if tracker.SameLoad(sent.digest, d) && now.Sub(sent.at) < loadRefreshInterval {
		return
	}
	next := sentLoad{digest: d, at: now, modelsAt: sent.modelsAt}
	if tracker.SameModels(sent.digest, d) && now.Sub(sent.modelsAt) < modelsRefreshInterval {
		d.Models, d.Role, d.Same = nil, "", true
	} else {
		next.modelsAt = now
	}
	n.sentLoads[d.Upstream] = next
	n.pendingLoads = append(n.pendingLoads, d)
}

// updateIncarnation stores an upstream's incarnation and reports a restart.
func (n *Node) updateIncarnation(upstream string, incarnation uint64) {
	if old := n.incarnations[upstream]; incarnation > old {
		n.incarnations[upstream] = incarnation
		if old != 0 {
			n.emit(UpstreamRestarted{Upstream: upstream})
		}
	}
}

// flushLoads sends the queued load digests, placements and turns to other hosts.
func (n *Node) flushLoads(now time.Time) {
	if len(n.pendingLoads)+len(n.pendingPlacements)+len(n.pendingTurns) == 0 || now.Sub(n.lastLoadFlush) < loadFlushInterval {
		return
	}
	n.lastLoadFlush = now
	if len(n.pendingLoads)+len(n.pendingPlacements) > 0 {
		n.sendNeighbours("", &messenger.Message{Loads: n.pendingLoads, Placed: n.pendingPlacements})
	}
	n.pendingLoads, n.pendingPlacements = nil, nil
	for host, turns := range n.pendingTurns {
		n.emit(Send{To: host, Message: &messenger.Message{Turns: turns}})
	}
	clear(n.pendingTurns)
}

func (n *Node) hostsListed(now time.Time, ev HostsListed) {
	if changed := n.hosts.Listed(now, ev.Answer.Hosts); len(changed) > 0 {
		n.sendHosts("", changed)
	}
	n.viewDirty = true
	doc := n.config.Document()
	if doc == nil {
		return
	}
	leaving := make(map[string]bool)
	for _, l := range ev.Answer.Upstreams {
		leaving[l.Address] = l.State == connector.ListedLeaving
	}
	var changed []tracker.UpstreamRecord
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		if r, ok := n.upstreams.Listed(u.Name, leaving[u.Address]); ok {
			changed = append(changed, r)
		}
	}
	n.sendUpstreams("", changed)
}

// Watched returns the upstreams whose load this host must poll.
func (n *Node) Watched() []configurer.Upstream {
	doc := n.config.Document()
	if doc == nil {
		return nil
	}
	live := n.hosts.Live()
	var out []configurer.Upstream
	for _, u := range doc.Upstreams {
		if n.upstreams.Watches(live, n.opts.Self.Host, u.Name) {
			out = append(out, u)
		}
	}
	return out
}

// PeerAddress returns the address of another host for peers, or "" if unknown.
func (n *Node) PeerAddress(host string) string {
	r, _ := n.hosts.Lookup(host)
	return r.Peers
}

// Neighbours returns the hosts that this host keeps connections to.
func (n *Node) Neighbours() []string { return n.hosts.Neighbours() }

// Hosts returns the records of all hosts.
func (n *Node) Hosts() []tracker.HostRecord { return n.hosts.All() }

// requestSnapshots requests snapshots of streams from the neighbours while the log
// cannot be read.
func (n *Node) requestSnapshots(now time.Time) {
	if now.Sub(n.lastSnapshotRequest) < snapshotRetryInterval {
		return
	}
	var names []string
	for _, name := range []string{configurer.StreamName, leaser.StreamName} {
		s := n.streams[name]
		if s.failing && (!s.fold.Ready() || n.configurationBehind(name)) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return
	}
	n.lastSnapshotRequest = now
	n.sendNeighbours("", &messenger.Message{SnapshotRequests: names})
}

// configurationBehind reports whether the stream is that of the configuration and
// another host has a newer one in force.
func (n *Node) configurationBehind(stream string) bool {
	if stream != configurer.StreamName {
		return false
	}
	for _, r := range n.hosts.All() {
		if r.State == tracker.HostLive && r.Revision > n.config.Revision() {
			return true
		}
	}
	return false
}

func (n *Node) sendSnapshots(to string, names []string) {
	for _, name := range names {
		if s := n.streams[name]; s != nil && s.fold.Ready() && !isClaims(name) {
			cp := s.fold.Snapshot(n.opts.LogRetention)
			n.emit(Send{To: to, Message: &messenger.Message{Snapshot: &messenger.StreamSnapshot{Stream: name, Checkpoint: cp}}})
		}
	}
}

func isClaims(stream string) bool {
	for r := range claimer.Ranges {
		if stream == claimer.StreamName(r) {
			return true
		}
	}
	return false
}

// applyRelayedRecord applies a record that a peer has read from the log, if it is
// the next one of its stream.
func (n *Node) applyRelayedRecord(now time.Time, r messenger.StreamRecord) {
	s := n.streams[r.Stream]
	if s == nil || isClaims(r.Stream) || r.Record.Offset != s.fold.Next() || !s.fold.Ready() {
		return
	}
	applied := n.applyPage(now, s, r.Stream, replayer.Page{Next: r.Record.Offset + 1, Records: []replayer.RawRecord{r.Record}})
	// The record may be this host's own. The next read of the log starts after it, so
	// the queue must see it here, or it would wait for it forever.
	s.queue.StreamRead(time.Time{}, false, applied)
}

// adoptSnapshot adopts a peer's snapshot of a stream that cannot be read.
func (n *Node) adoptSnapshot(now time.Time, snap messenger.StreamSnapshot) {
	s := n.streams[snap.Stream]
	if s == nil || !s.failing || isClaims(snap.Stream) || !s.fold.Adopt(snap.Checkpoint) {
		return
	}
	n.emit(Follow{Stream: snap.Stream, From: s.fold.Next()})
	if snap.Stream == configurer.StreamName {
		n.configurationChanged(now)
	}
	n.viewDirty = true
}
