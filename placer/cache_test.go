// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSmallPartsAreForgotten guards against a host whose memory callers fill with the names of parts that have few tokens or none.
func TestSmallPartsAreForgotten(t *testing.T) {
	const capacity, parts = 1600, 5000
	for _, tokens := range []int{0, 1, 15, 16, 17} {
		t.Run(fmt.Sprint(tokens), func(t *testing.T) {
			s := cacheEstimate{engine: &target{}, index: make(cacheIndex)}
			for k := range PartKey(parts) {
				s.put(time.Unix(int64(k), 0), k, tokens, capacity)
			}
			assert.Assert(t, len(s.parts) <= capacity/16 && len(s.index) <= capacity/16, "%d, %d", len(s.parts), len(s.index))
			assert.Assert(t, s.has(parts-1))
			for k := range s.parts {
				s.drop(k)
			}
			assert.Equal(t, s.tokens, 0)
		})
	}
}
