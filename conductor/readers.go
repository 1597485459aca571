// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/tracker"
)

// readAge returns the age of a feed from which this host reads it. The first host in rank reads all
// the time, the others when they have received no page for longer than a long poll.
func (n *Node) readAge(name follower.Feed) time.Duration {
	t := n.topology()
	if !t.selfActive {
		return n.opts.Timing.TakeoverAge + maxReaderRank*n.opts.Timing.TakeoverStep + t.standbyJitter()
	}
	rank := max(0, tracker.RankIndex(t.active, n.opts.Self.Host, readerKey(name)))
	if rank == 0 {
		return 0
	}
	return n.opts.Timing.TakeoverAge + time.Duration(min(rank, maxReaderRank))*n.opts.Timing.TakeoverStep
}

// continuesReading reports whether this host, which read last, keeps reading although others rank
// before it, as long as none of them has sent a page. Otherwise the feed would be read at the
// takeover interval only, every 1.2 s or more, while the store rejects its first reader.
func (f *feed) continuesReading(now time.Time) bool {
	return f.soleReader && !f.receivedPage && !f.failing && now.Sub(f.currentAt) < soleReaderTTL
}

// soleReaderTTL is the age from which on this host's last read no longer makes it the reader.
const soleReaderTTL = 2 * time.Second

const (
	// maxReaderRank is the rank from which on all hosts read a feed at the same age.
	maxReaderRank = 6
	// maxStandbyJitter spreads the reads of standby hosts, so that a partitioned fleet does not
	// read all at once.
	maxStandbyJitter = 400 * time.Millisecond
	jitterSlots      = 64
)

// standbyJitter returns this host's fraction of maxStandbyJitter.
func (t *topology) standbyJitter() time.Duration {
	return maxStandbyJitter * time.Duration(t.standbyRank%jitterSlots) / jitterSlots
}

// awaitsPeers reports whether a host that has just started should wait for its peers to send the
// feeds. This keeps a starting fleet from reading the whole listing once per host. Without
// it, 450 of 500 hosts that started together read the listing of 5,000 upstreams, 26 calls and
// 1.7 MB each.
func (n *Node) awaitsPeers(now time.Time) bool {
	if !n.introducer.HasRead() && !n.introducer.Done() {
		return now.Sub(n.firstEvent) < announcementsTimeout
	}
	since, t := n.foundAt, n.topology()
	if since.IsZero() { // greeted before it read the announcements
		since = n.firstEvent
	}
	if discovered := n.firstEvent.Add(discoveryTime); n.opts.FirstStart && since.Before(discovered) {
		since = discovered
	}
	if t.small {
		return now.Before(since)
	}
	return now.Sub(since) < n.firstReadDelay(t)
}

// firstReadDelay returns how long a starting host of a large fleet waits for its peers before it
// reads the feeds.
func (n *Node) firstReadDelay(t *topology) time.Duration {
	if !t.selfActive {
		return standbyReadDelay + time.Duration(t.standbyRank)*standbyReadStep
	}
	rank := max(0, tracker.RankIndex(t.active, n.opts.Self.Host, "reader/start"))
	if rank < initialReaders {
		return 0
	}
	return activeReadDelay + time.Duration(rank)*activeReadStep
}

const (
	initialReaders = 2 // initialReaders is the number of active hosts that don't wait.
	// activeReadDelay is how long the other active hosts wait, enough for a listing of 10,000
	// upstreams over a slow link; activeReadStep is added for each rank.
	activeReadDelay = 1500 * time.Millisecond
	activeReadStep  = 100 * time.Millisecond
	// standbyReadDelay and standbyReadStep are the same for standby hosts. Together these make at
	// most one read per standbyReadStep.
	standbyReadDelay = 4 * time.Second
	standbyReadStep  = 100 * time.Millisecond
)

// discoveryTime is how long hosts that start for the first time wait to learn the size of the
// fleet.
const discoveryTime = introducer.FirstReadJitter + 700*time.Millisecond

// announcementsTimeout is how long a host that cannot read the announcements reads no feed. It
// knows no peer and so ranks itself first for everything. Otherwise 985 such hosts would each read
// all that the store has.
const announcementsTimeout = 5 * time.Second

// readInterval returns the least time between two reads, so that records accumulate.
func (n *Node) readInterval() time.Duration {
	if n.topology().small {
		return n.opts.Timing.ReadInterval
	}
	return n.opts.Timing.ReadIntervalLarge
}

// In a large fleet most hosts retry a failed read later: the first one that succeeds sends the page
// to all. With the same delay at all, 295 hosts called a store some 4,000 times while it rejected
// them for 8 s.
const (
	fastRetryHosts     = 2  // fastRetryHosts is the number of active hosts that retry early.
	activeRetryFactor  = 4  // activeRetryFactor multiplies the delay of other active hosts.
	standbyRetryFactor = 16 // standbyRetryFactor multiplies the delay of standby hosts.
)

// maxRetryDelay bounds the backoff of a host that has never heard of another. Many hosts may be in that state
// after a store outage.
const maxRetryDelay = 2 * time.Second

// retryDelay returns the delay after the given number of consecutive failures.
func (n *Node) retryDelay(name follower.Feed, failures int) time.Duration {
	t, delay := n.topology(), n.opts.Timing.RetryDelay
	switch {
	case t.small && len(n.hosts.Live()) == 1 && !n.met:
		return min(delay<<min(failures-1, 3), maxRetryDelay)
	case t.small:
		return delay
	case !t.selfActive:
		return standbyRetryFactor*delay + t.standbyJitter()
	case tracker.RankIndex(t.active, n.opts.Self.Host, readerKey(name)) >= fastRetryHosts:
		return activeRetryFactor * delay
	}
	return delay
}

// readerKey returns the key by which hosts are ranked as readers of a feed.
func readerKey(name follower.Feed) string { return "reader/" + string(name) }
