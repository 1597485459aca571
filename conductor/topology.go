// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"maps"
	"slices"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
)

// maxMeshHosts is the number of active hosts up to which each reports its load to all others
// directly. Beyond it they report within cells and receive sums of the rest.
const maxMeshHosts = 48

// topology says which hosts serve callers and how messages reach all others. A large fleet has one
// relay in each availability zone, its first active host; broadcasts cross zones between relays
// only.
type topology struct {
	small         bool                // small reports whether all hosts serve and are neighbours.
	serving       activator.Selection // serving is the selection of hosts that serve callers.
	active        []string            // active are the serving hosts of all zones.
	selfActive    bool                // selfActive reports whether this host is one of them.
	directReports bool                // directReports is whether all active hosts report to each other.
	relay         string
	relays        []string   // relays are those of the other zones.
	members       []string   // members are the live hosts of this zone.
	cells         [][]string // cells divide this zone's active hosts; nil with directReports.
	ownCell       int        // ownCell is the index of this host's cell.
	standbyRank   int        // standbyRank is this host's rank among the standby hosts.
}

func (n *Node) topology() *topology {
	if n.topo == nil {
		n.topo = n.computeTopology()
	}
	return n.topo
}

func (n *Node) computeTopology() *topology {
	self, zone := n.opts.Self.Host, n.opts.Self.AvailabilityZone
	t := &topology{serving: activator.Select(n.hosts.All(), n.zoneUse())}
	t.small = t.serving.All
	t.active = t.serving.Hosts()
	t.selfActive = slices.Contains(t.active, self)
	t.directReports = len(t.active) <= maxMeshHosts
	for _, z := range slices.Sorted(maps.Keys(t.serving.Zones)) {
		first := t.serving.Zones[z][0]
		if z == zone {
			t.relay = first
			continue
		}
		t.relays = append(t.relays, first)
	}
	for _, r := range n.hosts.All() {
		if r.State == tracker.HostLive && r.AvailabilityZone == zone {
			t.members = append(t.members, r.Host)
		}
	}
	if !t.selfActive {
		t.standbyRank = max(0, tracker.RankIndex(n.hosts.Live(), self, "standby"))
	}
	if t.directReports {
		n.hosts.SetActive(n.now, t.serving.Active)
		n.emit(PublishCell{Cells: 1, Direct: true})
		return t
	}
	n.hosts.SetActive(n.now, nil)
	t.cells = divideCells(t.serving.Zones[zone])
	t.ownCell = max(0, slices.IndexFunc(t.cells, func(c []string) bool { return slices.Contains(c, self) }))
	n.emit(PublishCell{Own: t.ownCell, Cells: max(1, len(t.cells))})
	return t
}

// reportTargets returns the hosts that this one reports its load to directly.
func (t *topology) reportTargets() []string {
	if t.directReports {
		return t.active
	}
	return t.cell()
}

// cell returns the hosts of this one's cell; nil if there are no cells.
func (t *topology) cell() []string {
	if len(t.cells) == 0 {
		return nil
	}
	return t.cells[t.ownCell]
}

func (t *topology) isRelay(host string) bool { return t.relay == host }

// sendToActive sends a message to the hosts that serve callers.
func (n *Node) sendToActive(m *messenger.Message) {
	if t := n.topology(); !t.small && t.directReports {
		n.sendAll(t.active, "", m)
		return
	}
	n.broadcast(m)
}

// broadcast sends a message to all hosts.
func (n *Node) broadcast(m *messenger.Message) {
	t := n.topology()
	if t.isRelay(n.opts.Self.Host) {
		n.lastRelayed = n.now
	}
	switch {
	case t.small:
		n.sendToNeighbours("", m)
	case t.isRelay(n.opts.Self.Host):
		n.sendAll(t.members, "", m)
		n.sendAll(t.relays, "", withRelay(m, messenger.RelayZone))
	case t.relay != "":
		n.sendAll([]string{t.relay}, "", withRelay(m, messenger.RelayAll))
	}
}

func withRelay(m *messenger.Message, r messenger.Relay) *messenger.Message {
	next := *m
	next.Relay = r
	return &next
}

// relay forwards a message for another host.
func (n *Node) relay(from string, m *messenger.Message) {
	if m.Relay == messenger.RelayNone {
		return
	}
	t := n.topology()
	if !t.isRelay(n.opts.Self.Host) {
		return // the sender's view differs; it repeats its message soon
	}
	n.lastRelayed = n.now
	n.sendAll(t.members, from, withRelay(m, messenger.RelayNone))
	if m.Relay == messenger.RelayAll {
		n.sendAll(t.relays, from, withRelay(m, messenger.RelayZone))
	}
}
