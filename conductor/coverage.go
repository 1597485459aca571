// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import "amaranthgate.example/amaranthgate/follower"

// lacksRecords reports whether a page of the operators' feed has not all records between the known ones and its end. Of
// the upstreams' feed, pages have only the records that changed something.
func (f *feed) lacksRecords(page follower.FeedPage) bool {
	if page.Feed != follower.FeedOperator || page.Full || page.FromMemory || page.AcrossEras() || page.Era != f.next.Era {
		return false
	}
	covered := make(map[int64]bool, len(page.Records))
	for _, r := range page.Records {
		covered[r.Offset] = true
	}
	for at := max(page.From, f.next.Offset); at < page.Next; at++ {
		if !covered[at] {
			return true
		}
	}
	return false
}

// notePage logs a page that another host sent, or that this one read, with what is known of its feed.
func (n *Node) notePage(kind LogKind, page follower.FeedPage, f *feed) {
	n.emit(LogEvent{Kind: kind, Feed: page.Feed, Host: n.source.host, Way: n.source.way, Offset: page.Next, Era: page.Era,
		From: page.From, Before: f.next, Records: len(page.Records), Age: n.source.age})
}
