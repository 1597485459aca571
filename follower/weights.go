// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import "maps"

// maxInternedWeights bounds the number of interned maps. Nearly all upstreams have one of a few
// combinations of weight versions. A map of its own for each of 10,000 upstreams takes 2.5 MB.
const maxInternedWeights = 16

// weightsInterner holds the last maps of weight versions added to it, oldest first, to let upstreams
// share equal ones. The maps must not be changed.
type weightsInterner []map[string]uint64

// intern returns an interned map that equals w, which becomes interned itself if there is none.
func (s *weightsInterner) intern(w map[string]uint64) map[string]uint64 {
	for _, interned := range *s {
		if maps.Equal(interned, w) {
			return interned
		}
	}
	if len(*s) == maxInternedWeights {
		*s = append((*s)[:0], (*s)[1:]...)
	}
	*s = append(*s, w)
	return w
}
