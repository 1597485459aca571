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
	leaseCheckpoint = "Checkpoint" // held to write checkpoints of the common streams
	leaseLimits     = "Limits"     // held to divide the workspaces' limits
	leaseRollout    = "Rollout"    // held to promote loaded weight versions
)

// roleLeases are the names of all leases that some host must hold.
var roleLeases = roleLeaseNames()

func roleLeaseNames() []string {
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
	if now.Sub(n.readyAt) < joinDelay {
		return
	}
	live := n.hosts.Live()
	var wanted []leaser.Wanted
	for _, name := range slices.Concat(roleLeases, n.neededSlots(now)) {
		if place := tracker.RankIndex(live, n.opts.Self.Host, name); place >= 0 {
			wanted = append(wanted, leaser.Wanted{Name: name, Rank: place})
		}
	}
	s.queue.Add(n.holder.Tick(now, wanted)...)
	s.queue.Add(n.holder.Yield(append(n.outrankedLeases(now, live), n.unneededSlots(now)...))...)
}

// Times of the distribution of leases over hosts.
const (
	joinDelay  = time.Second      // from being ready to acquiring leases, to discover other hosts
	yieldDelay = 20 * time.Second // how long another host must rank higher before a lease is yielded
)

// outrankedLeases returns the leases held here for which another host has ranked
// higher for yieldDelay. Without this the first host to start would keep all
// leases.
func (n *Node) outrankedLeases(now time.Time, live []string) []string {
	var out []string
	for _, name := range n.holder.Held() {
		if isSlot(name) {
			continue // released when the load is done
		}
		if tracker.RankIndex(live, n.opts.Self.Host, name) <= 0 {
			delete(n.outrankedSince, name)
			continue
		}
		since, ok := n.outrankedSince[name]
		if !ok {
			n.outrankedSince[name] = now
			continue
		}
		if now.Sub(since) >= yieldDelay {
			delete(n.outrankedSince, name)
			out = append(out, name)
		}
	}
	return out
}

// holderOf returns the host that holds a lease according to the log, or "" if there
// is none.
func (n *Node) holderOf(lease string) string {
	writer := n.leases.Lookup(lease).Holder
	for i := range len(writer) {
		if writer[i] == '#' {
			return writer[:i]
		}
	}
	return ""
}
