// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
)

// Hosts at which requests wait tell each other what waits, so that scarce room is used in the same order
// over all hosts.

// contentionSource has what waits at this host. It must be safe for concurrent use.
type contentionSource interface {
	// Contention returns what waits, and the requests refused since the last call.
	Contention(now time.Time) arbiter.Local
	// MergeReturns adds requests that other hosts have refused, and returns how many are invalid. Those of
	// valid messages are not.
	MergeReturns(now time.Time, returns []arbiter.Return) (invalid int)
}

// contention orders the waiting requests of this host among those of all hosts.
type contention struct {
	arbiter *arbiter.Arbiter // arbiter is nil if the mechanism is disabled.
	source  contentionSource

	// active are the hosts that serve callers, as of the lists that they were taken from.
	active  []string
	hosts   *[]tracker.HostRecord
	serving *activator.Selection
}

func (h *Host) newArbiter(self tracker.HostRecord) *arbiter.Arbiter {
	if !h.opts.Settings.Platform.Enabled(loader.MechanismHostOrder) {
		return nil
	}
	return arbiter.New(arbiter.Options{Host: self.Host, Incarnation: self.Incarnation})
}

// peerBacklogs has the sums of the other hosts while hosts compete in one order. Otherwise hosts at which
// nothing waits send no counts, and the rates over all hosts would be too low: requests that could be served
// would be refused.
type peerBacklogs struct {
	arbiter *arbiter.Arbiter
	placer  *placer.Placer
}

// Sums implements exchanger.PeerBacklogs.
func (p peerBacklogs) Sums(now time.Time, key arbiter.ClassKey) arbiter.Sums {
	if !p.placer.Ordered(key.Service) {
		return arbiter.Sums{}
	}
	return p.arbiter.Sums(now, key)
}

// peers returns what is known of the requests that wait at other hosts; nil if the mechanism is disabled.
func (h *Host) peers() exchanger.PeerBacklogs {
	if h.contention.arbiter == nil {
		return nil
	}
	return peerBacklogs{h.contention.arbiter, h.placer}
}

// contend tells other hosts what waits here if that is due. It is called at each admission tick.
func (h *Host) contend(now time.Time) {
	c := &h.contention
	if c.arbiter == nil {
		return
	}
	c.arbiter.SetLocal(now, h.orderedOnly(c.source.Contention(now)))
	for _, o := range c.arbiter.Step(now, h.activeHosts()) {
		h.post(ContentionStepped{Outgoing: o})
	}
}

// orderedOnly returns what waits for services whose requests are ordered over all hosts. Requests refused are
// told only together with those.
func (h *Host) orderedOnly(l arbiter.Local) arbiter.Local {
	ordered := make(map[string]bool)
	is := func(service string) bool {
		o, known := ordered[service]
		if !known {
			o = h.placer.Ordered(service)
			ordered[service] = o
		}
		return o
	}
	l.Backlogs = slices.DeleteFunc(l.Backlogs, func(b arbiter.Backlog) bool { return !is(b.Key.Service) })
	l.Usage = slices.DeleteFunc(l.Usage, func(u arbiter.Usage) bool { return !is(u.Service) })
	if len(l.Backlogs) == 0 {
		l.Returns = nil
	}
	return l
}

// activeHosts returns the hosts that serve callers. It is called by one goroutine only.
func (h *Host) activeHosts() []string {
	c, hosts, serving := &h.contention, h.hosts.Load(), h.serving.Load()
	if c.hosts == hosts && c.serving == serving {
		return c.active
	}
	c.hosts, c.serving = hosts, serving
	c.active = nil
	var known []string
	for _, r := range *hosts {
		if r.State != tracker.HostGone {
			known = append(known, r.Host)
		}
		if r.State == tracker.HostLive && (serving.All || serving.Active[r.Host]) {
			c.active = append(c.active, r.Host)
		}
	}
	c.arbiter.Retain(known)
	return c.active
}

// began records the work that this host starts.
func (c *contention) began(now time.Time, turn arbiter.Request, work float64) {
	c.arbiter.Began(now, turn.Key.Service, turn.Workspace, work)
	c.arbiter.BeganClass(now, turn.Key, work)
}

// mergeReturns takes over the requests that other hosts have refused.
func (h *Host) mergeReturns(now time.Time, returns []arbiter.Return) {
	h.contention.source.MergeReturns(now, returns)
}

// sendContention sends what waits at this host.
func (n *Node) sendContention(o arbiter.Outgoing) {
	n.sendAll(o.To, "", &messenger.Message{Contention: &o.Message})
}

// receiveContention applies what another host sent about its waiting requests.
func (n *Node) receiveContention(now time.Time, from string, m *messenger.Message) {
	if m.Contention == nil || n.opts.Arbiter == nil {
		return
	}
	returns, problem := n.opts.Arbiter.Receive(now, from, m.Contention)
	if problem != "" {
		n.emit(LogEvent{Kind: LogContentionRejected, Host: from, Reason: problem})
		return
	}
	if len(returns) > 0 {
		n.emit(MergeReturns{Returns: returns})
	}
}
