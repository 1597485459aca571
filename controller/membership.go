// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/folder"
	"amaranthgate.example/amaranthgate/leaser"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/tracker"
)

// loadMark is what this host had sent to an upstream when its newest load
// report was made.
type loadMark struct {
	mark router.Mark
	at   time.Time
}

// beat sends heartbeats and looks for silent hosts.
func (n *Node) beat(now time.Time) {
	if now.Sub(n.lastBeat) < n.opts.Heartbeat {
		return
	}
	n.lastBeat = now
	if news := n.hosts.Tick(now); len(news) > 0 {
		n.spreadHosts("", news)
		n.viewDirty = true
	}
	m := &messenger.Message{Digest: n.hosts.Digest()}
	for _, h := range n.hosts.Neighbours() {
		n.do(Send{To: h, Message: m})
	}
}

// spreadHosts passes host records on to all neighbours but the one that they
// came from.
func (n *Node) spreadHosts(from string, news []tracker.HostRecord) {
	n.spread(from, &messenger.Message{Hosts: news})
}

func (n *Node) spread(from string, m *messenger.Message) {
	for _, h := range n.hosts.Neighbours() {
		if h != from {
			n.do(Send{To: h, Message: m})
		}
	}
}

func (n *Node) peerUp(now time.Time, host string) {
	n.hosts.Heard(now, host)
	n.sendFull(now, host)
}

// sendFull sends all that is known of hosts and upstreams to one host.
func (n *Node) sendFull(now time.Time, host string) {
	n.lastFull[host] = now
	n.do(Send{To: host, Message: &messenger.Message{
		Full:      true,
		Digest:    n.hosts.Digest(),
		Hosts:     n.hosts.All(),
		Upstreams: n.upstreams.All(),
		Loads:     n.upstreams.Loads(),
	}})
}

func (n *Node) peerMessage(now time.Time, ev PeerMessage) {
	n.hosts.Heard(now, ev.From)
	n.tellSuspect(now, ev.From)
	m := ev.Message
	if m.Digest != 0 && !m.Full && !slices.Contains(n.hosts.Neighbours(), ev.From) {
		// Whoever counts this host among its neighbours must hear from it.
		n.do(Send{To: ev.From, Message: &messenger.Message{Echo: true}})
	}
	n.mergeHosts(now, ev.From, m.Hosts)
	n.mergeUpstreams(ev.From, m.Upstreams)
	n.mergeLoads(now, m.Loads)
	for _, c := range m.Claims {
		n.claimMessage(now, ev.From, c)
	}
	for _, r := range m.Replies {
		n.steps(now, n.claimant.Answer(now, r))
	}
	n.answerWants(ev.From, m.Wants)
	for _, r := range m.Records {
		n.recordTold(now, r)
	}
	if m.Snapshot != nil {
		n.adopt(now, *m.Snapshot)
	}
	if m.Demand != nil {
		n.demanded(now, ev.From, *m.Demand)
	}
	if m.Grants != nil {
		n.granted(now, *m.Grants)
	}
	for _, t := range m.Turns {
		n.turnEnded(now, ev.From, t)
	}
	if m.KeptAsk != nil {
		n.keptAsked(now, ev.From, *m.KeptAsk)
	}
	if m.KeptTell != nil {
		n.keptTold(now, *m.KeptTell)
	}
	if m.Sends != nil {
		n.peerSends(now, ev.From, m.Sends)
	}
	if len(m.Placed) > 0 {
		n.do(PlacementsLearned{Placements: m.Placed})
	}
	if m.Digest != 0 && m.Digest != n.hosts.Digest() && now.Sub(n.lastFull[ev.From]) > fullInterval {
		n.sendFull(now, ev.From)
	}
}

// tellSuspect tells a host that speaks although it is suspected what is said of
// it, so that it can refute that.
func (n *Node) tellSuspect(now time.Time, host string) {
	r, ok := n.hosts.Lookup(host)
	if !ok || r.State != tracker.HostSuspect && r.State != tracker.HostGone {
		return
	}
	if now.Sub(n.lastTold[host]) < n.opts.Heartbeat {
		return
	}
	n.lastTold[host] = now
	n.do(Send{To: host, Message: &messenger.Message{Hosts: []tracker.HostRecord{r}}})
}

func (n *Node) mergeHosts(now time.Time, from string, records []tracker.HostRecord) {
	var news []tracker.HostRecord
	for _, r := range records {
		news = append(news, n.hosts.Merge(now, r)...)
	}
	if len(news) == 0 {
		return
	}
	n.viewDirty = true
	n.spreadHosts(from, news)
}

func (n *Node) mergeUpstreams(from string, records []tracker.UpstreamRecord) {
	var news []tracker.UpstreamRecord
	for _, r := range records {
		if n.upstreams.Merge(r) {
			n.restarted(r.Upstream, r.Incarnation)
			news = append(news, r)
		}
	}
	n.spreadUpstreams(from, news)
}

// spreadUpstreams passes news of upstreams on and puts them into force at
// once: an upstream that leaves must get no new work.
func (n *Node) spreadUpstreams(from string, news []tracker.UpstreamRecord) {
	if len(news) == 0 {
		return
	}
	n.viewAt = time.Time{}
	n.viewDirty = true
	n.spread(from, &messenger.Message{Upstreams: news})
}

func (n *Node) mergeLoads(now time.Time, loads []tracker.LoadDigest) {
	for _, l := range loads {
		if !n.upstreams.MergeLoad(now, l) {
			continue
		}
		n.marks[l.Upstream] = loadMark{mark: n.opts.Registry.Get(l.Upstream).Meter.Mark(), at: now}
		n.viewDirty = true
		if len(n.hosts.Neighbours()) >= relayFrom {
			n.loads = append(n.loads, l)
		}
	}
}

// relayFrom is the number of neighbours from which the mesh is not full and
// load digests must be relayed.
const relayFrom = 9

// loadReported takes an upstream's own report, as one of its watchers.
func (n *Node) loadReported(now time.Time, ev LoadReported) {
	if ev.Report == nil {
		if r, news := n.upstreams.Unanswered(now, ev.Upstream); news {
			n.spreadUpstreams("", []tracker.UpstreamRecord{r})
		}
		return
	}
	r, news := n.upstreams.Reported(now, n.opts.Self.Host, ev.Upstream, *ev.Report)
	if news {
		n.restarted(ev.Upstream, r.Incarnation)
		n.spreadUpstreams("", []tracker.UpstreamRecord{r})
	}
	n.marks[ev.Upstream] = loadMark{mark: ev.Mark, at: now}
	_, digest, _ := n.upstreams.Lookup(ev.Upstream)
	n.viewDirty = true
	n.tellLoad(now, digest)
}

// Intervals of load digests that say nothing new.
const (
	loadAgain   = 2 * time.Second
	modelsAgain = 10 * time.Second
)

// toldLoad is the last digest of an upstream that this host passed on.
type toldLoad struct {
	digest   tracker.LoadDigest
	at       time.Time
	modelsAt time.Time
}

// tellLoad passes a digest on if it says something new or the last is old. The
// models are left out while they are the same.
func (n *Node) tellLoad(now time.Time, d tracker.LoadDigest) {
	told := n.told[d.Upstream]
	if tracker.SameLoad(told.digest, d) && now.Sub(told.at) < loadAgain {
		return
	}
	next := toldLoad{digest: d, at: now, modelsAt: told.modelsAt}
	if tracker.SameModels(told.digest, d) && now.Sub(told.modelsAt) < modelsAgain {
		d.Models, d.Role, d.Same = nil, "", true
	} else {
		next.modelsAt = now
	}
	n.told[d.Upstream] = next
	n.loads = append(n.loads, d)
}

// restarted tells the index when an upstream has begun a new incarnation.
func (n *Node) restarted(upstream string, incarnation uint64) {
	if old := n.incarnations[upstream]; incarnation > old {
		n.incarnations[upstream] = incarnation
		if old != 0 {
			n.do(UpstreamRestarted{Upstream: upstream})
		}
	}
}

// flushLoads sends what was gathered for other hosts: load digests, placements
// and ends of turns.
func (n *Node) flushLoads(now time.Time) {
	if len(n.loads)+len(n.placed)+len(n.turns) == 0 || now.Sub(n.lastLoads) < loadFlush {
		return
	}
	n.lastLoads = now
	if len(n.loads)+len(n.placed) > 0 {
		n.spread("", &messenger.Message{Loads: n.loads, Placed: n.placed})
	}
	n.loads, n.placed = nil, nil
	for host, turns := range n.turns {
		n.do(Send{To: host, Message: &messenger.Message{Turns: turns}})
	}
	clear(n.turns)
}

func (n *Node) hostsListed(now time.Time, ev HostsListed) {
	if news := n.hosts.Listed(now, ev.Answer.Hosts); len(news) > 0 {
		n.spreadHosts("", news)
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
	var news []tracker.UpstreamRecord
	for i := range doc.Upstreams {
		u := &doc.Upstreams[i]
		if r, ok := n.upstreams.Listed(u.Name, leaving[u.Address]); ok {
			news = append(news, r)
		}
	}
	n.spreadUpstreams("", news)
}

// Watched returns the upstreams that this host must ask for their load.
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

// PeerAddress returns where another host can be reached.
func (n *Node) PeerAddress(host string) string {
	r, _ := n.hosts.Lookup(host)
	return r.Peers
}

// Neighbours returns the hosts to keep connections to.
func (n *Node) Neighbours() []string { return n.hosts.Neighbours() }

// Hosts returns what is known of all hosts.
func (n *Node) Hosts() []tracker.HostRecord { return n.hosts.All() }

// askSnapshots asks the neighbours for the folds that this host lacks while
// the log cannot be read.
func (n *Node) askSnapshots(now time.Time) {
	if now.Sub(n.lastWants) < snapshotAgain {
		return
	}
	var wants []string
	for _, name := range []string{configurer.StreamName, leaser.StreamName} {
		s := n.streams[name]
		if s.failing && (!s.fold.Ready() || n.behind(name)) {
			wants = append(wants, name)
		}
	}
	if len(wants) == 0 {
		return
	}
	n.lastWants = now
	n.spread("", &messenger.Message{Wants: wants})
}

// behind reports whether another host has a newer configuration in force.
func (n *Node) behind(stream string) bool {
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

func (n *Node) answerWants(to string, wants []string) {
	for _, name := range wants {
		if s := n.streams[name]; s != nil && s.fold.Ready() && !isClaims(name) {
			cp := s.fold.Snapshot(n.opts.LogRetention)
			n.do(Send{To: to, Message: &messenger.Message{Snapshot: &messenger.StreamSnapshot{Stream: name, Checkpoint: cp}}})
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

// recordTold takes a record that a peer has read from the log and this host has
// not yet, if it is the next one.
func (n *Node) recordTold(now time.Time, r messenger.StreamRecord) {
	s := n.streams[r.Stream]
	if s == nil || isClaims(r.Stream) || r.Record.Offset != s.fold.Next() || !s.fold.Ready() {
		return
	}
	applied := n.feed(now, s, r.Stream, folder.Page{Next: r.Record.Offset + 1, Records: []folder.Raw{r.Record}})
	// It may be this host's own record, which its next read of the log leaves out then:
	// without this line the queue waited for it for good, and took no further change.
	s.queue.Read(time.Time{}, false, applied)
}

// adopt takes a peer's snapshot of a stream that cannot be read.
func (n *Node) adopt(now time.Time, snap messenger.StreamSnapshot) {
	s := n.streams[snap.Stream]
	if s == nil || !s.failing || isClaims(snap.Stream) || !s.fold.Adopt(snap.Checkpoint) {
		return
	}
	n.do(Follow{Stream: snap.Stream, From: s.fold.Next()})
	if snap.Stream == configurer.StreamName {
		n.configurationChanged(now)
	}
	n.viewDirty = true
}
