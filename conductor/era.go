// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// When the store goes back to a copy, records that it acknowledged are gone and their offsets are given
// out again. The store says so by a new era. Hosts then keep what they know, and one of them reads each
// feed as a whole and sends the others what changed. What hosts had written is written again.

// observeEra records that the store is in an era.
func (n *Node) observeEra(now time.Time, era uint64) {
	if era <= n.era {
		return
	}
	before := n.era
	n.era, n.eraSince = era, now
	lost := n.anyLoaded()
	n.updater.SetEra(era, lost)
	if !lost {
		return // a start
	}
	for _, f := range n.feeds {
		f.abandonRead()
		clear(f.unlistedUntil) // operators have as long again
	}
	n.state.StoreRestored(now)
	n.scheduleSearch(now)
	n.emit(LogEvent{Kind: LogStoreRestored, Era: era, Before: follower.Position{Era: before}})
	n.emit(SaveAgain{})
}

func (n *Node) anyLoaded() bool {
	for _, f := range n.feeds {
		if f.loaded {
			return true
		}
	}
	return false
}

// hasLost reports whether the store may have lost records of a feed since this host last read them.
func (n *Node) hasLost(f *feed) bool { return f.next.Era < n.era }
