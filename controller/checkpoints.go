// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/leaser"
	"amaranthgate.example/amaranthgate/replayer"
)

// checkpointsPerRetention is the number of checkpoints written per retention time
// of the log.
const checkpointsPerRetention = 4

func hasCheckpoint(rec replayer.Applied) bool {
	for _, e := range rec.Entries {
		if e.Kind == replayer.KindCheckpoint {
			return true
		}
	}
	return false
}

// tickCheckpoints writes the checkpoints that are due: of the common streams as
// holder of the Checkpoint lease, of ranges of claims as their owner.
func (n *Node) tickCheckpoints(now time.Time) {
	if _, ok := n.holder.Valid(now, leaseCheckpoint); ok {
		n.checkpoint(now, configurer.StreamName)
		n.checkpoint(now, leaser.StreamName)
		n.followReports(now)
		n.checkpoint(now, reportStream)
	}
	for r := range claimer.Ranges {
		if c := n.ranges[r]; c != nil && c.owner.Serving() {
			n.checkpoint(now, claimer.StreamName(r))
		}
	}
}

func (n *Node) checkpoint(now time.Time, stream string) {
	s := n.streams[stream]
	if s == nil || !s.fold.Ready() || s.failing {
		return
	}
	if now.Sub(s.lastCheckpoint) < n.opts.LogRetention/checkpointsPerRetention {
		return
	}
	s.lastCheckpoint = now
	s.queue.Add(s.fold.Checkpoint(n.opts.LogRetention))
}
