// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"maps"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/renewer"
	"amaranthgate.example/amaranthgate/tracker"
)

// renew lets the renewer take its next step.
func (n *Node) renew(now time.Time) {
	n.carry(now, n.renewer.Step(now, renewer.Input{View: n.view, Place: n.renewerPlace(), Busy: n.opts.Busy}))
	if phases := n.renewer.Phases(now); !maps.Equal(phases, n.phases) {
		n.phases = phases
		n.do(PublishPhases{Engines: phases})
	}
}

// standbyPlaces bounds the place of hosts that stand by among those that may give
// orders. Active hosts go first: only they know which engines are busy.
const standbyPlaces = 8

// renewerPlace is this host's place among those that may give orders.
func (n *Node) renewerPlace() int {
	t := n.paths()
	if !t.ours {
		return min(len(t.active), standbyPlaces) + t.standby%standbyPlaces
	}
	return max(0, tracker.Place(t.active, n.opts.Self.Host, "renewer"))
}

func (n *Node) carry(now time.Time, commands []renewer.Command) {
	ordered := false
	for _, c := range commands {
		if done, ok := c.(renewer.Renewed); ok {
			n.renewed(done)
			continue
		}
		if d, ok := c.(renewer.Doubted); ok {
			n.do(Note{What: NoteVersionDoubted, Key: d.Model, Err: errors.Errorf(
				"%d engines have ended as they loaded version %d, the last %s; the next is ordered in %s",
				len(d.Starts), d.Version, d.Starts[len(d.Starts)-1], d.Pause)})
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
	n.viewDirty = n.state.Renewed(done.ID, done.Born, done.Model, done.Version) || n.viewDirty
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
