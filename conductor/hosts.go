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
	// greetInterval is the least time between two host lists to one host.
	greetInterval = time.Second
	// differTime is how long another host's view of all hosts must have differed before
	// the views are compared, in a large fleet. What is passed on from host to host
	// settles most differences by then: with whole lists at the first sign, a change of
	// one record set 100 MB in motion among 295 hosts.
	differTime = time.Second
)

// beat sends heartbeats and looks for silent hosts. Hosts that share the work of callers
// hear each other at short intervals, by heartbeats or by reports of work; all others by
// heartbeats at longer ones.
func (n *Node) beat(now time.Time) {
	if now.Sub(n.lastBeat) < n.opts.Timing.Beat {
		return
	}
	n.lastBeat = now
	if news := n.hosts.Tick(now); len(news) > 0 {
		n.noteHosts(news)
		n.spreadHosts("", news)
	}
	prompt, slow := n.byPace()
	n.opts.Quarantine.Expire(now)
	m := &messenger.Message{Digest: n.hosts.Digest(), Offsets: n.offsets(), EndedDigest: n.opts.Quarantine.Digest()}
	if now.Sub(n.lastSlow) >= n.opts.Timing.BeatStandby {
		n.lastSlow = now
		n.sendAll(prompt, "", m)
		n.sendAll(slow, "", m)
	} else if now.Sub(n.lastTold) >= n.opts.Timing.Beat {
		n.sendAll(prompt, "", m)
	}
	if t := n.paths(); !t.small && t.relaying(n.opts.Self.Host) && now.Sub(n.lastPaged) >= relaySilence {
		n.lastPaged = now
		n.sendAll(t.members, "", &messenger.Message{Offsets: m.Offsets})
	}
}

// relaySilence is how long a relay may tell its zone nothing. It is under the silence
// after which what it passes on would be taken for old.
const relaySilence = delayGap - 2*delayDoubt/3

// byPace divides the neighbours into those that expect to hear from this host at short
// intervals and the others.
func (n *Node) byPace() (prompt, slow []string) {
	for _, h := range n.hosts.Neighbours() {
		if n.hosts.Prompt(h) {
			prompt = append(prompt, h)
		} else {
			slow = append(slow, h)
		}
	}
	return prompt, slow
}

// spreadHosts passes news of hosts on to all neighbours but one.
func (n *Node) spreadHosts(except string, news []tracker.HostRecord) {
	n.spread(except, &messenger.Message{Hosts: news})
}

// spread sends a message to all neighbours but one.
func (n *Node) spread(except string, m *messenger.Message) {
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
		n.do(Spread{To: to, Message: m})
	}
}

func (n *Node) send(host string, m *messenger.Message) {
	if r, ok := n.hosts.Lookup(host); ok && r.Peers != "" {
		n.do(Send{To: host, Address: r.Peers, Message: m})
	}
}

// greet tells a host to which a connection was opened what it may lack. It may have been
// forgotten here, as this host there, if they were cut off from each other for long: without
// this both sides of a cut of 60 s stayed apart until one looked for unknown hosts, up to 30 s.
func (n *Node) greet(now time.Time, host, address string) {
	t := n.paths()
	n.lastFull[host] = now
	n.do(Send{To: host, Address: address, Message: n.greeting(now)})
	if slices.Contains(t.active, host) && tracker.Place(t.active, n.opts.Self.Host, "teller/"+host) == 0 {
		n.send(host, n.kept())
	}
}

// kept is what this host knows of kept context.
func (n *Node) kept() *messenger.Message {
	return &messenger.Message{Report: &placer.Report{Placed: n.opts.Kept()}, Stores: n.opts.Stores()}
}

func (n *Node) peerMessage(now time.Time, ev PeerMessage) {
	m := ev.Message
	n.introducer.Met()
	n.hostsDirty = n.hosts.Heard(now, ev.From) || n.hostsDirty
	if n.delays.late(now, ev.From) {
		m = m.WithNews(undated(m.News))
	}
	if m.Digest != 0 && !m.Full && !slices.Contains(n.hosts.Neighbours(), ev.From) {
		// Whoever counts this host among its neighbours must hear from it, or takes
		// it for silent.
		n.send(ev.From, &messenger.Message{Echo: true})
	}
	n.mergeHosts(now, ev.From, m.Hosts)
	n.tellSuspect(ev.From)
	n.answerWants(ev.From, m.Wants)
	n.handOver(now, ev.From, m.Lacks)
	n.hear(now, m.News)
	if len(m.Namings) > 0 {
		n.viewDirty = n.state.Recall(now, m.Namings) || n.viewDirty
	}
	n.compare(now, ev.From, m.Offsets)
	if m.Renewal != nil {
		n.renewer.Heard(now, m.Renewal)
		for _, done := range m.Renewal.Renewed {
			n.renewed(done)
		}
	}
	for _, s := range m.Stores {
		n.do(TakeStore{From: ev.From, Report: s})
	}
	if m.Report != nil {
		n.takeReport(now, ev.From, m)
	}
	n.relay(ev.From, m)
	n.answerBuckets(now, ev.From, m.Buckets)
	n.hearEnds(now, ev.From, m)
	if m.Digest != 0 {
		n.differ(now, ev.From, m.Digest)
	}
}

// differ compares another host's view of all hosts with this one's.
func (n *Node) differ(now time.Time, host string, digest uint64) {
	if digest == n.hosts.Digest() {
		delete(n.differs, host)
		return
	}
	since, before := n.differs[host]
	if !before {
		since = now
		n.differs[host] = now
	}
	if now.Sub(n.lastFull[host]) <= greetInterval {
		return
	}
	if n.paths().small {
		if r, ok := n.hosts.Lookup(host); ok {
			n.greet(now, host, r.Peers)
		}
		return
	}
	if now.Sub(since) > differTime {
		n.lastFull[host] = now
		n.send(host, &messenger.Message{Buckets: n.hosts.Buckets()})
	}
}

// answerBuckets sends another host the records of the parts in which it differs.
func (n *Node) answerBuckets(now time.Time, host string, theirs []uint64) {
	if len(theirs) == 0 {
		return
	}
	if records := n.hosts.Differing(theirs); len(records) > 0 {
		n.send(host, &messenger.Message{Hosts: records})
	}
}

// tellSuspect tells a host that speaks although it is suspected what is said of
// it, so that it can refute that.
func (n *Node) tellSuspect(host string) {
	r, ok := n.hosts.Lookup(host)
	if ok && (r.State == tracker.HostSuspect || r.State == tracker.HostGone) {
		n.send(host, &messenger.Message{Hosts: []tracker.HostRecord{r}})
	}
}

func (n *Node) mergeHosts(now time.Time, from string, records []tracker.HostRecord) {
	var news []tracker.HostRecord
	for _, r := range records {
		news = append(news, n.hosts.Merge(now, r)...)
	}
	if len(news) > 0 {
		n.noteHosts(news)
		n.spreadHosts(from, news)
	}
}

func (n *Node) noteHosts(news []tracker.HostRecord) {
	n.hostsDirty = true
	for _, r := range news {
		n.do(Note{What: NoteHostChanged, Host: r.Host, Key: string(r.State)})
	}
}

// leave tells all hosts that this one is ending.
func (n *Node) leave() {
	self, changed := n.hosts.Say(func(r *tracker.HostRecord) { r.State = tracker.HostLeaving })
	if changed {
		n.noteHosts([]tracker.HostRecord{self})
		n.spreadHosts("", []tracker.HostRecord{self})
	}
}
