// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/tracker"
)

// turn is the age from which this host reads a feed itself. The first in rank
// reads all the time, the others when it has been silent for longer than a
// question may wait.
func (n *Node) turn(name follower.Feed) time.Duration {
	t := n.paths()
	if !t.ours {
		return n.opts.Timing.Fresh + lastReader*n.opts.Timing.Step + t.spread()
	}
	place := max(0, tracker.Place(t.active, n.opts.Self.Host, readerOf(name)))
	if place == 0 {
		return 0
	}
	return n.opts.Timing.Fresh + time.Duration(min(place, lastReader))*n.opts.Timing.Step
}

// goesOn tells that this host, which read last, is to go on although others rank before
// it: these have told nothing since. Else a feed whose first reader the store turns away
// is read once in 1.2 s or more. A host that stands by and is cut off from the others
// need not ask that often for itself alone.
func (f *feed) goesOn(now time.Time) bool {
	return f.alone && !f.heard && !f.failing && now.Sub(f.fresh) < aloneTime
}

// aloneTime is the age from which what this host has read says nothing of who reads.
const aloneTime = 2 * time.Second

const (
	// lastReader is the rank from which all read a feed at the same age of what they
	// know.
	lastReader = 6
	// standbySpread is the time over which hosts that stand by follow them, so that a
	// fleet that is cut off does not ask all at once.
	standbySpread = 400 * time.Millisecond
	spreadPlaces  = 64
)

// spread is a part of standbySpread that differs between hosts.
func (t *tree) spread() time.Duration {
	return standbySpread * time.Duration(t.standby%spreadPlaces) / spreadPlaces
}

// othersTell tells that a host that has just started can expect to hear from others
// what the store has. Of 500 hosts that started together 450 gave up waiting after 1.2 s and read
// the listing of 5,000 upstreams, 26 calls and 1.7 MB each; so two read it at once, and the others
// one after the other if nobody tells them.
func (n *Node) othersTell(now time.Time) bool {
	if !n.introducer.Read() && !n.introducer.Over() {
		return now.Sub(n.first) < unreadTime
	}
	since, t := n.found, n.paths()
	if since.IsZero() { // it was greeted before it read of others
		since = n.first
	}
	if acquainted := n.first.Add(acquaintTime); n.opts.FirstStart && since.Before(acquainted) {
		since = acquainted
	}
	if t.small {
		return now.Before(since)
	}
	return now.Sub(since) < n.firstTurn(t)
}

// firstTurn is how long a host of a large fleet that starts waits to be told what the store has.
func (n *Node) firstTurn(t *tree) time.Duration {
	if !t.ours {
		return standbyTold + time.Duration(t.standby)*standbyStep
	}
	place := max(0, tracker.Place(t.active, n.opts.Self.Host, "reader/start"))
	if place < firstReaders {
		return 0
	}
	return activeTold + time.Duration(place)*activeStep
}

const (
	firstReaders = 2 // firstReaders is the number of active hosts that read the feeds at once when they start.
	// activeTold is how long the other active hosts wait to be told, as long as two hosts may take
	// for a listing of 10,000 upstreams and a narrow link to carry it; activeStep is added for each
	// place.
	activeTold = 1500 * time.Millisecond
	activeStep = 100 * time.Millisecond
	// standbyTold and standbyStep are the same for hosts that stand by. All of them together make
	// one reading in standbyStep, however many they are.
	standbyTold = 4 * time.Second
	standbyStep = 100 * time.Millisecond
)

// acquaintTime is how long hosts that all start for the first time wait to know how many
// they are: until all have read of others, and these were heard of.
const acquaintTime = introducer.FirstSpread + 700*time.Millisecond

// unreadTime is how long a host that cannot read the announcements asks the store for nothing
// else. It knows nobody, and takes itself for the first in rank of everything: 985 such hosts
// would each read all that the store has.
const unreadTime = 5 * time.Second

// gatherTime is the least time between two questions, in which records come together.
func (n *Node) gatherTime() time.Duration {
	if n.paths().small {
		return n.opts.Timing.Gather
	}
	return n.opts.Timing.GatherMany
}

// Hosts of a large fleet that need not be the first to notice that a store is back wait
// longer before they ask it once more: whoever is answered first tells all. While a store
// turned 295 hosts away for 8 s they asked it some 4,000 times.
const (
	soonAgain    = 2  // soonAgain is the number of active hosts, by rank, that do not wait longer.
	activeAgain  = 4  // activeAgain is how many times longer other active hosts wait.
	standbyAgain = 16 // standbyAgain is how many times longer hosts that stand by wait.
)

// longestAgain bounds the pause after questions that failed of a host that knows no other. Any
// number of hosts may be in that state at once, after the store has been away at their start.
const longestAgain = 2 * time.Second

// againTime is the pause after a question that failed, the last of so many in a row.
func (n *Node) againTime(name follower.Feed, failures int) time.Duration {
	t, again := n.paths(), n.opts.Timing.Again
	switch {
	case t.small && len(n.hosts.Live()) == 1:
		return min(again<<min(failures-1, 3), longestAgain)
	case t.small:
		return again
	case !t.ours:
		return standbyAgain*again + t.spread()
	case tracker.Place(t.active, n.opts.Self.Host, readerOf(name)) >= soonAgain:
		return activeAgain * again
	}
	return again
}

// readerOf is the key by which hosts are ranked as readers of a feed.
func readerOf(name follower.Feed) string { return "reader/" + string(name) }
