// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"maps"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

// renew runs the updater's next step.
func (n *Node) renew(now time.Time) {
	n.handleCommands(now, n.updater.Step(now, updater.Input{View: n.view, HostIndex: n.updaterRank(),
		Busy: n.opts.Busy, CutOff: n.cutOff()}))
	if phases := n.updater.Phases(now); !maps.Equal(phases, n.phases) {
		n.phases = phases
		n.emit(PublishPhases{Engines: phases})
	}
}

// maxStandbyRanks bounds the number of ranks of standby hosts among those that may give orders.
// Active hosts come first: only they know which engines are busy.
const maxStandbyRanks = 8

// updaterRank returns this host's rank among those that may give orders.
func (n *Node) updaterRank() int {
	t := n.topology()
	if !t.selfActive {
		return min(len(t.active), maxStandbyRanks) + t.standbyRank%maxStandbyRanks
	}
	return max(0, tracker.RankIndex(reaching(n.hosts.All(), t.active), n.opts.Self.Host, "renewer"))
}

func (n *Node) handleCommands(now time.Time, commands []updater.Command) {
	ordered := false
	for _, c := range commands {
		if done, ok := c.(updater.Renewed); ok {
			n.renewed(done)
			continue
		}
		if d, ok := c.(updater.Doubted); ok {
			n.emit(LogEvent{Kind: LogVersionDoubted, Key: d.Model, Err: errors.Errorf(
				"conductor: %d engines ended while loading version %d, the last one %s; the next order follows in %s",
				len(d.Starts), d.Version, d.Starts[len(d.Starts)-1], d.Pause)})
			continue
		}
		n.emit(Renew{Command: c})
		if _, ok := c.(updater.Order); ok {
			ordered = true
		}
	}
	if ordered {
		// An engine refuses requests from its order on, so the others must know at once.
		n.broadcast(&messenger.Message{Renewal: n.updater.Status(now)})
	}
}

func (n *Node) renewed(done updater.Renewed) {
	n.viewDirty = n.state.WeightsLoaded(n.now, done.ID, done.Born, done.Model, done.Version) || n.viewDirty
}

func (n *Node) handleRenewalEnd(now time.Time, ev RenewalEnd) {
	switch c := ev.Command.(type) {
	case updater.ReadLease:
		n.observeEra(now, ev.Lease.Era)
		n.updater.LeaseRead(now, ev.Lease, ev.Err)
	case updater.WriteLease:
		n.updater.LeaseWritten(now, c, ev.Conflict, ev.Err)
	case updater.Order:
		n.handleCommands(now, n.updater.OrderAnswered(now, c, ev.Result))
	case updater.QueryVersion:
		n.handleCommands(now, n.updater.VersionReported(now, c, ev.Report, ev.Err))
	}
}
