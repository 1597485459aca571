// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"maps"
	"time"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/tracker"
)

// renew lets the renewer take its next step.
func (n *Node) renew(now time.Time) {
	place := max(0, tracker.Place(n.hosts.Live(), n.opts.Self.Host, "renewer"))
	n.carry(now, n.renewer.Step(now, renewer.Input{View: n.view, Place: place, Busy: n.opts.Busy}))
	if phases := n.renewer.Phases(now); !maps.Equal(phases, n.phases) {
		n.phases = phases
		n.do(PublishPhases{Engines: phases})
	}
}

func (n *Node) carry(now time.Time, commands []renewer.Command) {
	ordered := false
	for _, c := range commands {
		if done, ok := c.(renewer.Renewed); ok {
			n.renewed(done)
			continue
		}
		n.do(Renew{Command: c})
		if _, ok := c.(renewer.Order); ok {
			ordered = true
		}
	}
	if ordered {
		// An engine refuses what it is sent from its order on.
		n.broadcast(&messenger.Message{Renewal: n.renewer.Status(now)})
	}
}

func (n *Node) renewed(done renewer.Renewed) {
	n.viewDirty = n.state.Renewed(done.ID, done.Model, done.Version) || n.viewDirty
}

func (n *Node) renewalEnd(now time.Time, ev RenewalEnd) {
	switch c := ev.Command.(type) {
	case renewer.ReadLease:
		n.renewer.LeaseRead(now, ev.Lease, ev.Err)
	case renewer.WriteLease:
		n.renewer.LeaseWritten(now, c, ev.Conflict, ev.Err)
	case renewer.Order:
		n.carry(now, n.renewer.Ordered(now, c, ev.Result))
	case renewer.Ask:
		n.carry(now, n.renewer.Told(now, c, ev.Busy, ev.Version, ev.Err))
	}
}
