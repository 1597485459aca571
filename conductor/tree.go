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

// meshHosts is the number of active hosts up to which each tells all others directly
// what it has under way. Beyond, they do so in cells, and hear sums of the rest.
const meshHosts = 48

// tree says which hosts serve callers, and how this host reaches all others when they
// are many: through one relay in each availability zone, the first of its active hosts.
// Bytes between availability zones that all hosts are to know flow between relays only.
type tree struct {
	small   bool                // small tells that everyone serves and is a neighbour.
	serving activator.Selection // serving is which hosts serve callers.
	active  []string            // active are those of all zones.
	ours    bool                // ours tells that this host is one of them.
	mesh    bool                // mesh tells that the active hosts tell each other directly.
	relay   string
	relays  []string   // relays are those of the other zones.
	members []string   // members are the live hosts of this zone.
	cells   [][]string // cells are the active ones of this zone divided, where there is no mesh.
	own     int        // own is the place of this host's cell among them.
	standby int        // standby is the place of this host among those that stand by.
}

func (n *Node) paths() *tree {
	if n.tree == nil {
		n.tree = n.findPaths()
	}
	return n.tree
}

func (n *Node) findPaths() *tree {
	self, zone := n.opts.Self.Host, n.opts.Self.AvailabilityZone
	t := &tree{serving: activator.Select(n.hosts.All(), n.zoneUses())}
	t.small = t.serving.All
	t.active = t.serving.Hosts()
	t.ours = slices.Contains(t.active, self)
	t.mesh = len(t.active) <= meshHosts
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
	if !t.ours {
		t.standby = max(0, tracker.Place(n.hosts.Live(), self, "standby"))
	}
	if t.mesh {
		n.hosts.SetActive(n.now, t.serving.Active)
		n.do(PublishCell{Cells: 1, Direct: true})
		return t
	}
	n.hosts.SetActive(n.now, nil)
	t.cells = cellsOf(t.serving.Zones[zone])
	t.own = max(0, slices.IndexFunc(t.cells, func(c []string) bool { return slices.Contains(c, self) }))
	n.do(PublishCell{Own: t.own, Cells: max(1, len(t.cells))})
	return t
}

// direct returns the hosts that this one tells directly what it has under way.
func (t *tree) direct() []string {
	if t.mesh {
		return t.active
	}
	return t.cell()
}

// cell returns the hosts that this one tells directly; nil if it knows none.
func (t *tree) cell() []string {
	if len(t.cells) == 0 {
		return nil
	}
	return t.cells[t.own]
}

func (t *tree) relaying(host string) bool { return t.relay == host }

// tellActive sends a message to the hosts that serve callers.
func (n *Node) tellActive(m *messenger.Message) {
	if t := n.paths(); !t.small && t.mesh {
		n.sendAll(t.active, "", m)
		return
	}
	n.broadcast(m)
}

// broadcast sends a message to all hosts.
func (n *Node) broadcast(m *messenger.Message) {
	t := n.paths()
	if t.relaying(n.opts.Self.Host) {
		n.lastPaged = n.now
	}
	switch {
	case t.small:
		n.spread("", m)
	case t.relaying(n.opts.Self.Host):
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

// relay passes a message on for another host.
func (n *Node) relay(from string, m *messenger.Message) {
	if m.Relay == messenger.RelayNone {
		return
	}
	t := n.paths()
	if !t.relaying(n.opts.Self.Host) {
		return // the sender sees the hosts otherwise; what it said is said again soon
	}
	n.lastPaged = n.now
	n.sendAll(t.members, from, withRelay(m, messenger.RelayNone))
	if m.Relay == messenger.RelayAll {
		n.sendAll(t.relays, from, withRelay(m, messenger.RelayZone))
	}
}
