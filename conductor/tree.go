// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
)

// fullMesh is the number of hosts up to which everyone speaks with everyone.
// With 70 hosts a full mesh would be 4,830 connections, and reports ten times a
// second 48,000 messages a second.
const fullMesh = 16

// sumInterval is the least time between two sums of a zone's reports. A sum over
// 89 engines has 2 KB; three a second are 7 KB/s to each host.
const sumInterval = 300 * time.Millisecond

// outsideCell marks the sum over all hosts but those of the receiver's cell.
const outsideCell = "*"

// tree says how this host reaches all others when they are many: through one
// relay in each availability zone, the one with the widest link there. Bytes
// between availability zones flow between relays only.
type tree struct {
	small   bool // small tells that everyone is a neighbour.
	relay   string
	relays  []string // relays are those of the other zones.
	members []string // members are the live hosts of this zone.
	cells   [][]string
	own     int // own is the place of this host's cell among them.
}

// cellHosts is the largest number of hosts that tell each other directly what they
// have under way. With 24 a host sends and gets 160 reports a second.
const cellHosts = 32

// cellsOf divides the hosts of a zone into cells of about the same size. Hosts that
// see others as live than their neighbours do may put some into another cell; these
// hear of the neighbours' work by sums meanwhile.
func cellsOf(members []string) [][]string {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Compare(tracker.Rank(a, "cell"), tracker.Rank(b, "cell"))
	})
	n := (len(sorted) + cellHosts - 1) / cellHosts
	cells := make([][]string, n)
	for i := range cells {
		cells[i] = sorted[i*len(sorted)/n : (i+1)*len(sorted)/n]
	}
	return cells
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

// zoneReport is the newest report of a host of this zone, or of another zone.
type zoneReport struct {
	at     time.Time
	report placer.Report
}

// reportLife is how long a report counts in its zone's sum.
const reportLife = 1500 * time.Millisecond

// reportWork tells the others what this host has under way: all of them while they
// are few, else those of its cell. The others hear sums from relays, which are told
// in turn only.
func (n *Node) reportWork(now time.Time, ev WorkReported) {
	t, r := n.paths(), ev.Report
	m := &messenger.Message{Report: &r, Renewal: n.renewer.Status(now), Offsets: n.offsets()}
	if t.small {
		n.spread("", m)
		return
	}
	direct := &messenger.Message{Report: &r, Offsets: m.Offsets}
	n.sendAll(n.reached(now, t.cell()), "", direct)
	if !ev.Urgent && !slices.Contains(t.cell(), t.relay) {
		n.sendAll([]string{t.relay}, "", direct)
	}
	if t.relaying(n.opts.Self.Host) {
		n.gather(now, n.opts.Self.Host, r)
		n.sum(now)
	}
	if m.Renewal != nil {
		n.broadcast(&messenger.Message{Renewal: m.Renewal})
	}
}

// reachStep is the time in which a host that has just started takes up one more host
// of its zone. After a loss of all hosts, 23 connections at once took half of the
// processor of a host of 0.2 cores in the first second, when all callers come back.
const reachStep = 60 * time.Millisecond

// reached returns the members that this host reports to: soon after its start only
// the first few behind it in the list, which are others for each host.
func (n *Node) reached(now time.Time, members []string) []string {
	if n.began.IsZero() {
		n.began = now
	}
	most := 1 + int(now.Sub(n.began)/reachStep)
	if most >= len(members) {
		return members
	}
	at := slices.Index(members, n.opts.Self.Host) + 1
	return append(slices.Clone(members[at:]), members[:at]...)[:most]
}

// gather takes the report of a host of this zone into the next sum.
func (n *Node) gather(now time.Time, host string, r placer.Report) {
	n.sums.Placed = append(n.sums.Placed, r.Placed...)
	n.sums.Transfers = append(n.sums.Transfers, r.Transfers...)
	r.Placed, r.Transfers = nil, nil
	n.zone[host] = zoneReport{at: now, report: r}
}

// sum sends the sum of the zone's reports to the other relays, and to each cell the
// sum over all hosts that are not in it.
func (n *Node) sum(now time.Time) {
	if now.Sub(n.lastSum) < sumInterval {
		return
	}
	n.lastSum = now
	own := n.sums
	n.sums = &placer.Report{}
	told := placer.Report{Placed: own.Placed, Transfers: own.Transfers} // what the zone's hosts told once
	addRecent(own, now, n.zone, nil)
	others := n.others
	n.others = &placer.Report{}
	addRecent(others, now, n.zones, nil)
	t := n.paths()
	n.sendAll(t.relays, "", &messenger.Message{Report: own, Zone: n.opts.Self.AvailabilityZone, Offsets: n.offsets()})
	if len(t.cells) == 1 {
		n.sendAll(t.members, "", &messenger.Message{Report: others, Zone: outsideCell, Offsets: n.offsets()})
		return
	}
	for _, cell := range t.cells {
		r := &placer.Report{
			Placed:    slices.Concat(others.Placed, told.Placed),
			Transfers: slices.Concat(others.Transfers, told.Transfers),
		}
		addRecent(r, now, n.zone, cell)
		r.Add(*others)
		n.sendAll(cell, "", &messenger.Message{Report: r, Zone: outsideCell, Offsets: n.offsets()})
	}
}

// addRecent adds up the work of reports but those of some hosts, and forgets old ones.
func addRecent(total *placer.Report, now time.Time, reports map[string]zoneReport, but []string) {
	total.Work, total.Stores = make(map[string]placer.Work), make(map[string]placer.Work)
	for name, z := range reports {
		switch {
		case now.Sub(z.at) > reportLife:
			delete(reports, name)
		case !slices.Contains(but, name):
			total.Add(z.report)
		}
	}
}

// takeReport hands a report to placement: of one host, if it is of this cell or if
// hosts are few, else of a zone or of all hosts outside of the cell.
func (n *Node) takeReport(now time.Time, from string, m *messenger.Message) {
	r := *m.Report
	t := n.paths()
	switch m.Zone {
	case "":
		if !t.small && t.relaying(n.opts.Self.Host) && r.Work != nil {
			n.gather(now, from, r)
		}
		// A relay is told by the other cells of its zone as well; to placement each of
		// these hosts counts for itself.
	case outsideCell:
		if t.relaying(n.opts.Self.Host) {
			return // two hosts believe to be the relay; this one hears hosts and zones itself
		}
		from = "zone/" + m.Zone
	case n.opts.Self.AvailabilityZone:
		return
	default:
		from = "zone/" + m.Zone
		n.others.Placed = append(n.others.Placed, r.Placed...)
		n.others.Transfers = append(n.others.Transfers, r.Transfers...)
		n.zones[m.Zone] = zoneReport{at: now, report: placer.Report{Work: r.Work, Stores: r.Stores}}
	}
	n.do(TakeReport{From: from, Report: r})
}
