// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxIdentities bounds the requests with an ID that a connection carries. It is closed afterwards, since it must know
// all of them.
const maxIdentities = 256

// identities are hashes of the IDs of the requests that a connection has carried. Two IDs with one hash only cost
// another connection.
type identities []uint64

// has reports whether a request with an ID was carried; false for an empty ID.
func (s identities) has(id string) bool {
	return id != "" && slices.Contains(s, xxhash.Sum64String(id))
}

// with returns s with an ID; an empty ID changes nothing.
func (s identities) with(id string) identities {
	if id == "" {
		return s
	}
	return append(s, xxhash.Sum64String(id))
}
