// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/tracker"
)

// settleTime is how long after its start a host does not count what it uses: it is busy
// with taking up all others.
const settleTime = 3 * time.Second

// hostUse is what a host has told of the processor time that it uses.
type hostUse struct {
	at    time.Time
	cores float64
}

// measure notes what this host uses, and sees to it that one host tells what its zone
// uses.
func (n *Node) measure(now time.Time, t *tree, cores float64) {
	if !t.relaying(n.opts.Self.Host) {
		n.handUseOver(t)
		return
	}
	n.used(now, n.opts.Self.Host, cores)
	n.tellUse(now)
}

// used notes what a host of this availability zone uses.
func (n *Node) used(now time.Time, host string, cores float64) {
	if r, ok := n.hosts.Lookup(host); ok && r.AvailabilityZone == n.opts.Self.AvailabilityZone {
		n.uses[host] = hostUse{at: now, cores: cores}
	}
}

// tellUse tells all hosts what this availability zone uses, when that has changed.
func (n *Node) tellUse(now time.Time) {
	if now.Sub(n.first) < settleTime {
		return
	}
	sum := 0.0
	for host, u := range n.uses {
		if now.Sub(u.at) > reportLife {
			delete(n.uses, host)
			continue
		}
		sum += u.cores
	}
	if told, changed := n.gauge.Update(now, sum); changed {
		n.sayUse(told)
	}
}

// handUseOver stops telling what the zone uses once the host that is to do so does.
func (n *Node) handUseOver(t *tree) {
	first, ok := n.hosts.Lookup(t.relay)
	if ok && first.ZoneUse > 0 && n.hosts.Self().ZoneUse > 0 {
		n.gauge = activator.Gauge{}
		n.sayUse(0)
	}
}

func (n *Node) sayUse(cores float64) {
	self, changed := n.hosts.Say(func(r *tracker.HostRecord) { r.ZoneUse = cores })
	if changed {
		n.noteHosts([]tracker.HostRecord{self})
		n.spreadHosts("", []tracker.HostRecord{self})
	}
}

// zoneUses returns what the hosts of each availability zone use. Hosts that have told it
// for a zone earlier count no less than the one that does so now, until that one speaks.
func (n *Node) zoneUses() map[string]float64 {
	out := make(map[string]float64)
	for _, r := range n.hosts.All() {
		if r.State == tracker.HostLive {
			out[r.AvailabilityZone] = max(out[r.AvailabilityZone], r.ZoneUse)
		}
	}
	return out
}
