// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
)

// sumInterval is the least time between two sums of a zone's reports. A sum over
// 89 engines has 2 KB; three a second are 7 KB/s to each host.
const sumInterval = 300 * time.Millisecond

// outsideCell marks the sum over all hosts but those of the receiver's cell.
const outsideCell = "*"

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
	if t.small {
		n.spread("", &messenger.Message{Report: &r, Renewal: n.renewer.Status(now), Offsets: n.offsets()})
		return
	}
	n.tellRenewal(now)
	if n.silent(r) {
		return
	}
	direct := &messenger.Message{Report: &r, Use: ev.Use}
	if !ev.Urgent {
		direct.Offsets = n.offsets()
	}
	reached := n.reached(now, t.direct())
	n.sendAll(reached, "", direct)
	if t.mesh && len(reached) == len(t.active) {
		n.lastTold = now
	}
	if !t.mesh && !ev.Urgent && !slices.Contains(t.cell(), t.relay) {
		n.sendAll([]string{t.relay}, "", direct)
	}
	if !r.Partial {
		n.measure(now, t, ev.Use)
	}
	if !t.mesh && t.relaying(n.opts.Self.Host) {
		n.gather(now, n.opts.Self.Host, r)
		n.sum(now)
	}
}

// statusPause is the least time between two words about orders to all hosts of a large
// fleet. After 0.6 s without one they look for a successor of the host that gives them.
const statusPause = 150 * time.Millisecond

// tellRenewal tells all hosts what there is to say of orders. A status is taken from the
// renewer only to be sent: it says some things once.
func (n *Node) tellRenewal(now time.Time) {
	if now.Sub(n.lastStatus) < statusPause {
		return
	}
	if s := n.renewer.Status(now); s != nil {
		n.lastStatus = now
		n.broadcast(&messenger.Message{Renewal: s})
	}
}

// silent tells that a report need not be sent: this host stands by, and has said that
// it has no work.
func (n *Node) silent(r placer.Report) bool {
	quiet := len(r.Work) == 0 && len(r.Placed) == 0 && r.Waiting == 0
	was := n.quiet
	n.quiet = quiet
	return quiet && was && !n.paths().ours
}

// reachStep is the time in which a host that has just started takes up one more host
// of its cell. With 23 connections opened at once after a loss of all hosts, half as
// many requests were placed between 0.4 and 1 s after the start, when all callers
// come back.
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
	if r.Partial {
		return // the next whole report has the work
	}
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
		if r.Work != nil && !r.Partial {
			n.used(now, from, m.Use)
		}
		if r.Work != nil && !t.small && !t.mesh && t.relaying(n.opts.Self.Host) {
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
