// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minInterval and hostInterval bound the messages of a host: it sends none for the longer of
	// minInterval and hostInterval for each receiver, which is the turn of a host at an engine.
	minInterval  = 20 * time.Millisecond
	hostInterval = 6 * time.Millisecond
	// repeatInterval is the interval at which hosts that compete repeat their messages. It is short
	// enough that one lost message makes no host fall silent, and carries counts of classes whose head
	// does not change.
	repeatInterval = 250 * time.Millisecond
	// rotateInterval is the interval at which one active host after the other is told that requests wait
	// here, whether or not it competes. Hosts that were partitioned find each other again.
	rotateInterval = 100 * time.Millisecond
	// recentTime is how long a host counts as competing after requests last waited there. It receives
	// messages at once when requests wait again, without a broadcast.
	recentTime = 3 * time.Second
)

// Outgoing is a message for other hosts.
type Outgoing struct {
	To      []string
	Message Message
}

// sendInterval is the least time between two messages of a host.
func sendInterval(competing int) time.Duration {
	return max(minInterval, time.Duration(competing)*hostInterval)
}

// outbox is the state of this host's messages.
type outbox struct {
	version     uint64 // version is incremented when the heads of this host change.
	sequence    uint64
	sentAt      time.Time
	announced   bool // announced is whether all active hosts were last told that requests wait here.
	broadcastTo map[string]bool
	// repeatAt is when the begin of waiting is told once more, since a message to a host without an open
	// connection is dropped; zero if it was.
	repeatAt    time.Time
	rotation    int // rotation is the index of the active host that is told next, at rotatedAt at the earliest.
	rotatedAt   time.Time
	nextAllowed time.Time         // nextAllowed is when the next broadcast may be sent.
	waited      map[ClassKey]bool // waited are the classes that waited in the last message.
}

// Step returns the messages that are due. It must be called at each admission tick.
func (a *Arbiter) Step(now time.Time, active []string) []Outgoing {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delayed(now)
	if a.period(a.lastStepOr(now)) != a.period(now) {
		a.dropIdleWindows(a.period(now))
	}
	a.lastStep = now
	a.contended.Store(a.waitingPeers(now) > 0)
	o := &a.outbox
	competing := a.competing(now)
	if !o.sentAt.IsZero() && now.Sub(o.sentAt) < sendInterval(len(competing)) {
		return nil
	}
	to := a.receivers(now, competing, active)
	if len(to) == 0 {
		return nil
	}
	o.sentAt = now
	o.sequence++
	for _, host := range to {
		if p := a.peers[host]; p != nil {
			p.toldVersion, p.toldAt = o.version, now
		}
	}
	a.stats.Sent += uint64(len(to))
	return []Outgoing{{To: to, Message: a.message(now)}}
}

func (a *Arbiter) lastStepOr(now time.Time) time.Time {
	if a.lastStep.IsZero() {
		return now
	}
	return a.lastStep
}

// waitingPeers returns the number of other hosts at which requests wait; a.mu is held.
func (a *Arbiter) waitingPeers(now time.Time) int {
	n := 0
	for _, p := range a.peers {
		if len(p.backlogs) > 0 && p.heard(now) {
			n++
		}
	}
	return n
}

// competing returns the hosts that compete with this one, or did lately; a.mu is held.
func (a *Arbiter) competing(now time.Time) []string {
	var out []string
	waits := countWaiting(a.local.backlogs) > 0
	for host, p := range a.peers {
		if a.competes(now, p, waits) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// competes reports whether requests for a service that waits here wait at another host, or did lately. If
// none wait here, any service counts.
func (a *Arbiter) competes(now time.Time, p *peer, waits bool) bool {
	for service, at := range p.waitedAt {
		if now.Sub(at) >= recentTime {
			delete(p.waitedAt, service)
			continue
		}
		if !waits {
			return true
		}
		for i := range a.local.backlogs {
			if b := &a.local.backlogs[i]; b.Key.Service == service && b.waiting() > 0 {
				return true
			}
		}
	}
	return false
}

// receivers returns the hosts that a message is due for; a.mu is held.
func (a *Arbiter) receivers(now time.Time, competing, active []string) []string {
	o := &a.outbox
	waits := countWaiting(a.local.backlogs) > 0
	var to []string
	for _, host := range competing {
		p := a.peers[host]
		if p.toldVersion != o.version || waits && now.Sub(p.toldAt) >= repeatInterval || len(a.local.returns) > 0 {
			to = append(to, host)
		}
	}
	if waits && len(active) > 0 && now.Sub(o.rotatedAt) >= rotateInterval {
		o.rotatedAt = now
		o.rotation = (o.rotation + 1) % len(active)
		if host := active[o.rotation]; host != a.opts.Host && !slices.Contains(to, host) {
			to = append(to, host)
		}
	}
	if now.Before(o.nextAllowed) {
		return to
	}
	all := waits != o.announced || waits && !o.repeatAt.IsZero() && !now.Before(o.repeatAt)
	var others []string
	for _, host := range active {
		if host != a.opts.Host && (all || waits && !o.broadcastTo[host]) {
			others = append(others, host)
		}
	}
	if len(others) == 0 {
		return to
	}
	if all {
		o.repeatAt = time.Time{}
		if waits && !o.announced {
			o.repeatAt = now.Add(repeatInterval)
		}
		o.announced, o.broadcastTo = waits, make(map[string]bool, len(others))
	}
	for _, host := range others {
		o.broadcastTo[host] = true
	}
	o.nextAllowed = now.Add(time.Duration(len(others)) * hostInterval)
	to = append(to, others...)
	slices.Sort(to)
	return slices.Compact(to)
}

// message returns the message that describes this host now; a.mu is held.
func (a *Arbiter) message(now time.Time) Message {
	m := Message{Incarnation: a.opts.Incarnation, Sequence: a.outbox.sequence}
	m.Backlogs = a.ownBacklogs(now)
	m.Usage = a.ownUsage(now, m.Backlogs)
	for len(a.local.returns) > 0 && len(m.Returns) < MaxReturns {
		r := a.local.returns[0]
		a.local.returns = a.local.returns[1:]
		if remaining := r.deadline.Sub(now); remaining > 0 {
			m.Returns = append(m.Returns, Return{Identity: r.identity, FirstAge: min(now.Sub(r.first), maxTime), Remaining: min(remaining, maxTime)})
		}
	}
	return m
}

// ownBacklogs returns the classes that wait here, the most urgent first, and then those that have ceased to
// wait since the last message, for their counts; a.mu is held.
func (a *Arbiter) ownBacklogs(now time.Time) []Backlog {
	type entry struct {
		Backlog
		urgency
	}
	var entries []entry
	for i := range a.local.backlogs {
		b := &a.local.backlogs[i]
		if b.waiting() == 0 && !a.outbox.waited[b.Key] {
			continue
		}
		out := entry{Backlog: b.Backlog, urgency: a.urgency(a.order(now, b.Key.Service), b.request())}
		out.Head.StartWithin = min(max(b.startBy.Sub(now), -maxTime), maxTime)
		if b.waiting() == 0 {
			out.Head = Head{}
		}
		entries = append(entries, out)
	}
	slices.SortFunc(entries, func(x, y entry) int {
		return cmp.Or(compareBool(x.waiting() == 0, y.waiting() == 0), x.urgency.compare(y.urgency), cmp.Compare(x.Key.Class, y.Key.Class))
	})
	entries = entries[:min(len(entries), MaxBacklogs)]
	var out []Backlog
	a.outbox.waited = make(map[ClassKey]bool, len(entries))
	for _, e := range entries {
		out = append(out, e.Backlog)
		a.outbox.waited[e.Key] = e.waiting() > 0
	}
	return out
}

// ownUsage returns what this host has started lately for the workspaces that wait here, and for those
// whose requests are next at other hosts; a.mu is held.
func (a *Arbiter) ownUsage(now time.Time, backlogs []Backlog) []Usage {
	type entry struct {
		Usage
		head bool
	}
	period := a.period(now)
	var entries []entry
	add := func(service, workspace string, work float64, head bool) {
		work = min(max(work, a.ownWork(service, workspace, period)), maxWork)
		at := slices.IndexFunc(entries, func(e entry) bool { return e.Service == service && e.Workspace == workspace })
		if at < 0 {
			entries = append(entries, entry{Usage{service, workspace, work}, head})
			return
		}
		entries[at].Work, entries[at].head = max(entries[at].Work, work), entries[at].head || head
	}
	services := make(map[string]bool)
	for i := range backlogs {
		if b := &backlogs[i]; b.waiting() > 0 {
			add(b.Key.Service, b.Head.Workspace, 0, true)
			services[b.Key.Service] = true
		}
	}
	for _, u := range a.local.usage {
		if services[u.Service] {
			add(u.Service, u.Workspace, u.Work, false)
		}
	}
	for _, p := range a.peers {
		if !p.heard(now) {
			continue
		}
		for i := range p.backlogs {
			b := &p.backlogs[i]
			if a.ownWork(b.Key.Service, b.Head.Workspace, period) > 0 && services[b.Key.Service] {
				add(b.Key.Service, b.Head.Workspace, 0, true)
			}
		}
	}
	slices.SortFunc(entries, func(x, y entry) int {
		return cmp.Or(-compareBool(x.head, y.head), -cmp.Compare(x.Work, y.Work), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Workspace, y.Workspace))
	})
	var out []Usage
	for _, e := range entries[:min(len(entries), MaxUsage)] {
		out = append(out, e.Usage)
	}
	return out
}
