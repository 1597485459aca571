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

// greetInterval is the least time between two whole host lists to one host.
const greetInterval = time.Second

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
	m := &messenger.Message{Digest: n.hosts.Digest(), Offsets: n.offsets()}
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

// greet sends all that is known of hosts.
func (n *Node) greet(now time.Time, host string) {
	n.lastFull[host] = now
	n.send(host, &messenger.Message{Full: true, Digest: n.hosts.Digest(), Hosts: n.hosts.All(), Namings: n.state.Namings(now), Offsets: n.offsets()})
	t := n.paths()
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
	n.answerWants(now, ev.From, m.Wants)
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
	if m.Digest != 0 && m.Digest != n.hosts.Digest() && now.Sub(n.lastFull[ev.From]) > greetInterval {
		n.greet(now, ev.From)
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
