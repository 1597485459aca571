// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/limiter"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
)

// usageRead sends the demand at this host to the divider.
func (n *Node) usageRead(now time.Time, ev UsageRead) {
	demand := n.shares.Demand(now, ev.Usage, ev.Interval)
	if len(demand.Workspaces) == 0 {
		return
	}
	switch to := n.holderOf(leaseLimits); to {
	case "":
	case n.opts.Self.Host:
		n.handleDemand(now, to, demand)
	default:
		n.emit(Send{To: to, Message: &messenger.Message{Demand: &demand}})
	}
}

// handleDemand grants shares for a host's demand if this host is the divider.
func (n *Node) handleDemand(now time.Time, from string, demand limiter.Demand) {
	if n.tickDivider(now); n.divider == nil {
		return
	}
	g := n.divider.Grant(now, from, demand)
	if from == n.opts.Self.Host {
		n.applyGrants(now, g)
		return
	}
	n.emit(Send{To: from, Message: &messenger.Message{Grants: &g}})
}

func (n *Node) applyGrants(now time.Time, g limiter.Grants) {
	for _, w := range n.shares.Apply(g) {
		n.setLimit(now, w)
	}
}

// tickDivider creates the divider when the lease is acquired. Its start bounds when
// grants of the previous divider have expired, so it must not wait for a demand.
func (n *Node) tickDivider(now time.Time) {
	epoch, ok := n.holder.Valid(now, leaseLimits)
	switch {
	case !ok:
		n.divider = nil
	case n.divider == nil || n.divider.Epoch() != epoch:
		n.divider = limiter.NewDivider(now, epoch, grantTTL)
	}
}

func (n *Node) tickLimits(now time.Time) {
	n.tickDivider(now)
	for _, w := range n.shares.Expired(now) {
		n.setLimit(now, w)
	}
}

// setLimits updates the limits of all workspaces at this host.
func (n *Node) setLimits(now time.Time) {
	for i := range n.config.Document().Workspaces {
		n.applyLimit(now, &n.config.Document().Workspaces[i])
	}
}

func (n *Node) setLimit(now time.Time, workspace string) {
	doc := n.config.Document()
	if doc == nil {
		return
	}
	for i := range doc.Workspaces {
		if doc.Workspaces[i].Name == workspace {
			n.applyLimit(now, &doc.Workspaces[i])
			return
		}
	}
}

func (n *Node) applyLimit(now time.Time, w *configurer.Workspace) {
	limit := limiter.Limit{Rate: w.RequestsPerSecond, Burst: w.Burst, Concurrency: float64(w.Concurrency)}
	share := n.shares.Share(now, w.Name, n.hostCount())
	n.emit(SetLimit{Workspace: w.Name, Limit: limiter.Local(limit, share)})
}

// hostCount returns the number of hosts over which the minimum share is split: all
// that may be serving, even if suspected.
func (n *Node) hostCount() int {
	count := 0
	for _, r := range n.hosts.All() {
		if r.State != tracker.HostGone {
			count++
		}
	}
	return count
}
