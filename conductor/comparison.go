// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
)

// Hosts at the same position of a feed must hold the same records. Each tells its neighbours a digest of what it holds,
// and one whose digest differs asks for all records and removals of the other, so that both end with the newest of each
// key. If they still differ, they read the whole feed.

// comparisonInterval is the least time between two such requests for a feed. Those of upstreams are long.
var comparisonInterval = map[follower.Feed]time.Duration{
	follower.FeedOperator:  300 * time.Millisecond,
	follower.FeedUpstreams: 3 * time.Second,
}

const (
	// maxDifference is how long digests may differ until the whole feed is read.
	maxDifference = 3 * time.Second
	// differenceTTL is how long after the last differing digest a difference is over. Neighbours state theirs every
	// second.
	differenceTTL = 2500 * time.Millisecond
	// verifyInterval is the least time between two such reads. It doubles with each, up to maxVerifyDoublings times.
	verifyInterval     = 10 * time.Second
	maxVerifyDoublings = 4
)

// difference is that of this host's copy of a feed from those of other hosts.
type difference struct {
	since, last time.Time
	askedAt     time.Time // askedAt is when another host was last asked for its records.
	verifyAt    time.Time // verifyAt is the earliest time of the next read of the whole feed.
	verified    int       // verified counts these reads.
}

// contentDigest returns the digest of what a record says, or of what is believed of its upstream. Upstreams write their
// entries anew all the time; what changes with each entry is left out, since other hosts do not get it.
func contentDigest(r follower.Record, u *follower.Upstream) uint32 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Key) // never fails
	_, _ = d.Write([]byte{0})
	if u == nil {
		_, _ = d.Write(r.Value)
		return uint32(d.Sum64())
	}
	for _, part := range []string{strconv.FormatInt(u.Born, 36), u.Service, u.Address, u.AvailabilityZone, u.Software,
		strconv.Itoa(u.Slots), string(u.Standing)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return uint32(d.Sum64())
}

// feedDigests returns the digests of the feeds that this host knows in the newest era.
func (n *Node) feedDigests() *follower.Digests {
	var out follower.Digests
	for name, f := range n.feeds {
		if f.loaded && !n.hasLost(f) {
			out = out.With(name, f.digest)
		}
	}
	return &out
}

// compareDigests asks another host for its records if it holds others at the same position.
func (n *Node) compareDigests(now time.Time, host string, m *messenger.Message) {
	if m.FeedDigests == nil {
		return
	}
	for name, f := range n.feeds {
		digest := m.FeedDigests.Of(name)
		if digest == 0 || digest == f.digest || !f.loaded || n.hasLost(f) ||
			f.next != (follower.Position{Era: m.Era, Offset: m.Offsets[name]}) {
			continue
		}
		d := &f.difference
		if now.Sub(d.last) > differenceTTL {
			*d = difference{since: now}
		}
		d.last = now
		if now.Sub(d.askedAt) < comparisonInterval[name] {
			continue
		}
		d.askedAt = now
		n.emit(LogEvent{Kind: LogFeedDiffers, Feed: name, Host: host, Offset: f.next.Offset, Era: f.next.Era, Age: now.Sub(d.since)})
		n.send(host, &messenger.Message{FeedComparisons: []follower.Feed{name}})
	}
}

// answerComparisons sends another host all records and removals of feeds.
func (n *Node) answerComparisons(now time.Time, to string, feeds []follower.Feed) {
	for _, name := range feeds {
		f := n.feeds[name]
		if f == nil || !f.loaded {
			continue
		}
		page := follower.FeedPage{Feed: name, FromMemory: true, FromEra: f.next.Era, Next: f.next.Offset, Era: f.next.Era,
			Age: now.Sub(f.currentAt), Records: f.changesSince(follower.Position{})}
		n.send(to, &messenger.Message{FeedPages: []follower.FeedPage{page}})
	}
}

// verifies reports whether the whole feed is to be read since other hosts still hold other records.
func (f *feed) verifies(now time.Time) bool {
	d := &f.difference
	if !f.loaded || d.last.IsZero() || now.Sub(d.last) > differenceTTL || now.Sub(d.since) < maxDifference || now.Before(d.verifyAt) {
		return false
	}
	d.verifyAt = now.Add(verifyInterval << min(d.verified, maxVerifyDoublings))
	d.verified++
	return true
}

const (
	// minCheckInterval is the least time after which one host compares what it knows with a listing of the store. Hosts
	// that all lack a record do not differ.
	minCheckInterval = 10 * time.Second
	// checkBytes is how many bytes of listings are read for it, per second.
	checkBytes = 2 << 10
)

// checkDue reports whether the whole feed is to be read to find what no host knows. The second host in rank as a reader
// does so, as its position is another's.
func (n *Node) checkDue(now time.Time, name follower.Feed, f *feed) bool {
	t := n.topology()
	checker := min(1, len(t.active)-1)
	if !f.loaded || n.hasLost(f) || !t.selfActive || tracker.RankIndex(t.active, n.opts.Self.Host, readerKey(name)) != checker {
		f.checkedAt = now
		return false
	}
	interval := max(minCheckInterval, time.Duration(f.bytes/checkBytes)*time.Second)
	if now.Sub(f.checkedAt) < interval {
		return false
	}
	f.checkedAt = now
	return true
}

// passage is when a feed was first known up to a position.
type passage struct {
	end follower.Position
	at  time.Time
}

// maxPassages bounds the passages that are kept of a feed.
const maxPassages = 256

// advance moves the position of a feed.
func (f *feed) advance(now time.Time, to follower.Position) {
	f.next, f.behindSince = to, time.Time{}
	f.passages = append(f.passages, passage{end: to, at: now})
	if len(f.passages) > maxPassages {
		f.passages = f.passages[1:]
	}
}

// passedAt returns when this host first took a position for known; zero if that is not known.
func (f *feed) passedAt(p follower.Position) time.Time {
	for _, o := range f.passages {
		if p.Before(o.end) {
			return o.at
		}
	}
	return time.Time{}
}

// noteMissed logs a record before this host's position that changed the state: the host did not know that it lacked it.
func (n *Node) noteMissed(now time.Time, name follower.Feed, f *feed, r follower.Record) {
	f.missed++
	ev := LogEvent{Kind: LogRecordMissed, Feed: name, Host: n.source.host, Key: r.Key, Way: n.source.way, Offset: r.Offset, Era: r.Era}
	if at := f.passedAt(r.Position()); !at.IsZero() {
		ev.Age = now.Sub(at)
	}
	n.emit(ev)
}
