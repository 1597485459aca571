// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/assessor"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/placer"
)

// minSumInterval is the least time between two sums of a zone's reports. A sum over 89 engines has
// 2 KB; three a second are 7 KB/s to each host.
const minSumInterval = 300 * time.Millisecond

// outsideCell marks the sum over all hosts outside the receiver's cell.
const outsideCell = "*"

// zoneReport is the newest report of a host of this zone, or of another zone.
type zoneReport struct {
	at     time.Time
	report placer.Report
}

// reportTTL is how long a report counts in its zone's sum.
const reportTTL = 1500 * time.Millisecond

// reportWork sends this host's load to all hosts of a small fleet, else to those of its cell. The
// others get sums from the relays, which receive regular reports, and urgent ones with stated loads, since these
// are sent once.
func (n *Node) reportWork(now time.Time, ev WorkReported) {
	t, r := n.topology(), ev.Report
	if t.small {
		n.sendToNeighbours("", &messenger.Message{Report: &r, Renewal: n.updater.Status(now),
			Offsets: n.feedOffsets(), Era: n.era})
		return
	}
	n.broadcastRenewalStatus(now)
	if n.skipIdleReport(r) {
		return
	}
	direct := &messenger.Message{Report: &r, CoresInUse: ev.CoresInUse}
	if !ev.Urgent {
		direct.Offsets, direct.Era = n.feedOffsets(), n.era
	}
	targets := n.rampedTargets(now, t.reportTargets())
	n.sendAll(targets, "", direct)
	if t.directReports && len(targets) == len(t.active) {
		n.lastReport = now
	}
	if !t.directReports && (!ev.Urgent || len(r.Loads) > 0) && !slices.Contains(t.cell(), t.relay) {
		n.sendAll([]string{t.relay}, "", direct)
	}
	if !r.Partial {
		n.recordLocalUse(now, t, ev.CoresInUse)
	}
	if !t.directReports && t.isRelay(n.opts.Self.Host) {
		n.addToSum(now, n.opts.Self.Host, r)
		n.sendSums(now)
	}
}

// minStatusInterval is the least time between two updater statuses to all hosts of a large fleet.
// It must stay well below the 0.6 s after which they elect another lease holder.
const minStatusInterval = 150 * time.Millisecond

// broadcastRenewalStatus broadcasts the updater's status. It takes a status only to send it, since
// some of its contents are returned once.
func (n *Node) broadcastRenewalStatus(now time.Time) {
	if now.Sub(n.lastStatus) < minStatusInterval {
		return
	}
	if s := n.updater.Status(now); s != nil {
		n.lastStatus = now
		n.broadcast(&messenger.Message{Renewal: s})
	}
}

// skipIdleReport reports whether a report can be skipped: this host is on standby and its last
// report was empty too.
func (n *Node) skipIdleReport(r placer.Report) bool {
	idle := len(r.Work) == 0 && len(r.Placed) == 0 && len(r.Loads) == 0 && r.Waiting == 0
	wasIdle := n.wasIdle
	n.wasIdle = idle
	return idle && wasIdle && !n.topology().selfActive
}

// rampStep is the time in which a host that has just started adds one more host to those it reports
// to, so that it does not open all connections at once. With 23 connections opened at once after a
// restart of the fleet, half as many requests were placed between 0.4 and 1 s after the start, when
// all callers come back.
const rampStep = 60 * time.Millisecond

// rampedTargets returns the members that this host reports to. Shortly after its start these are
// the first few behind it in the list, so that hosts start with different ones.
func (n *Node) rampedTargets(now time.Time, members []string) []string {
	if n.firstReport.IsZero() {
		n.firstReport = now
	}
	limit := 1 + int(now.Sub(n.firstReport)/rampStep)
	if limit >= len(members) {
		return members
	}
	at := slices.Index(members, n.opts.Self.Host) + 1
	return append(slices.Clone(members[at:]), members[:at]...)[:limit]
}

// addToSum adds the report of a host of this zone to the next sum.
func (n *Node) addToSum(now time.Time, host string, r placer.Report) {
	n.zoneDeltas.Placed = append(n.zoneDeltas.Placed, r.Placed...)
	n.zoneDeltas.Transfers = append(n.zoneDeltas.Transfers, r.Transfers...)
	n.zoneDeltas.Loads = n.holdLoads(now, n.zoneDeltas.Loads, r.Loads)
	if r.Partial {
		return // the next full report has the work
	}
	r.Placed, r.Transfers, r.Loads = nil, nil, nil
	n.zoneReports[host] = zoneReport{at: now, report: r}
}

// sendSums sends the sum of the zone's reports to the other relays, and to each cell the sum over
// all hosts outside it.
func (n *Node) sendSums(now time.Time) {
	if now.Sub(n.lastSum) < minSumInterval {
		return
	}
	held := now.Sub(n.lastSum)
	n.lastSum = now
	zoneSum := n.zoneDeltas
	n.zoneDeltas = &placer.Report{}
	zoneSum.Loads = releaseLoads(zoneSum.Loads, held)
	deltas := placer.Report{Placed: zoneSum.Placed, Transfers: zoneSum.Transfers, Loads: zoneSum.Loads}
	addRecent(zoneSum, now, n.zoneReports, nil)
	remoteSum := n.remoteDeltas
	n.remoteDeltas = &placer.Report{}
	remoteSum.Loads = releaseLoads(remoteSum.Loads, held)
	addRecent(remoteSum, now, n.remoteReports, nil)
	t := n.topology()
	n.sendAll(t.relays, "", &messenger.Message{Report: zoneSum, Zone: n.opts.Self.AvailabilityZone,
		Offsets: n.feedOffsets(), Era: n.era})
	if len(t.cells) == 1 {
		n.sendAll(t.members, "", &messenger.Message{Report: remoteSum, Zone: outsideCell, Offsets: n.feedOffsets(), Era: n.era})
		return
	}
	for _, cell := range t.cells {
		r := &placer.Report{
			Placed:    slices.Concat(remoteSum.Placed, deltas.Placed),
			Transfers: slices.Concat(remoteSum.Transfers, deltas.Transfers),
			Loads:     newestLoads(slices.Concat(remoteSum.Loads, deltas.Loads)),
		}
		addRecent(r, now, n.zoneReports, cell)
		r.Add(*remoteSum)
		n.sendAll(cell, "", &messenger.Message{Report: r, Zone: outsideCell, Offsets: n.feedOffsets(), Era: n.era})
	}
}

// maxHeldLoads bounds the statements held for the next sum.
const maxHeldLoads = 1024

// stallBacklog is how long after a pause of this process messages may still have accumulated in it.
const stallBacklog = 200 * time.Millisecond

// holdLoads adds statements of a report that arrived now to those held for the next sum. After a pause of this
// process their ages are unknown.
func (n *Node) holdLoads(now time.Time, held, loads []assessor.Statement) []assessor.Statement {
	if n.lastSum.IsZero() {
		n.lastSum = now.Add(-minSumInterval) // a difference to the zero time would not hold the ages
	}
	if n.stalled(now) || now.Sub(n.stalledAt) < stallBacklog {
		return held
	}
	return holdLoads(held, loads, now.Sub(n.lastSum))
}

// holdLoads adds statements of a report to those held for the next sum. Their ages are held as of the last
// sum, which makes them negative.
func holdLoads(held, loads []assessor.Statement, sinceSum time.Duration) []assessor.Statement {
	if len(held)+len(loads) > maxHeldLoads { // this host may have sent no sum for long
		held = slices.DeleteFunc(held, func(s assessor.Statement) bool { return s.Age+sinceSum >= assessor.PaceTTL })
	}
	for _, s := range loads {
		if len(held) < maxHeldLoads && s.Age >= 0 && s.Age < assessor.PaceTTL {
			s.Age -= sinceSum
			held = append(held, s)
		}
	}
	return held
}

// releaseLoads returns the held statements to send, with their ages at the time of the next sum.
func releaseLoads(held []assessor.Statement, sinceSum time.Duration) []assessor.Statement {
	for i := range held {
		held[i].Age += sinceSum
	}
	return newestLoads(held)
}

// newestLoads returns the newest statement of each instance, as many as a message may carry, without those
// that are too old to count.
func newestLoads(loads []assessor.Statement) []assessor.Statement {
	slices.SortFunc(loads, assessor.Newer)
	seen := make(map[string]bool)
	loads = slices.DeleteFunc(loads, func(s assessor.Statement) bool {
		again := seen[s.Instance]
		seen[s.Instance] = true
		return again || s.Age >= assessor.PaceTTL
	})
	return loads[:min(len(loads), assessor.MaxStatements)]
}

// addRecent adds up the work of recent reports, except those of the hosts in except, and deletes old
// reports.
func addRecent(total *placer.Report, now time.Time, reports map[string]zoneReport, except []string) {
	total.Work, total.Stores = make(map[string]placer.Work), make(map[string]placer.Work)
	for name, z := range reports {
		switch {
		case now.Sub(z.at) > reportTTL:
			delete(reports, name)
		case !slices.Contains(except, name):
			total.Add(z.report)
		}
	}
}

// receiveReport passes a report to the placer: a host's own report, or the sum of a zone or of all
// hosts outside the cell.
func (n *Node) receiveReport(now time.Time, from string, m *messenger.Message) {
	r := *m.Report
	t := n.topology()
	switch m.Zone {
	case "":
		if r.Work != nil && !r.Partial {
			n.recordUse(now, from, m.CoresInUse)
		}
		if r.Work != nil && !t.small && !t.directReports && t.isRelay(n.opts.Self.Host) {
			n.addToSum(now, from, r)
		}
		// A relay also gets reports from the other cells of its zone; the placer counts each of
		// these hosts by itself.
	case outsideCell:
		if t.isRelay(n.opts.Self.Host) {
			return // two hosts act as relay; this one gets the reports itself
		}
		from = "zone/" + m.Zone
	case n.opts.Self.AvailabilityZone:
		return
	default:
		from = "zone/" + m.Zone
		n.remoteDeltas.Placed = append(n.remoteDeltas.Placed, r.Placed...)
		n.remoteDeltas.Transfers = append(n.remoteDeltas.Transfers, r.Transfers...)
		n.remoteDeltas.Loads = n.holdLoads(now, n.remoteDeltas.Loads, r.Loads)
		n.remoteReports[m.Zone] = zoneReport{at: now, report: placer.Report{Work: r.Work, Stores: r.Stores, Links: r.Links}}
	}
	n.emit(ApplyReport{From: from, Report: r})
}
