// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"bytes"
	"errors"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
)

// feed is this host's copy of one feed of the store.
type feed struct {
	loaded           bool      // loaded is set once a listing was applied.
	next             int64     // next is the offset after the last record applied.
	currentAt        time.Time // currentAt is when this copy was last known to be current.
	reading          bool
	failing          bool
	refused          bool      // refused is set while the store does not have the offset of a read.
	failures         int       // failures counts consecutive failures.
	retryAt          time.Time // retryAt is the earliest time of the next read.
	lastPeerRequest  time.Time // lastPeerRequest is when another host was last asked.
	lastListing      time.Time // lastListing is when a listing last arrived; it may have been long in transit.
	listingRequests  int       // listingRequests counts requests to peers for the whole feed.
	behindSince      time.Time // behindSince is since when another host has known more.
	newest           map[string]keyRecord
	dropped          map[string]int64 // dropped maps removed keys to the offsets of their removals.
	droppedFrom      int64            // droppedFrom is the offset from which on dropped is complete.
	cached           cachedListing
	receivedPage     bool                 // receivedPage is set when a peer sent a page since the last read.
	soleReader       bool                 // soleReader is set if none did between the last two reads.
	unreadableLogged map[string]time.Time // unreadableLogged is when a key was last logged as unreadable.
	outdatedLogged   map[string]time.Time // outdatedLogged is when a record of a key was last logged as outdated.
}

func newFeed() *feed {
	return &feed{newest: make(map[string]keyRecord), dropped: make(map[string]int64),
		unreadableLogged: make(map[string]time.Time), outdatedLogged: make(map[string]time.Time)}
}

// keyRecord is the newest record of a key.
type keyRecord struct {
	follower.Record
	changed int64 // changed is the offset of the key's last record that changed the state.
}

// readFeed reads more of a feed from the store if it is this host's turn.
func (n *Node) readFeed(now time.Time, name follower.Feed, f *feed) {
	if !f.loaded {
		n.requestListing(now, name, f)
	}
	if f.reading || now.Before(f.retryAt) || !f.loaded && n.awaitsPeers(now) {
		return
	}
	r := Read{Feed: name, Full: !f.loaded, From: f.next}
	if f.loaded {
		age := n.readAge(name)
		switch {
		case age == 0 || n.topology().selfActive && f.continuesReading(now):
			r.Wait = n.opts.Timing.LongPoll // the store answers at the next record
		case now.Sub(f.currentAt) < age || now.Sub(f.lastListing) < age:
			return
		default:
			f.receivedPage = false // take over: without a wait, the page is broadcast at once
		}
	}
	f.reading = true
	n.emit(r)
}

func (n *Node) handleFeedRead(now time.Time, ev FeedRead) {
	f := n.feeds[ev.Page.Feed]
	f.reading = false
	if ev.Err != nil {
		n.readFailed(now, f, ev)
		return
	}
	if f.failing {
		n.emit(LogEvent{Kind: LogStoreBack, Feed: ev.Page.Feed, Age: now.Sub(f.currentAt)})
	}
	f.failing, f.failures = false, 0
	n.state.StoreAnswered(now)
	asOf := coveredUntil(now, ev)
	f.soleReader, f.receivedPage = !ev.Page.Full && !f.receivedPage, false
	forwarded := n.applyPage(now, ev.Page, asOf)
	f.retryAt = now.Add(n.readInterval())
	if !ev.Page.Full {
		f.refused = false
		page := ev.Page
		page.Age = now.Sub(asOf)
		page.Records = forwarded
		n.broadcast(&messenger.Message{FeedPages: []follower.FeedPage{page}})
	}
}

// coveredUntil returns the time up to which an answer is complete. An empty answer after the full
// wait covers the time until the store stopped waiting.
func coveredUntil(now time.Time, ev FeedRead) time.Time {
	took := now.Sub(ev.RequestedAt)
	if ev.Wait > 0 && took >= ev.Wait && len(ev.Page.Records) == 0 {
		return now.Add(ev.Wait - took)
	}
	return ev.RequestedAt
}

func (n *Node) readFailed(now time.Time, f *feed, ev FeedRead) {
	if errors.Is(ev.Err, follower.ErrCompacted) {
		if !f.refused {
			f.refused = true
			n.emit(LogEvent{Kind: LogFeedReadRefused, Feed: ev.Page.Feed, Offset: ev.Page.From, Age: now.Sub(f.currentAt)})
		}
		f.loaded = false // the newest record of each key is still available
		return
	}
	if !f.failing {
		n.emit(LogEvent{Kind: LogStoreLost, Feed: ev.Page.Feed, Age: now.Sub(f.currentAt), Err: ev.Err})
	}
	f.failing = true
	f.failures++
	f.retryAt = now.Add(n.retryDelay(ev.Page.Feed, f.failures))
	n.state.StoreFailed()
}

// applyPage applies a page and returns the records to forward to other hosts.
func (n *Node) applyPage(now time.Time, page follower.FeedPage, asOf time.Time) (forwarded []follower.Record) {
	f := n.feeds[page.Feed]
	if !page.Full && (!f.loaded || page.From > f.next) {
		return nil // records between the known ones and this page are missing
	}
	for _, r := range page.Records {
		if !page.Full && r.Offset < f.next {
			if f.changedState(page.Feed, r) {
				forwarded = append(forwarded, r)
			}
			continue // already applied, and perhaps later records too
		}
		if n.applyRecord(now, page.Feed, f, r) {
			forwarded = append(forwarded, r)
		}
	}
	if page.Full {
		f.lastListing = now
		n.applyListing(now, page, f)
	}
	if page.Next > f.next {
		f.next, f.behindSince = page.Next, time.Time{}
	}
	if asOf.After(f.currentAt) {
		f.currentAt = asOf
		if page.Feed == follower.FeedOperator {
			n.state.SetCurrent(asOf)
			n.emit(FeedCurrent{At: asOf})
		}
	}
	return forwarded
}

// changedState reports whether a record that is already applied changed the state. It must be
// forwarded with the page that covers it: a host that missed it would otherwise advance past it.
func (f *feed) changedState(name follower.Feed, r follower.Record) bool {
	if name != follower.FeedUpstreams || f.dropped[r.Key] >= r.Offset {
		return true
	}
	old, ok := f.newest[r.Key]
	return ok && old.changed >= r.Offset
}

func (n *Node) applyListing(now time.Time, page follower.FeedPage, f *feed) {
	f.loaded, f.droppedFrom = true, page.Next
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
	}
	if page.Feed != follower.FeedUpstreams {
		n.endEvacuations(now, page, f, listed)
		return // other operator settings stay in force until replaced
	}
	for key, r := range f.newest {
		if !listed[key] && r.Offset < page.Next {
			f.drop(key, page.Next-1)
		}
	}
	n.emit(LogEvent{Kind: LogListingApplied, Feed: page.Feed, Offset: page.Next})
	n.viewDirty = n.state.Replace(now, listed, page.Next) || n.viewDirty
}

// skipUnreadable skips a record and reports whether to forward it. An upstream whose newest entry
// is unreadable is removed. Log lines are limited per key.
func (n *Node) skipUnreadable(now time.Time, name follower.Feed, f *feed, r follower.Record, err error) (forward bool) {
	dropped := false
	if name == follower.FeedUpstreams {
		f.drop(r.Key, r.Offset)
		dropped = n.state.Drop(r.Key, r.Offset)
		n.viewDirty = n.viewDirty || dropped
	}
	if !dropped && now.Sub(f.unreadableLogged[r.Key]) < unreadableLogInterval {
		return false
	}
	f.unreadableLogged[r.Key] = now
	n.emit(LogEvent{Kind: LogUnreadable, Feed: name, Key: r.Key, Offset: r.Offset, Err: err})
	return true
}

// logOutdated logs a record that is older than the known one of its key. Lines are limited per key.
func (n *Node) logOutdated(now time.Time, name follower.Feed, f *feed, r follower.Record) {
	if now.Sub(f.outdatedLogged[r.Key]) < unreadableLogInterval {
		return
	}
	f.outdatedLogged[r.Key] = now
	n.emit(LogEvent{Kind: LogRecordOutdated, Feed: name, Key: r.Key, Offset: r.Offset})
}

// unreadableLogInterval is the least time between two log lines about unreadable or outdated records of
// one key.
const unreadableLogInterval = 10 * time.Second

// recordLogEvent returns the log event of a record that changed the state.
func recordLogEvent(name follower.Feed, r follower.Record, change follower.Change) LogEvent {
	ev := LogEvent{Kind: LogRecordApplied, Feed: name, Key: r.Key, Offset: r.Offset}
	if e := change.Evacuation; e != nil {
		ev.Kind, ev.Key = LogZoneEvacuated, e.AvailabilityZone
		if e.Ended {
			ev.Kind = LogEvacuationEnded
		}
	}
	return ev
}

// endEvacuations ends the evacuations that are missing from a listing of the operators' feed: their
// records were removed while this host did not read the feed.
func (n *Node) endEvacuations(now time.Time, page follower.FeedPage, f *feed, listed map[string]bool) {
	for key, record := range f.newest {
		dropped := follower.Record{Key: key, Offset: page.Next - 1}
		if listed[key] || record.Offset >= dropped.Offset {
			continue
		}
		if change, err := n.opts.Decoder.Decode(page.Feed, dropped); err == nil && change.Evacuation != nil {
			n.applyRecord(now, page.Feed, f, dropped)
		}
	}
}

// applyRecord applies a record and reports whether to forward it. Upstreams rewrite their entries
// all the time, so unchanged entries are not forwarded: 3,000 upstreams write 2,500 records a
// second, which made 24,700 kB/s at the busiest of 299 hosts.
func (n *Node) applyRecord(now time.Time, name follower.Feed, f *feed, r follower.Record) (forward bool) {
	if old, ok := f.newest[r.Key]; ok && old.Offset >= r.Offset {
		if !bytes.Equal(old.Value, r.Value) {
			n.logOutdated(now, name, f, r)
		}
		return false
	}
	change, err := n.opts.Decoder.Decode(name, r)
	if err != nil {
		return n.skipUnreadable(now, name, f, r, err)
	}
	changed := n.state.Apply(now, change, r.Offset)
	f.store(r, changed)
	if changed {
		n.emit(recordLogEvent(name, r, change))
		n.viewDirty = true
		return true
	}
	return name != follower.FeedUpstreams || len(r.Value) == 0 // unchanged upstream entries are not forwarded
}
