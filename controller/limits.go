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

// usageRead asks the divider for shares that fit the demand here.
func (n *Node) usageRead(now time.Time, ev UsageRead) {
	dem := n.shares.Demand(now, ev.Usage, ev.Interval)
	if len(dem.Workspaces) == 0 {
		return
	}
	switch to := n.holderOf(leaseLimits); to {
	case "":
	case n.opts.Self.Host:
		n.demanded(now, to, dem)
	default:
		n.do(Send{To: to, Message: &messenger.Message{Demand: &dem}})
	}
}

// demanded answers another host's demand, if this one holds the lease.
func (n *Node) demanded(now time.Time, from string, dem limiter.Demand) {
	if n.tickDivider(now); n.divider == nil {
		return
	}
	g := n.divider.Grant(now, from, dem)
	if from == n.opts.Self.Host {
		n.granted(now, g)
		return
	}
	n.do(Send{To: from, Message: &messenger.Message{Grants: &g}})
}

func (n *Node) granted(now time.Time, g limiter.Grants) {
	for _, w := range n.shares.Take(g) {
		n.setLimit(now, w)
	}
}

// tickDivider begins to divide when the lease is taken, not when the first
// demand comes: by then the grants of the host before it may have ended.
func (n *Node) tickDivider(now time.Time) {
	epoch, ok := n.holder.Valid(now, leaseLimits)
	switch {
	case !ok:
		n.divider = nil
	case n.divider == nil || n.divider.Epoch() != epoch:
		n.divider = limiter.NewDivider(now, epoch, grantLife)
	}
}

func (n *Node) tickLimits(now time.Time) {
	n.tickDivider(now)
	for _, w := range n.shares.Expired(now) {
		n.setLimit(now, w)
	}
}

// setLimits sets the limits of all workspaces at this host.
func (n *Node) setLimits(now time.Time) {
	for i := range n.config.Document().Workspaces {
		n.limitOf(now, &n.config.Document().Workspaces[i])
	}
}

func (n *Node) setLimit(now time.Time, workspace string) {
	doc := n.config.Document()
	if doc == nil {
		return
	}
	for i := range doc.Workspaces {
		if doc.Workspaces[i].Name == workspace {
			n.limitOf(now, &doc.Workspaces[i])
			return
		}
	}
}

func (n *Node) limitOf(now time.Time, w *configurer.Workspace) {
	whole := limiter.Limit{Rate: w.RequestsPerSecond, Burst: w.Burst, Concurrency: float64(w.Concurrency)}
	share := n.shares.Share(now, w.Name, n.hostCount())
	n.do(SetLimit{Workspace: w.Name, Limit: limiter.Local(whole, share)})
}

// hostCount returns the number of hosts over which the floor is split: all
// that may be serving, seen or not.
func (n *Node) hostCount() int {
	count := 0
	for _, r := range n.hosts.All() {
		if r.State != tracker.HostGone {
			count++
		}
	}
	return count
}
