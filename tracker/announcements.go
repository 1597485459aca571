// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

// Announcements is a page of the records that hosts have written to the store for discovery.
type Announcements struct {
	Records map[string][]byte // Records holds the encoded host records by name of the announcement.
	Next    string            // Next is the name after which the next page begins; empty on the last page.
	End     int64             // End is the offset after the newest announcement.
	Era     uint64            // Era is that of End.
}
