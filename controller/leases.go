// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/leaser"
	"amaranthgate.example/amaranthgate/tracker"
)

// Names of leases.
const (
	leaseCheckpoint = "Checkpoint" // leaseCheckpoint writes the checkpoints of the common streams.
	leaseLimits     = "Limits"     // leaseLimits divides the workspaces' limits.
)

// duties returns the names of all leases that somebody must hold.
func (n *Node) duties() []string {
	names := []string{leaseCheckpoint, leaseLimits}
	for r := range claimer.Ranges {
		names = append(names, claimer.LeaseName(r))
	}
	return names
}

func (n *Node) tickLeases(now time.Time) {
	s := n.streams[leaser.StreamName]
	if n.leaving || !n.Ready() {
		return
	}
	live := n.hosts.Live()
	var wanted []leaser.Wanted
	for _, name := range n.duties() {
		if place := tracker.Place(live, n.opts.Self.Host, name); place >= 0 {
			wanted = append(wanted, leaser.Wanted{Name: name, Rank: place})
		}
	}
	s.queue.Add(n.holder.Tick(now, wanted)...)
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
