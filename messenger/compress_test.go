// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package messenger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// newListing returns a message with the feed entries of n upstreams.
func newListing(n int) *Message {
	news := follower.FeedPage{Feed: follower.FeedUpstreams, Full: true, Next: int64(n)}
	for i := range n {
		news.Records = append(news.Records, follower.Record{
			Key: fmt.Sprintf("i-%08x", uint32(i)*2654435761),
			Value: fmt.Appendf(nil, `{"service":"huvo11a","address":"10.128.%d.%d:8080","zone":"sala-kalsa","version":"v1","slots":64,`+
				`"state":"ready","cold_remaining_ms":0,"stage":"colocated","models":[{"name":"daka510000","version":1,"adapters":[]}],"sequence":%d}`, i/250, i%250, i%9),
			Offset: int64(i),
		})
	}
	return &Message{FeedPages: []follower.FeedPage{news}}
}

// TestLongMessagesAreCompressed: long messages are compressed and restored, short ones are not
// compressed.
func TestLongMessagesAreCompressed(t *testing.T) {
	m := newListing(3000)
	b := Encode(m)
	plain := 0
	for _, r := range m.FeedPages[0].Records {
		plain += len(r.Key) + len(r.Value)
	}
	assert.Assert(t, len(b) < plain/10, "%d of %d bytes", len(b), plain)
	got, err := Decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.FeedPages, m.FeedPages)

	b = Encode(&Message{Digest: 7})
	assert.Assert(t, b[0]>>majorTypeShift != compressedMajorType)
	_, err = Decode([]byte{0x43, 1, 2, 3})
	assert.Assert(t, err != nil)
}

// BenchmarkEncodeListing3000 measures the encoding of a listing of a large fleet's upstreams, as sent
// to hosts that start.
func BenchmarkEncodeListing3000(b *testing.B) {
	m := newListing(3000)
	b.ReportAllocs()
	for b.Loop() {
		Encode(m)
	}
}
