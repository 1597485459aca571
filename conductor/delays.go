// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// Figures of messages that come late. After a host stood still, or a path between two
// hosts did, all that was said meanwhile arrives at once, each message as if it had just
// been sent. What is in them holds; that it is the newest does not. Without this a host
// that had stood still for 3 s took replaced weights for in force until its waking, and
// fetched context of theirs while it was freed.
const (
	// delayGap is the silence of another host after which its messages may be old.
	// Hosts speak every 0.2 s or more often.
	delayGap = 600 * time.Millisecond
	// delayDoubt is how long what comes after such a silence may be old.
	delayDoubt = 300 * time.Millisecond
	// unknownAge stands for the age of what may be old: older than any that counts.
	unknownAge = 24 * time.Hour
)

// delays remembers when each host was heard, to know messages that come late.
type delays map[string]*heard

type heard struct {
	last  time.Time
	doubt time.Time // doubt is until when what comes may be old.
}

// late notes a message of a host and tells whether it may have been sent long before.
func (d delays) late(now time.Time, host string) bool {
	h := d[host]
	if h == nil {
		h = &heard{}
		d[host] = h
	}
	if now.Sub(h.last) > delayGap {
		h.doubt = now.Add(delayDoubt)
	}
	h.last = now
	return now.Before(h.doubt)
}

// undated returns pages whose ages are not known.
func undated(pages []follower.News) []follower.News {
	out := make([]follower.News, len(pages))
	for i, p := range pages {
		p.Age = unknownAge
		out[i] = p
	}
	return out
}
