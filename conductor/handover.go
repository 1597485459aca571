// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
)

// feedOffsets returns up to which offset this host knows each feed in the newest era.
func (n *Node) feedOffsets() map[follower.Feed]int64 {
	out := make(map[follower.Feed]int64, len(n.feeds))
	for name, f := range n.feeds {
		if f.loaded && !n.hasLost(f) {
			out[name] = f.next.Offset
		}
	}
	return out
}

// compareOffsets requests records from a host that has known more for some time: this host's own
// read may be stuck on a broken connection.
func (n *Node) compareOffsets(now time.Time, host string, era uint64, offsets map[follower.Feed]int64) {
	for name, offset := range offsets {
		f, theirs := n.feeds[name], follower.Position{Era: era, Offset: offset}
		if f == nil || f.loaded && !theirs.After(f.next) {
			continue
		}
		if f.behindSince.IsZero() {
			f.behindSince = now
		}
		if now.Sub(f.behindSince) < n.opts.Timing.MaxLag || now.Sub(f.lastPeerRequest) < n.askInterval(f) ||
			!f.loaded && !n.mayAskPeers(now) {
			continue
		}
		f.requestFrom(n, now, name, host)
	}
}

// requestFrom asks another host for the records that this one lacks.
func (f *feed) requestFrom(n *Node, now time.Time, name follower.Feed, host string) {
	f.lastPeerRequest = now
	from := int64(wholeFeed)
	if f.loaded && !n.hasLost(f) {
		from = f.next.Offset
	} else {
		f.listingRequests++
	}
	n.send(host, &messenger.Message{FeedRequests: map[follower.Feed]int64{name: from}, Era: n.era})
}

// requestListing asks a ready host of this zone for a whole feed, rather than waiting until a
// neighbour has it.
func (n *Node) requestListing(now time.Time, name follower.Feed, f *feed) {
	if n.topology().small || now.Sub(f.lastPeerRequest) < n.askInterval(f) {
		return
	}
	if source := n.listingSource(now); source != "" {
		f.requestFrom(n, now, name, source)
	}
}

// listingSource returns the host to request a whole feed from: a ready one, of this zone if
// possible. The choice differs between requesting hosts, to spread the load.
func (n *Node) listingSource(now time.Time) string {
	t := n.topology()
	ready := n.readyOf(t.serving.Zones[n.opts.Self.AvailabilityZone])
	if len(ready) == 0 && (t.selfActive || now.Sub(n.firstEvent) >= remoteSourceDelay) {
		ready = n.readyOf(t.active)
	}
	if len(ready) == 0 {
		return ""
	}
	return ready[tracker.Rank(n.opts.Self.Host, "teller")%uint64(len(ready))]
}

// remoteSourceDelay is how long after its start a standby host requests nothing from other zones.
const remoteSourceDelay = 3 * time.Second

func (n *Node) readyOf(hosts []string) []string {
	var out []string
	for _, h := range hosts {
		if r, ok := n.hosts.Lookup(h); ok && r.Ready && h != n.opts.Self.Host {
			out = append(out, h)
		}
	}
	return out
}

// mayAskPeers reports whether a host without a copy of a feed may request it from any peer. In a
// large fleet standby hosts use listingSource first.
func (n *Node) mayAskPeers(now time.Time) bool {
	t := n.topology()
	return t.small || t.selfActive || now.Sub(n.firstEvent) >= remoteSourceDelay
}

// wholeFeed, as an offset, requests all records of a feed.
const wholeFeed = -1

// askInterval returns the least time between two requests for a feed to peers. It backs off for
// whole feeds, whose transfer over a slow link takes long.
func (n *Node) askInterval(f *feed) time.Duration {
	if f.loaded || n.topology().small {
		return n.opts.Timing.PageRequestInterval
	}
	return n.opts.Timing.ListingInterval << min(f.listingRequests, maxBackoffDoublings)
}

// maxBackoffDoublings bounds the backoff of requests for a whole feed.
const maxBackoffDoublings = 3

// Requests between hosts other than for pages.
const (
	storesRequest     = "Stores"   // storesRequest requests all KV cache store reports.
	cacheStateRequest = "Kept"     // cacheStateRequest requests all that the receiver knows of KV caches.
	announceRequest   = "Announce" // announceRequest requests that the receiver announce itself.
)

func (n *Node) requestStores(now time.Time, host string) {
	if now.Sub(n.lastStores) < n.opts.Timing.PageRequestInterval {
		return
	}
	n.lastStores = now
	n.send(host, &messenger.Message{SnapshotRequests: []string{storesRequest}})
}

// answerSnapshotRequests answers the snapshot requests of another host.
func (n *Node) answerSnapshotRequests(to string, requests []string) {
	if slices.Contains(requests, storesRequest) {
		n.send(to, &messenger.Message{Stores: n.opts.StoreReports()})
	}
	if slices.Contains(requests, cacheStateRequest) {
		n.send(to, n.cacheState())
	}
	if slices.Contains(requests, announceRequest) {
		n.emit(Announce{})
	}
}

// sendMissing sends another host what it lacks of feeds: the changes since an offset, or the whole
// feed.
func (n *Node) sendMissing(now time.Time, to string, era uint64, lacks map[follower.Feed]int64) {
	for name, offset := range lacks {
		f, from := n.feeds[name], follower.Position{Era: era, Offset: offset}
		if f == nil || !f.loaded {
			continue
		}
		if offset != wholeFeed && era == f.next.Era && !from.Before(f.droppedFrom) {
			page := follower.FeedPage{Feed: name, FromMemory: true, From: offset, FromEra: era, Next: f.next.Offset, Era: era,
				Age: now.Sub(f.currentAt), Records: f.changesSince(from)}
			n.send(to, &messenger.Message{FeedPages: []follower.FeedPage{page}})
			continue
		}
		n.send(to, f.listing(now, name))
	}
}

// cachedListing is a listing that is reused for several hosts, so that it is encoded once: many
// hosts request it together after a restart of the fleet. Some 80 hosts of a zone do so within a
// second, and encoding 3,000 upstreams takes 10 ms of a core.
type cachedListing struct {
	message *messenger.Message
	made    time.Time
}

// listingTTL is how long a listing is reused. Receivers request later changes by offset.
const listingTTL = 400 * time.Millisecond

func (f *feed) listing(now time.Time, name follower.Feed) *messenger.Message {
	if f.cached.message != nil && now.Sub(f.cached.made) < listingTTL {
		return f.cached.message
	}
	page := follower.FeedPage{Feed: name, Full: true, Next: f.next.Offset, Era: f.next.Era, Age: now.Sub(f.currentAt) + listingTTL}
	for _, r := range f.newest {
		page.Records = append(page.Records, r.Record)
	}
	f.cached = cachedListing{message: &messenger.Message{FeedPages: []follower.FeedPage{page}}, made: now}
	return f.cached.message
}

// store keeps the newest record of a key, for hosts that request it.
func (f *feed) store(r follower.Record, content uint32, changed bool) {
	if f.newestAt.Before(r.Position()) {
		f.newestAt = r.Position()
	}
	if len(r.Value) == 0 {
		f.drop(r.Key, r.Position())
		delete(f.unreadableLogged, r.Key)
		delete(f.outdatedLogged, r.Key)
		return
	}
	next := keyRecord{Record: r, changed: r.Position(), content: content}
	old, ok := f.newest[r.Key]
	if ok && !changed {
		next.changed = old.changed
	}
	f.digest += content - old.content
	f.bytes += len(r.Value) - len(old.Value)
	f.newest[r.Key] = next
	delete(f.dropped, r.Key)
}

// maxDropped bounds the number of removed keys kept. A host that lacks more requests the whole
// feed.
const maxDropped = 4096

// drop removes the record of a key.
func (f *feed) drop(key string, at follower.Position) {
	f.digest -= f.newest[key].content
	f.bytes -= len(f.newest[key].Value)
	delete(f.newest, key)
	if len(f.dropped) >= maxDropped {
		clear(f.dropped)
		f.droppedFrom = follower.Position{Era: at.Era, Offset: at.Offset + 1}
	}
	f.dropped[key] = at
}

// changesSince returns the records and removals that changed the state at or after a position.
func (f *feed) changesSince(from follower.Position) []follower.Record {
	var out []follower.Record
	for _, r := range f.newest {
		if !r.changed.Before(from) {
			out = append(out, r.Record)
		}
	}
	for key, at := range f.dropped {
		if !at.Before(from) {
			out = append(out, follower.Record{Key: key, Offset: at.Offset, Era: at.Era})
		}
	}
	return out
}

// receivePages applies pages that another host sent.
func (n *Node) receivePages(now time.Time, from string, pages []follower.FeedPage) {
	for _, page := range pages {
		f, ok := n.feeds[page.Feed]
		if !ok || page.Full && f.loaded && !page.End().After(f.next) {
			continue
		}
		n.observeEra(now, page.Era)
		if !page.Full && !page.FromMemory {
			f.receivedPage = true
			n.state.StoreAnswered(now) // the store has answered another host, so it is reachable
		}
		n.source = pageSource{way: WayPage, host: from, age: page.Age}
		switch {
		case page.FromMemory && !page.End().After(f.next):
			n.source.way = WayComparison
		case page.Full || page.FromMemory:
			n.source.way = WayHandover
		}
		if f.lacksRecords(page) {
			n.notePage(LogPageIncomplete, page, f)
			if now.Sub(f.lastPeerRequest) >= n.askInterval(f) {
				f.requestFrom(n, now, page.Feed, from)
			}
			continue
		}
		n.applyPage(now, page, now.Add(-page.Age))
	}
}
