// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import "maps"

// mostShared bounds how many different weights are shared. Nearly all upstreams have one of a few;
// a map of its own for each of 10,000 takes 2.5 MB.
const mostShared = 16

// sharedWeights has the weights that upstreams have lately had, each once. They are not changed.
type sharedWeights []map[string]uint64

// share returns weights that are the same.
func (s *sharedWeights) share(w map[string]uint64) map[string]uint64 {
	for _, had := range *s {
		if maps.Equal(had, w) {
			return had
		}
	}
	if len(*s) == mostShared {
		*s = append((*s)[:0], (*s)[1:]...)
	}
	*s = append(*s, w)
	return w
}
