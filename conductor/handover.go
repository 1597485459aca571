// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
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
