// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/leaser"
	"amaranthgate.example/amaranthgate/tracker"
)

// Names of leases.
const (
	leaseCheckpoint = "Checkpoint" // leaseCheckpoint writes the checkpoints of the common streams.
	leaseLimits     = "Limits"     // leaseLimits divides the workspaces' limits.
	leaseRollout    = "Rollout"    // leaseRollout puts loaded weight versions into force.
)

// duties are the names of all leases that somebody must hold.
var duties = allDuties()

func allDuties() []string {
	names := []string{leaseCheckpoint, leaseLimits, leaseRollout}
	for r := range claimer.Ranges {
		names = append(names, claimer.LeaseName(r))
	}
	for g := range upstreamGroups {
		names = append(names, groupLease(g))
	}
	return names
}

func (n *Node) tickLeases(now time.Time) {
	s := n.streams[leaser.StreamName]
	if n.leaving || !n.Ready() {
		return
	}
	if n.readyAt.IsZero() {
		n.readyAt = now
	}
	if now.Sub(n.readyAt) < settleIn {
		return
	}
	live := n.hosts.Live()
	var wanted []leaser.Wanted
	for _, name := range slices.Concat(duties, n.slotsWanted(now)) {
		if place := tracker.Place(live, n.opts.Self.Host, name); place >= 0 {
			wanted = append(wanted, leaser.Wanted{Name: name, Rank: place})
		}
	}
	s.queue.Add(n.holder.Tick(now, wanted)...)
	s.queue.Add(n.holder.Yield(append(n.misplaced(now, live), n.slotsDone(now)...))...)
}

// Times of the spread of duties.
const (
	settleIn   = time.Second      // settleIn is how long a host that became ready gets to know the others before it acquires.
	yieldAfter = 20 * time.Second // yieldAfter is how long a better candidate must be live before a lease is handed over.
)

// misplaced returns the leases held here for which another host has been the
// better candidate for a while. Without this the first host to start would keep
// every duty.
func (n *Node) misplaced(now time.Time, live []string) []string {
	var out []string
	for _, name := range n.holder.Held() {
		if isSlot(name) {
			continue // given up when the load is done
		}
		if tracker.Place(live, n.opts.Self.Host, name) <= 0 {
			delete(n.better, name)
			continue
		}
		since, ok := n.better[name]
		if !ok {
			n.better[name] = now
			continue
		}
		if now.Sub(since) >= yieldAfter {
			delete(n.better, name)
			out = append(out, name)
		}
	}
	return out
}

// holderOf returns the host that holds a lease according to the log, or "".
func (n *Node) holderOf(lease string) string {
	writer := n.leases.Lookup(lease).Holder
	for i := range len(writer) {
		if writer[i] == '#' {
			return writer[:i]
		}
	}
	return ""
}
