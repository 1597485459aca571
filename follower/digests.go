// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

// Digests holds the digests of the records that a host holds of each feed; 0 for a feed that it does not know. Hosts send
// them every second to each neighbour, so that the encoding is short.
type Digests struct {
	Operator  uint32 `cbor:"1,keyasint,omitempty"`
	Upstreams uint32 `cbor:"2,keyasint,omitempty"`
}

// Of returns the digest of a feed.
func (d Digests) Of(f Feed) uint32 {
	if f == FeedOperator {
		return d.Operator
	}
	return d.Upstreams
}

// With returns d with the digest of a feed replaced.
func (d Digests) With(f Feed, digest uint32) Digests {
	if f == FeedOperator {
		d.Operator = digest
	} else {
		d.Upstreams = digest
	}
	return d
}
