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

// offsets tells how far this host knows the feeds.
func (n *Node) offsets() map[follower.Feed]int64 {
	out := make(map[follower.Feed]int64, len(n.feeds))
	for name, f := range n.feeds {
		if f.known {
			out[name] = f.next
		}
	}
	return out
}

// compare notices that another host knows more. A question to the store may hang
// on a path that was cut, so this host asks the other one instead of waiting.
func (n *Node) compare(now time.Time, host string, offsets map[follower.Feed]int64) {
	for name, theirs := range offsets {
		f := n.feeds[name]
		if f == nil || f.known && theirs <= f.next {
			continue
		}
		if f.behind.IsZero() {
			f.behind = now
		}
		if now.Sub(f.behind) < n.opts.Timing.Behind || now.Sub(f.asked) < n.askAgain(f) || !f.known && !n.mayAsk(now) {
			continue
		}
		f.ask(n, now, name, host)
	}
}

// ask asks another host for what this one lacks of a feed.
func (f *feed) ask(n *Node, now time.Time, name follower.Feed, host string) {
	f.asked = now
	from := int64(allOfIt)
	if f.known {
		from = f.next
	} else {
		f.asks++
	}
	n.send(host, &messenger.Message{Lacks: map[follower.Feed]int64{name: from}})
}

// askTeller asks a host that is known to have all that the store has. Without it a listing goes
// from neighbour to neighbour, a heartbeat and a transfer each, and between availability zones as
// often as within them.
func (n *Node) askTeller(now time.Time, name follower.Feed, f *feed) {
	if n.paths().small || now.Sub(f.asked) < n.askAgain(f) {
		return
	}
	if teller := n.teller(now); teller != "" {
		f.ask(n, now, name, teller)
	}
}

// teller returns the host to ask for all that the store has: one that is ready, of this host's
// availability zone, and another one for each host that asks.
func (n *Node) teller(now time.Time) string {
	t := n.paths()
	ready := n.ready(t.serving.Zones[n.opts.Self.AvailabilityZone])
	if len(ready) == 0 && (t.ours || now.Sub(n.first) >= farTeller) {
		ready = n.ready(t.active)
	}
	if len(ready) == 0 {
		return ""
	}
	return ready[tracker.Rank(n.opts.Self.Host, "teller")%uint64(len(ready))]
}

// farTeller is how long after its start a host that stands by asks none of another zone.
const farTeller = 3 * time.Second

func (n *Node) ready(hosts []string) []string {
	var out []string
	for _, h := range hosts {
		if r, ok := n.hosts.Lookup(h); ok && r.Ready && h != n.opts.Self.Host {
			out = append(out, h)
		}
	}
	return out
}

// mayAsk tells that a host that knows nothing may ask another one that knows something: in a large
// fleet those that stand by ask tellers.
func (n *Node) mayAsk(now time.Time) bool {
	t := n.paths()
	return t.small || t.ours || now.Sub(n.first) >= farTeller
}

// allOfIt stands for the offset from which on a host that knows nothing lacks a feed.
const allOfIt = -1

// askAgain is the least time between two questions for a feed. A whole listing takes a
// second to a narrow link, and asked for again meanwhile it takes longer.
func (n *Node) askAgain(f *feed) time.Duration {
	if f.known || n.paths().small {
		return n.opts.Timing.Ask
	}
	return n.opts.Timing.AskAll << min(f.asks, mostDoublings)
}

// mostDoublings bounds how often the time to the next question for a whole listing doubles.
const mostDoublings = 3

// What one host asks of another besides pages.
const (
	wantStores   = "Stores"   // wantStores asks for all that it knows of stores.
	wantKept     = "Kept"     // wantKept asks for all that it knows of kept context.
	wantAnnounce = "Announce" // wantAnnounce asks it to announce itself.
)

func (n *Node) askStores(now time.Time, host string) {
	if now.Sub(n.lastStores) < n.opts.Timing.Ask {
		return
	}
	n.lastStores = now
	n.send(host, &messenger.Message{Wants: []string{wantStores}})
}

// answerWants hands over what another host asks for.
func (n *Node) answerWants(to string, wants []string) {
	if slices.Contains(wants, wantStores) {
		n.send(to, &messenger.Message{Stores: n.opts.Stores()})
	}
	if slices.Contains(wants, wantKept) {
		n.send(to, n.kept())
	}
	if slices.Contains(wants, wantAnnounce) {
		n.do(Announce{})
	}
}

// handOver tells another host what it lacks of feeds: what changed since, or all.
func (n *Node) handOver(now time.Time, to string, lacks map[follower.Feed]int64) {
	for name, from := range lacks {
		f := n.feeds[name]
		if f == nil || !f.known {
			continue
		}
		if from >= f.since {
			news := follower.News{Feed: name, Kept: true, From: from, Next: f.next, Age: now.Sub(f.fresh), Records: f.changes(from)}
			n.send(to, &messenger.Message{News: []follower.News{news}})
			continue
		}
		n.send(to, f.handOver(now, name))
	}
}

// handover is a whole listing as it was last told. It is used again for a while: after a
// loss of all, some 80 hosts of a zone ask for it within a second, and encoding what is
// known of 3,000 upstreams takes 10 ms of a whole core.
type handover struct {
	message *messenger.Message
	made    time.Time
}

// handoverLife is how long a listing is told again. What has changed since is asked for
// by its offset.
const handoverLife = 400 * time.Millisecond

func (f *feed) handOver(now time.Time, name follower.Feed) *messenger.Message {
	if f.shared.message != nil && now.Sub(f.shared.made) < handoverLife {
		return f.shared.message
	}
	news := follower.News{Feed: name, Full: true, Next: f.next, Age: now.Sub(f.fresh) + handoverLife}
	for _, r := range f.newest {
		news.Records = append(news.Records, r.Record)
	}
	f.shared = handover{message: &messenger.Message{News: []follower.News{news}}, made: now}
	return f.shared.message
}

// remember keeps the newest record of a key, for hosts that ask.
func (f *feed) remember(r follower.Record, changed bool) {
	if len(r.Value) == 0 {
		f.drop(r.Key, r.Offset)
		delete(f.noted, r.Key)
		return
	}
	next := known{Record: r, changed: r.Offset}
	if had, ok := f.newest[r.Key]; ok && !changed {
		next.changed = had.changed
	}
	f.newest[r.Key] = next
	delete(f.dropped, r.Key)
}

// mostDropped bounds how many dropped keys are remembered. A host that lacks more asks
// for the whole listing.
const mostDropped = 4096

// drop forgets the record of a key.
func (f *feed) drop(key string, offset int64) {
	delete(f.newest, key)
	if len(f.dropped) >= mostDropped {
		clear(f.dropped)
		f.since = offset + 1
	}
	f.dropped[key] = offset
}

// changes returns the records, and the drops, by which beliefs have changed from an offset
// on.
func (f *feed) changes(from int64) []follower.Record {
	var out []follower.Record
	for _, r := range f.newest {
		if r.changed >= from {
			out = append(out, r.Record)
		}
	}
	for key, offset := range f.dropped {
		if offset >= from {
			out = append(out, follower.Record{Key: key, Offset: offset})
		}
	}
	return out
}

// hear takes in pages that another host has read.
func (n *Node) hear(now time.Time, pages []follower.News) {
	for _, news := range pages {
		f, ok := n.feeds[news.Feed]
		if !ok || news.Full && f.known && news.Next <= f.next {
			continue
		}
		if !news.Full && !news.Kept {
			f.heard = true
			n.state.Answered(now) // it has answered another host, so it is there
		}
		n.take(now, news, now.Add(-news.Age))
	}
}
