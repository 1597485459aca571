// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"errors"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
)

// feed is how far a host knows one feed of the store.
type feed struct {
	known    bool      // known tells that a listing was taken in.
	next     int64     // next is the offset after the last record taken in.
	fresh    time.Time // fresh is when what is known was the newest.
	reading  bool
	failing  bool
	failures int       // failures counts those in a row.
	again    time.Time // again is when the store may be asked after a failure.
	asked    time.Time // asked is when another host was asked last.
	handed   time.Time // handed is when a whole listing was told last; it may have been on the way for long.
	asks     int       // asks counts questions for all of it.
	behind   time.Time // behind is since when another host knows more.
	newest   map[string]known
	dropped  map[string]int64 // dropped are keys whose records were dropped, with the offset of that.
	since    int64            // since is the offset from which on dropped has all.
	shared   handover
	heard    bool                 // heard tells that another host has told a page since this one last read.
	alone    bool                 // alone tells that none did between this host's last two readings.
	noted    map[string]time.Time // noted is when a line was written about an unreadable record of a key.
}

func newFeed() *feed {
	return &feed{newest: make(map[string]known), dropped: make(map[string]int64), noted: make(map[string]time.Time)}
}

// known is the newest record of a key.
type known struct {
	follower.Record
	changed int64 // changed is the offset of the record of the key that last changed beliefs.
}

// readFeed asks the store for more of a feed if that is this host's turn.
func (n *Node) readFeed(now time.Time, name follower.Feed, f *feed) {
	if !f.known {
		n.askTeller(now, name, f)
	}
	if f.reading || now.Before(f.again) || !f.known && n.othersTell(now) {
		return
	}
	r := Read{Feed: name, Full: !f.known, From: f.next}
	if f.known {
		turn := n.turn(name)
		switch {
		case turn == 0 || n.paths().ours && f.goesOn(now):
			r.Wait = n.opts.Timing.Wait // the store answers at the next record
		case now.Sub(f.fresh) < turn || now.Sub(f.handed) < turn:
			return
		default:
			f.heard = false // it takes over, and tells the others so at once
		}
	}
	f.reading = true
	n.do(r)
}

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
	f.failing, f.failures = false, 0
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
	f.failures++
	f.again = now.Add(n.againTime(ev.News.Feed, f.failures))
	n.state.Failed()
}

// take applies a page and remembers the newest record of each key.
func (n *Node) take(now time.Time, news follower.News, asOf time.Time) (told []follower.Record) {
	f := n.feeds[news.Feed]
	if !news.Full && (!f.known || news.From > f.next) {
		return nil // a gap lies between what is known and this page
	}
	for _, r := range news.Records {
		if !news.Full && r.Offset < f.next {
			if f.wasNews(news.Feed, r) {
				told = append(told, r)
			}
			continue // it was taken in before, and perhaps what came after it
		}
		if n.apply(now, news.Feed, f, r) {
			told = append(told, r)
		}
	}
	if news.Full {
		f.handed = now
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

// wasNews tells that a record that another host has told this one before changed beliefs. A
// page that is passed on covers it, and must have it: hosts that did not hear the other one
// would else take the page for all that there was, and keep what they believed.
func (f *feed) wasNews(name follower.Feed, r follower.Record) bool {
	if name != follower.FeedUpstreams || f.dropped[r.Key] >= r.Offset {
		return true
	}
	had, ok := f.newest[r.Key]
	return ok && had.changed >= r.Offset
}

func (n *Node) takeListing(now time.Time, news follower.News, f *feed) {
	f.known, f.since = true, news.Next
	listed := make(map[string]bool, len(news.Records))
	for _, r := range news.Records {
		listed[r.Key] = true
	}
	if news.Feed != follower.FeedUpstreams {
		n.takeBack(now, news, f, listed)
		return // what else operators have said stays in force until they say otherwise
	}
	for key, r := range f.newest {
		if !listed[key] && r.Offset < news.Next {
			f.drop(key, news.Next-1)
		}
	}
	n.do(Note{What: NoteListingApplied, Feed: news.Feed, Offset: news.Next})
	n.viewDirty = n.state.Replace(now, listed, news.Next) || n.viewDirty
}

// unreadable leaves a record out and reports whether others are to hear of it. An upstream
// whose newest entry says nothing is not used, whatever an older one said. Whoever writes
// such entries may do so all the time: each name gets a line every unreadableAgain.
func (n *Node) unreadable(now time.Time, name follower.Feed, f *feed, r follower.Record, err error) (tell bool) {
	dropped := false
	if name == follower.FeedUpstreams {
		f.drop(r.Key, r.Offset)
		dropped = n.state.Drop(r.Key, r.Offset)
		n.viewDirty = n.viewDirty || dropped
	}
	if !dropped && now.Sub(f.noted[r.Key]) < unreadableAgain {
		return false
	}
	f.noted[r.Key] = now
	n.do(Note{What: NoteUnreadable, Feed: name, Key: r.Key, Offset: r.Offset, Err: err})
	return true
}

// unreadableAgain is the least time between two lines about records of one name that
// cannot be read.
const unreadableAgain = 10 * time.Second

// noteOf returns the log line of a record that changed what is believed.
func noteOf(name follower.Feed, r follower.Record, change follower.Change) Note {
	note := Note{What: NoteRecord, Feed: name, Key: r.Key, Offset: r.Offset}
	if e := change.Evacuation; e != nil {
		note.What, note.Key = NoteEvacuated, e.AvailabilityZone
		if e.Over {
			note.What = NoteTakenBack
		}
	}
	return note
}

// takeBack takes back the evacuations that a listing of the operators' feed does not name
// any more: their records were dropped while this host did not read the feed.
func (n *Node) takeBack(now time.Time, news follower.News, f *feed, listed map[string]bool) {
	for key, known := range f.newest {
		dropped := follower.Record{Key: key, Offset: news.Next - 1}
		if listed[key] || known.Offset >= dropped.Offset {
			continue
		}
		if change, err := n.opts.Decoder.Decode(news.Feed, dropped); err == nil && change.Evacuation != nil {
			n.apply(now, news.Feed, f, dropped)
		}
	}
}

// apply takes in a record and reports whether the other hosts are to hear of it: only what
// changes beliefs is passed on, with how far the feed was read. Upstreams write their entries
// every second or so, and nearly all say nothing new: 3,000 upstreams make 2,500 records a
// second, and passed on every 5 s they were 24,700 kB/s at the busiest of 299 hosts.
func (n *Node) apply(now time.Time, name follower.Feed, f *feed, r follower.Record) (tell bool) {
	if old, ok := f.newest[r.Key]; ok && old.Offset >= r.Offset {
		return false
	}
	change, err := n.opts.Decoder.Decode(name, r)
	if err != nil {
		return n.unreadable(now, name, f, r, err)
	}
	changed := n.state.Apply(now, change, r.Offset)
	f.remember(r, changed)
	if changed {
		n.do(noteOf(name, r, change))
		n.viewDirty = true
		return true
	}
	return name != follower.FeedUpstreams || len(r.Value) == 0 // an entry that says nothing new is no news
}
