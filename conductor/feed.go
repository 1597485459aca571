// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"errors"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
)

// feed is this host's copy of one feed of the store.
type feed struct {
	loaded           bool              // loaded is set once a listing was applied.
	next             follower.Position // next is the position after the last record applied.
	currentAt        time.Time         // currentAt is when this copy was last known to be current.
	reading          bool
	failing          bool
	refused          bool      // refused is set while the store does not have the offset of a read.
	failures         int       // failures counts consecutive failures.
	retryAt          time.Time // retryAt is the earliest time of the next read.
	lastPeerRequest  time.Time // lastPeerRequest is when another host was last asked.
	lastListing      time.Time // lastListing is when a listing last arrived; it may have been long in transit.
	checkedAt        time.Time // checkedAt is when this host last compared what it knows with a listing, or was not the one to do so.
	listingRequests  int       // listingRequests counts requests to peers for the whole feed.
	behindSince      time.Time // behindSince is since when another host has known more.
	newest           map[string]keyRecord
	dropped          map[string]follower.Position // dropped maps removed keys to the positions of their removals.
	droppedFrom      follower.Position            // droppedFrom is the position from which on dropped is complete.
	cached           cachedListing
	receivedPage     bool                 // receivedPage is set when a peer sent a page since the last read.
	soleReader       bool                 // soleReader is set if none did between the last two reads.
	foundLoss        bool                 // foundLoss is set if a read by this host found that the store lost records.
	unlistedUntil    map[string]time.Time // unlistedUntil are evacuations that the store lost, with when they end unless written again.
	unreadableLogged map[string]time.Time // unreadableLogged is when a key was last logged as unreadable.
	outdatedLogged   map[string]time.Time // outdatedLogged is when a record of a key was last logged as outdated.
	digest           uint32               // digest is that of newest.
	bytes            int                  // bytes is the length of the values of newest.
	newestAt         follower.Position    // newestAt is the position of the newest record applied; a listing may have ones beyond next.
	difference       difference
	passages         []passage // passages are the last changes of next, oldest first.
	missed           int       // missed counts records that other hosts had and this one had passed without them.
}

func newFeed() *feed {
	return &feed{newest: make(map[string]keyRecord), dropped: make(map[string]follower.Position),
		unreadableLogged: make(map[string]time.Time), unlistedUntil: make(map[string]time.Time), outdatedLogged: make(map[string]time.Time)}
}

// keyRecord is the newest record of a key.
type keyRecord struct {
	follower.Record
	changed follower.Position // changed is the position of the key's last record that changed the state.
	content uint32            // content is the digest of what the record says.
}

// abandonRead stops waiting for a pending read, as the store's offsets have another meaning now.
func (f *feed) abandonRead() {
	if f.loaded {
		f.reading = false
	}
}

// readFeed reads more of a feed from the store if it is this host's turn.
func (n *Node) readFeed(now time.Time, name follower.Feed, f *feed) {
	if !f.loaded {
		n.requestListing(now, name, f)
	}
	if f.reading || now.Before(f.retryAt) || !f.loaded && n.awaitsPeers(now) {
		return
	}
	verify := f.verifies(now) || n.checkDue(now, name, f)
	r := Read{Feed: name, Full: !f.loaded || n.hasLost(f) || verify, From: f.next}
	if f.loaded && !verify {
		age := n.readAge(name)
		switch {
		case r.Full:
			if age > 0 && !f.foundLoss && now.Sub(n.eraSince) < age {
				return // another host reads, and sends what changed
			}
		case age == 0 || n.topology().selfActive && f.continuesReading(now):
			if !f.failing {
				r.Wait = n.opts.Timing.LongPoll // the store answers at the next record
			}
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
	if !ev.Page.Full && ev.Page.FromEra < n.era {
		return // the read was abandoned
	}
	f.reading = false
	f.foundLoss = f.foundLoss || f.loaded && ev.Page.Era > n.era
	n.observeEra(now, ev.Page.Era)
	switch {
	case ev.Err != nil:
		n.readFailed(now, f, ev)
		return
	case ev.Page.Era < n.era: // an answer from before a loss of records
		f.retryAt = now.Add(n.opts.Timing.RetryDelay)
		return
	}
	if f.failing {
		n.emit(LogEvent{Kind: LogStoreBack, Feed: ev.Page.Feed, Age: now.Sub(f.currentAt)})
	}
	f.failing, f.failures = false, 0
	n.state.StoreAnswered(now)
	asOf := coveredUntil(now, ev)
	f.soleReader, f.receivedPage = !ev.Page.Full && !f.receivedPage, false
	before, wasLoaded := f.next, f.loaded
	n.source = pageSource{way: WayRead, age: now.Sub(asOf)}
	if ev.Page.Full {
		n.source.way = WayListing
	}
	forwarded := n.applyPage(now, ev.Page, asOf)
	f.retryAt = now.Add(n.readInterval())
	page := ev.Page
	page.Age = now.Sub(asOf)
	switch {
	case !page.Full:
		f.refused = false
		page.Records = forwarded
	case wasLoaded && before.Era < f.next.Era:
		page = f.changesAcrossEras(page, before)
	default:
		return
	}
	n.broadcast(&messenger.Message{FeedPages: []follower.FeedPage{page}, Era: n.era})
}

// changesAcrossEras returns the page with what a listing of a new era changed since a position. Hosts that
// know the feed up to exactly that position need not read the listing.
func (f *feed) changesAcrossEras(listing follower.FeedPage, since follower.Position) follower.FeedPage {
	page := listing
	page.Full, page.From, page.FromEra = false, since.Offset, since.Era
	page.Records = f.changesSince(follower.Position{Era: listing.Era})
	if page.Feed == follower.FeedOperator {
		page.Unlisted = f.keptFrom(listing.Era)
	}
	return page
}

// keptFrom returns the keys whose records are of earlier eras than the given one.
func (f *feed) keptFrom(era uint64) []string {
	var keys []string
	for key, r := range f.newest {
		if r.Era < era {
			keys = append(keys, key)
		}
	}
	return keys
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
			n.emit(LogEvent{Kind: LogFeedReadRefused, Feed: ev.Page.Feed, Offset: ev.Page.From, Era: ev.Page.FromEra, Age: now.Sub(f.currentAt)})
		}
		f.loaded = f.loaded && n.hasLost(f) // a listing has the newest record of each key
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
	if f.loaded && page.Era < f.next.Era || !page.Full && !f.continuedBy(page) {
		n.notePage(LogPageDropped, page, f)
		return nil
	}
	lost := f.loaded && f.next.Era < page.Era
	for _, r := range page.History {
		n.applyRecord(now, page.Feed, f, r, true)
	}
	for _, r := range page.Records {
		if n.applyRecord(now, page.Feed, f, r, page.Full) || f.changedState(page.Feed, r) {
			forwarded = append(forwarded, r)
		}
	}
	if page.Full {
		f.lastListing, f.checkedAt = now, now
		n.emit(LogEvent{Kind: LogListingApplied, Feed: page.Feed, Host: n.source.host, Offset: page.Next, Era: page.Era, Newest: f.newestAt.Offset})
		n.applyListing(now, page, f)
	}
	if lost {
		f.foundLoss, f.droppedFrom, f.cached = false, page.End(), cachedListing{}
		n.emit(LogEvent{Kind: LogFeedRecovered, Feed: page.Feed, Offset: page.Next, Era: page.Era, Before: f.next,
			Records: len(page.Records), Age: now.Sub(n.eraSince)})
	}
	if page.Feed == follower.FeedOperator {
		n.awaitRewrites(now, page, f)
	}
	if page.End().After(f.next) {
		f.advance(now, page.End())
	}
	if asOf.After(f.currentAt) {
		f.currentAt = asOf
		if page.Feed == follower.FeedOperator {
			n.state.SetCurrent(asOf)
			n.currentAt = asOf
		}
	}
	return forwarded
}

// continuedBy reports whether no record is missing between the known ones and a page. A page across a loss of
// records has only what differs from the state before it, so that this state must be known.
func (f *feed) continuedBy(page follower.FeedPage) bool {
	switch {
	case !f.loaded:
		return false
	case page.AcrossEras():
		return page.Start() == f.next
	}
	return page.Era == f.next.Era && page.From <= f.next.Offset
}

// publishFeeds publishes up to where this host knows the feeds.
func (n *Node) publishFeeds() {
	states := make(map[follower.Feed]FeedState, len(n.feeds))
	for name, f := range n.feeds {
		states[name] = FeedState{Position: f.next, Newest: f.newestAt, Digest: f.digest, Missed: f.missed, CurrentAt: f.currentAt}
	}
	n.emit(PublishFeeds{Feeds: states})
}

// changedState reports whether a record has changed the state, also if this host applied it before it read the page that
// covers it. It must be forwarded with that page: a host that missed it would otherwise advance past it.
func (f *feed) changedState(name follower.Feed, r follower.Record) bool {
	if name != follower.FeedUpstreams || !f.dropped[r.Key].Before(r.Position()) {
		return true
	}
	old, ok := f.newest[r.Key]
	return ok && !old.changed.Before(r.Position())
}

func (n *Node) applyListing(now time.Time, page follower.FeedPage, f *feed) {
	f.loaded, f.droppedFrom = true, page.End()
	listed := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		listed[r.Key] = true
	}
	if page.Feed != follower.FeedUpstreams {
		n.endEvacuations(now, page, f, listed)
		return // other operator settings stay in force until replaced
	}
	for key, r := range f.newest {
		if !listed[key] && r.Position().Before(page.End()) {
			f.drop(key, lastPosition(page))
		}
	}
	n.viewDirty = n.state.Replace(now, listed, page.End()) || n.viewDirty
}

// lastPosition returns the position of the last record that a page covers.
func lastPosition(page follower.FeedPage) follower.Position {
	return follower.Position{Era: page.Era, Offset: page.Next - 1}
}

// skipUnreadable skips a record and reports whether to forward it. An upstream whose newest entry
// is unreadable is removed. Log lines are limited per key.
func (n *Node) skipUnreadable(now time.Time, name follower.Feed, f *feed, r follower.Record, err error) (forward bool) {
	dropped := false
	if name == follower.FeedUpstreams {
		f.drop(r.Key, r.Position())
		dropped = n.state.Drop(r.Key, r.Position())
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
	n.emit(LogEvent{Kind: LogRecordOutdated, Feed: name, Key: r.Key, Offset: r.Offset, Era: r.Era})
}

// unreadableLogInterval is the least time between two log lines about unreadable or outdated records of
// one key.
const unreadableLogInterval = 10 * time.Second

// Way is how a record reached this host.
type Way string

// Values of Way.
const (
	WayRead       Way = "Read"       // WayRead means that this host read it from the store.
	WayListing    Way = "Listing"    // WayListing means that this host read the whole feed.
	WayPage       Way = "Page"       // WayPage means that another host passed on what it had read.
	WayHandover   Way = "Handover"   // WayHandover means that another host sent what this one lacked.
	WayComparison Way = "Comparison" // WayComparison means that another host at the same position sent all that it had.
	WayExpired    Way = "Expired"    // WayExpired means that a record that the store has lost was not written again.
)

// pageSource is where a page came from.
type pageSource struct {
	way  Way
	host string        // host is the other host; empty if there is none.
	age  time.Duration // age is the time since the store was known to have no more.
}

// recordLogEvent returns the log event of a record that changed the state.
func (n *Node) recordLogEvent(name follower.Feed, r follower.Record, change follower.Change) LogEvent {
	ev := LogEvent{Kind: LogRecordApplied, Feed: name, Key: r.Key, Offset: r.Offset, Era: r.Era,
		Way: n.source.way, Host: n.source.host, Age: n.source.age}
	if e := change.Evacuation; e != nil {
		ev.Kind, ev.Key = LogZoneEvacuated, e.AvailabilityZone
		if e.Ended {
			ev.Kind = LogEvacuationEnded
		}
	}
	return ev
}

// endEvacuations ends the evacuations that are missing from a listing of the operators' feed: their
// records were removed while this host did not read the feed. Records of an earlier era may have been lost
// instead.
func (n *Node) endEvacuations(now time.Time, page follower.FeedPage, f *feed, listed map[string]bool) {
	for key, record := range f.newest {
		dropped := follower.Record{Key: key, Offset: page.Next - 1, Era: page.Era}
		if listed[key] || !record.Position().Before(dropped.Position()) {
			continue
		}
		if change, err := n.opts.Decoder.Decode(page.Feed, dropped); err != nil || change.Evacuation == nil {
			continue
		}
		if record.Era == page.Era {
			n.applyRecord(now, page.Feed, f, dropped, true)
		}
	}
}

// rewriteTimeout is how long operators may take to write again what the store lost.
const rewriteTimeout = 10 * time.Second

// awaitRewrites has evacuations whose records the store lost end after rewriteTimeout unless they are written again.
func (n *Node) awaitRewrites(now time.Time, page follower.FeedPage, f *feed) {
	keys := page.Unlisted
	if page.Full {
		keys = f.keptFrom(page.Era)
	}
	for _, key := range keys {
		change, err := n.opts.Decoder.Decode(page.Feed, follower.Record{Key: key})
		if err == nil && change.Evacuation != nil && f.unlistedUntil[key].IsZero() {
			f.unlistedUntil[key] = now.Add(rewriteTimeout)
		}
	}
}

// endUnwritten ends the evacuations that the store lost and operators did not write again in time.
func (n *Node) endUnwritten(now time.Time, name follower.Feed, f *feed) {
	for key, until := range f.unlistedUntil {
		record, known := f.newest[key]
		switch {
		case !known || record.Era == f.next.Era:
			delete(f.unlistedUntil, key)
		case now.After(until):
			delete(f.unlistedUntil, key)
			n.source = pageSource{way: WayExpired}
			n.applyRecord(now, name, f, follower.Record{Key: key, Offset: f.next.Offset - 1, Era: f.next.Era}, true)
		}
	}
}

// applyRecord applies a record and reports whether to forward it. Upstreams rewrite their entries
// all the time, so unchanged entries are not forwarded: 3,000 upstreams write 2,500 records a
// second, which made 24,700 kB/s at the busiest of 299 hosts. After a loss the first entry of each upstream
// is forwarded nevertheless, since hosts may differ in what they knew before it.
func (n *Node) applyRecord(now time.Time, name follower.Feed, f *feed, r follower.Record, listed bool) (forward bool) {
	old, known := f.newest[r.Key]
	if f.supersedes(name, r, listed) {
		return false
	}
	change, err := n.opts.Decoder.Decode(name, r)
	if err != nil {
		return n.skipUnreadable(now, name, f, r, err)
	}
	effect := n.state.Apply(now, change, r.Position())
	if effect == follower.EffectOutdated {
		n.logOutdated(now, name, f, r)
		return false
	}
	changed := effect == follower.EffectChanged
	if !changed && known && r.Position().Before(old.Position()) {
		return false
	}
	f.store(r, contentDigest(r, n.believed(change)), changed || known && !listed && old.changed.Era < r.Era)
	if changed {
		if f.loaded && r.Era == f.next.Era && r.Position().Before(f.next) {
			n.noteMissed(now, name, f, r)
		}
		n.emit(n.recordLogEvent(name, r, change))
		n.viewDirty = true
		return true
	}
	// Unchanged upstream entries are not forwarded.
	return name != follower.FeedUpstreams || len(r.Value) == 0 || f.newest[r.Key].changed == r.Position()
}

// believed returns what is believed of the upstream that a change is about; nil if it is about none.
func (n *Node) believed(change follower.Change) *follower.Upstream {
	if change.Upstream == nil {
		return nil
	}
	return n.state.Upstream(change.Upstream.ID)
}

// supersedes reports whether what is known of a record's key is at least as new as the record.
func (f *feed) supersedes(name follower.Feed, r follower.Record, listed bool) bool {
	if known, ok := f.newest[r.Key]; ok {
		return !known.Position().Before(r.Position()) && !retained(name, known, r)
	}
	if at, ok := f.dropped[r.Key]; ok {
		return !at.Before(r.Position())
	}
	return !listed && r.Position().Before(f.droppedFrom)
}

// retained reports whether a record is one that another host kept when the store lost it. It may be newer than
// the one that the store has.
func retained(name follower.Feed, known keyRecord, r follower.Record) bool {
	return name == follower.FeedOperator && r.Era < known.Era
}
