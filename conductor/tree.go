// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"cmp"
	"maps"
	"slices"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
)

// fullMesh is the number of hosts up to which everyone speaks with everyone.
// With 70 hosts a full mesh would be 4,830 connections, and reports ten times a
// second 48,000 messages a second.
const fullMesh = 16

// tree says how this host reaches all others when they are many: through one
// relay in each availability zone, the one with the widest link there. Bytes
// between availability zones flow between relays only.
type tree struct {
	small   bool // small tells that everyone is a neighbour.
	relay   string
	relays  []string   // relays are those of the other zones.
	members []string   // members are the live hosts of this zone.
	cells   [][]string // cells are the members divided.
	own     int        // own is the place of this host's cell among them.
}

func (n *Node) paths() *tree {
	if n.tree != nil {
		return n.tree
	}
	byZone := make(map[string][]tracker.HostRecord)
	live := 0
	for _, r := range n.hosts.All() {
		if r.State == tracker.HostLive {
			byZone[r.AvailabilityZone] = append(byZone[r.AvailabilityZone], r)
			live++
		}
	}
	t := &tree{small: live < fullMesh}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		first := slices.MaxFunc(byZone[zone], widest)
		if zone != n.opts.Self.AvailabilityZone {
			t.relays = append(t.relays, first.Host)
			continue
		}
		t.relay = first.Host
		for _, r := range byZone[zone] {
			t.members = append(t.members, r.Host)
		}
	}
	t.cells = cellsOf(t.members)
	t.own = max(0, slices.IndexFunc(t.cells, func(c []string) bool { return slices.Contains(c, n.opts.Self.Host) }))
	n.tree = t
	n.do(PublishCell{Own: t.own, Cells: max(1, len(t.cells))})
	return t
}

// cell returns the hosts that this one tells directly; nil if it knows none.
func (t *tree) cell() []string {
	if len(t.cells) == 0 {
		return nil
	}
	return t.cells[t.own]
}

// widest orders hosts by their links, and alike ones by rank.
func widest(a, b tracker.HostRecord) int {
	return cmp.Or(cmp.Compare(a.LinkMbps, b.LinkMbps), cmp.Compare(tracker.Rank(a.Host, "relay"), tracker.Rank(b.Host, "relay")))
}

func (t *tree) relaying(host string) bool { return t.relay == host }

// broadcast sends a message to all hosts.
func (n *Node) broadcast(m *messenger.Message) {
	t := n.paths()
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
	n.sendAll(t.members, from, withRelay(m, messenger.RelayNone))
	if m.Relay == messenger.RelayAll {
		n.sendAll(t.relays, from, withRelay(m, messenger.RelayZone))
	}
}
