// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/replayer"
)

// claimRange is the state of a range of claims that this host owns.
type claimRange struct {
	index int
	table *claimer.Table
	owner *claimer.Owner
}

// Defaults until a configuration is in force.
const (
	defaultClaimWindow  = time.Hour
	defaultClaimTimeout = 30 * time.Second
)

func (n *Node) claimPolicy() claimer.Policy {
	if d := n.config.Document(); d != nil {
		return claimer.Policy{Window: d.Claims.Window.Std(), Timeout: d.Claims.Timeout.Std()}
	}
	return claimer.Policy{Window: defaultClaimWindow, Timeout: defaultClaimTimeout}
}

// tickClaims starts and stops owning ranges as their leases are acquired and lost.
func (n *Node) tickClaims(now time.Time) {
	for i := range n.ranges {
		n.tickRange(now, i)
	}
	n.applyClaimantEffects(now, n.claimant.Tick(now))
}

func (n *Node) tickRange(now time.Time, i int) {
	epoch := n.holder.Epoch(claimer.LeaseName(i))
	c := n.ranges[i]
	name := claimer.StreamName(i)
	switch {
	case c == nil && epoch == 0:
		return
	case c == nil:
		c = &claimRange{index: i, table: claimer.NewTable()}
		c.owner = claimer.NewOwner(n.writer, c.table, n.claimPolicy())
		n.ranges[i] = c
		n.follow(now, name, c.table, n.opts.GroupCommit, func(now time.Time, rec replayer.Applied) {
			n.applyEffects(now, c, c.owner.Applied(now, rec))
		})
		return
	case epoch == 0:
		n.applyEffects(now, c, c.owner.SetEpoch(0))
		delete(n.streams, name)
		n.ranges[i] = nil
		n.emit(Unfollow{Stream: name})
		return
	}
	s := n.streams[name]
	if !s.fold.Ready() {
		return
	}
	n.applyEffects(now, c, c.owner.SetEpoch(epoch))
	n.applyEffects(now, c, c.owner.Tick(now, s.fold.LastTime()))
}

// applyEffects appends and sends what an owner returned.
func (n *Node) applyEffects(now time.Time, c *claimRange, fx claimer.Effects) {
	if s := n.streams[claimer.StreamName(c.index)]; s != nil {
		s.queue.Add(fx.Append...)
	}
	byHost := make(map[string][]claimer.Reply)
	for _, p := range fx.Send {
		if p.To == n.opts.Self.Host {
			n.applyClaimantEffects(now, n.claimant.HandleReply(now, p.Reply))
			continue
		}
		byHost[p.To] = append(byHost[p.To], p.Reply)
	}
	for host, replies := range byHost {
		n.emit(Send{To: host, Message: &messenger.Message{Replies: replies}})
	}
}

// applyClaimantEffects settles claims and sends messages as the claimant returned.
func (n *Node) applyClaimantEffects(now time.Time, s claimer.ClaimantEffects) {
	for _, settled := range s.Settled {
		n.emit(Settle{Settled: settled})
	}
	byHost := make(map[string][]claimer.Message)
	for _, m := range s.Send {
		switch owner := n.holderOf(claimer.LeaseName(m.Range)); owner {
		case "":
		case n.opts.Self.Host:
			n.claimMessage(now, owner, m)
		default:
			byHost[owner] = append(byHost[owner], m)
		}
	}
	for host, msgs := range byHost {
		n.emit(Send{To: host, Message: &messenger.Message{Claims: msgs}})
	}
}

// claimMessage handles a claimant's message as the owner of its range.
func (n *Node) claimMessage(now time.Time, from string, m claimer.Message) {
	if m.Range < 0 || m.Range >= claimer.Ranges || n.ranges[m.Range] == nil {
		return // the claimant will retry
	}
	c := n.ranges[m.Range]
	if m.Request != nil && m.Request.Key.Range() == m.Range {
		n.applyEffects(now, c, c.owner.HandleRequest(now, from, *m.Request))
	}
	if m.Outcome != nil && m.Outcome.Key.Range() == m.Range {
		n.applyEffects(now, c, c.owner.HandleOutcome(from, *m.Outcome))
	}
}
