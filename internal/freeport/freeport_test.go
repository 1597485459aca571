// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package freeport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNoneIsGivenTwice: processes that do not listen yet get different addresses.
func TestNoneIsGivenTwice(t *testing.T) {
	seen := make(map[string]bool)
	for range 200 {
		addresses, err := Addresses(5)
		assert.NilError(t, err)
		for _, a := range addresses {
			assert.Assert(t, !seen[a], a)
			seen[a] = true
		}
	}
}
