// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

// Announcements is a page of what hosts have written for others to find them.
type Announcements struct {
	Cards map[string][]byte // Cards are the records of hosts, as written, by name of the announcement.
	Next  string            // Next is the name behind which the next page begins; empty if none follows.
	End   int64             // End is the offset after the newest announcement.
}
