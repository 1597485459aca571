// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"errors"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/tracker"
)

// feed is how far a host knows one feed of the store.
type feed struct {
	known   bool      // known tells that a listing was taken in.
	next    int64     // next is the offset after the last record taken in.
	fresh   time.Time // fresh is when what is known was the newest.
	reading bool
	failing bool
	again   time.Time // again is when the store may be asked after a failure.
	asked   time.Time // asked is when another host was asked last.
	behind  time.Time // behind is since when another host knows more.
	newest  map[string]follower.Record
	heard   bool                 // heard tells that another host has told a page since this one last read.
	alone   bool                 // alone tells that none did between this host's last two readings.
	told    map[string]time.Time // told is when the record of a key was last passed on.
}

// tellAgain is the time after which an upstream's entry that says nothing new is passed
// on all the same. Upstreams write theirs every second or so: 165 upstreams made 137
// records a second for every host to read.
const tellAgain = 5 * time.Second

func newFeed() *feed {
	return &feed{newest: make(map[string]follower.Record), told: make(map[string]time.Time)}
}

// readFeed asks the store for more of a feed if that is this host's turn.
func (n *Node) readFeed(now time.Time, name follower.Feed, f *feed) {
	if f.reading || now.Before(f.again) || !f.known && n.othersTell(now) {
		return
	}
	r := Read{Feed: name, Full: !f.known, From: f.next}
	if f.known {
		turn := n.turn(name)
		switch {
		case turn == 0 || f.goesOn(now):
			r.Wait = n.opts.Timing.Wait // the store answers at the next record
		case now.Sub(f.fresh) < turn:
			return
		default:
			f.heard = false // it takes over, and tells the others so at once
		}
	}
	f.reading = true
	n.do(r)
}

// turn is the age from which this host reads a feed itself. The first in rank
// reads all the time, the others when it has been silent for longer than a
// question may wait.
func (n *Node) turn(name follower.Feed) time.Duration {
	t := n.paths()
	if !t.ours {
		return n.opts.Timing.Fresh + lastReader*n.opts.Timing.Step + t.spread()
	}
	place := max(0, tracker.Place(t.active, n.opts.Self.Host, "reader/"+string(name)))
	if place == 0 {
		return 0
	}
	return n.opts.Timing.Fresh + time.Duration(min(place, lastReader))*n.opts.Timing.Step
}

// goesOn tells that this host, which read last, is to go on although others rank before
// it: these have told nothing since. Else a feed whose first reader the store turns away
// is read once in 1.2 s or more.
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
// what the store has: 295 hosts that start at once would ask for it 590 times.
func (n *Node) othersTell(now time.Time) bool {
	if n.found.IsZero() {
		return now.Sub(n.first) < findTime
	}
	t := n.paths()
	return !t.ours && now.Sub(n.found) < n.opts.Timing.StandbyStart+t.spread()
}

// findTime is how long a host that starts waits for the list of the others.
const findTime = 100 * time.Millisecond

func (n *Node) feedRead(now time.Time, ev FeedRead) {
	f := n.feeds[ev.News.Feed]
	f.reading = false
	if ev.Err != nil {
		n.readFailed(now, f, ev)
		return
	}
	if f.failing {
		n.do(Note{What: NoteStoreBack, Feed: ev.News.Feed, Age: now.Sub(f.fresh)})
	}
	f.failing = false
	n.state.Answered(now)
	asOf := covered(now, ev)
	f.alone, f.heard = !ev.News.Full && !f.heard, false
	told := n.take(now, ev.News, asOf)
	f.again = now.Add(n.gatherTime())
	if !ev.News.Full {
		news := ev.News
		news.Age = now.Sub(asOf)
		news.Records = told
		n.broadcast(&messenger.Message{News: []follower.News{news}})
	}
}

func (n *Node) gatherTime() time.Duration {
	if n.paths().small {
		return n.opts.Timing.Gather
	}
	return n.opts.Timing.GatherMany
}

// covered is the time up to which an answer says all. An answer that came after
// the whole wait says that there was no record until the store gave up waiting.
func covered(now time.Time, ev FeedRead) time.Time {
	took := now.Sub(ev.Asked)
	if ev.Wait > 0 && took >= ev.Wait && len(ev.News.Records) == 0 {
		return now.Add(ev.Wait - took)
	}
	return ev.Asked
}

func (n *Node) readFailed(now time.Time, f *feed, ev FeedRead) {
	if errors.Is(ev.Err, follower.ErrForgotten) {
		f.known = false // the newest record of each key is still there
		return
	}
	if !f.failing {
		n.do(Note{What: NoteStoreLost, Feed: ev.News.Feed, Age: now.Sub(f.fresh), Err: ev.Err})
	}
	f.failing = true
	f.again = now.Add(n.againTime())
	n.state.Failed()
}

// standbyAgain is how many times longer a host that stands by waits before it asks a
// store that failed once more: whichever host is answered first tells all.
const standbyAgain = 8

func (n *Node) againTime() time.Duration {
	if n.paths().ours {
		return n.opts.Timing.Again
	}
	return standbyAgain * n.opts.Timing.Again
}

// take applies a page and remembers the newest record of each key.
func (n *Node) take(now time.Time, news follower.News, asOf time.Time) (told []follower.Record) {
	f := n.feeds[news.Feed]
	if !news.Full && (!f.known || news.From > f.next) {
		return nil // a gap lies between what is known and this page
	}
	for _, r := range news.Records {
		if n.apply(now, news.Feed, f, r) {
			told = append(told, r)
		}
	}
	if news.Full {
		n.takeListing(now, news, f)
	}
	if news.Next > f.next {
		f.next, f.behind = news.Next, time.Time{}
	}
	if asOf.After(f.fresh) {
		f.fresh = asOf
		if news.Feed == follower.FeedOperator {
			n.state.Current(asOf)
			n.do(Current{At: asOf})
		}
	}
	return told
}

func (n *Node) takeListing(now time.Time, news follower.News, f *feed) {
	f.known = true
	if news.Feed != follower.FeedUpstreams {
		return // what operators have said stays in force until they say otherwise
	}
	listed := make(map[string]bool, len(news.Records))
	for _, r := range news.Records {
		listed[r.Key] = true
	}
	for key, r := range f.newest {
		if !listed[key] && r.Offset < news.Next {
			delete(f.newest, key)
		}
	}
	n.do(Note{What: NoteListingApplied, Feed: news.Feed, Offset: news.Next})
	n.viewDirty = n.state.Replace(now, listed, news.Next) || n.viewDirty
}

func (n *Node) apply(now time.Time, name follower.Feed, f *feed, r follower.Record) (tell bool) {
	if old, ok := f.newest[r.Key]; ok && old.Offset >= r.Offset {
		return false
	}
	change, err := n.opts.Decoder.Decode(name, r)
	if err != nil {
		n.do(Note{What: NoteUnreadable, Feed: name, Key: r.Key, Offset: r.Offset, Err: err})
		return true
	}
	if len(r.Value) == 0 {
		delete(f.newest, r.Key)
		delete(f.told, r.Key)
	} else {
		f.newest[r.Key] = r
	}
	if n.state.Apply(now, change, r.Offset) {
		n.do(Note{What: NoteRecord, Feed: name, Key: r.Key, Offset: r.Offset})
		n.viewDirty = true
		if len(r.Value) > 0 {
			f.told[r.Key] = now
		}
		return true
	}
	if name == follower.FeedUpstreams && len(r.Value) > 0 && now.Sub(f.told[r.Key]) < tellAgain {
		return false
	}
	if len(r.Value) > 0 {
		f.told[r.Key] = now
	}
	return true
}

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
		waits := f.known || n.paths().ours // a host that stands by asks nobody else
		if waits && now.Sub(f.behind) < n.opts.Timing.Behind || now.Sub(f.asked) < n.opts.Timing.Ask {
			continue
		}
		f.asked = now
		n.send(host, &messenger.Message{Wants: []string{wantOf(name)}})
	}
}

// wantOf names a feed in a question to another host.
func wantOf(name follower.Feed) string { return "Feed/" + string(name) }

// wantStores asks for all that a host knows of stores, wantKept for all that it knows of
// kept context.
const (
	wantStores = "Stores"
	wantKept   = "Kept"
)

func (n *Node) askStores(now time.Time, host string) {
	if now.Sub(n.lastStores) < n.opts.Timing.Ask {
		return
	}
	n.lastStores = now
	n.send(host, &messenger.Message{Wants: []string{wantStores}})
}

// answerWants hands over what another host asks for.
func (n *Node) answerWants(now time.Time, to string, wants []string) {
	if slices.Contains(wants, wantStores) {
		n.send(to, &messenger.Message{Stores: n.opts.Stores()})
	}
	if slices.Contains(wants, wantKept) {
		n.send(to, n.kept())
	}
	for name, f := range n.feeds {
		if !f.known || !slices.Contains(wants, wantOf(name)) {
			continue
		}
		news := follower.News{Feed: name, Full: true, Next: f.next, Age: now.Sub(f.fresh)}
		for _, r := range f.newest {
			news.Records = append(news.Records, r)
		}
		n.send(to, &messenger.Message{News: []follower.News{news}})
	}
}

// hear takes in pages that another host has read.
func (n *Node) hear(now time.Time, pages []follower.News) {
	for _, news := range pages {
		f, ok := n.feeds[news.Feed]
		if !ok || news.Full && f.known && news.Next <= f.next {
			continue
		}
		if !news.Full {
			f.heard = true
			n.state.Answered(now) // it has answered another host, so it is there
		}
		n.take(now, news, now.Add(-news.Age))
	}
}
