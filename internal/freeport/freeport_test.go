// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package freeport

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAddressesAreDistinct checks that addresses differ although nothing listens on them yet.
func TestAddressesAreDistinct(t *testing.T) {
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

// TestBlockIsExclusive checks that a claimed block cannot be claimed again, and that ports
// in use within a block are skipped.
func TestBlockIsExclusive(t *testing.T) {
	b, err := claimBlock()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, b.listener.Close()) }()
	_, err = net.Listen("tcp4", addressOf(b.next-1))
	assert.ErrorIs(t, err, syscall.EADDRINUSE)

	taken, err := net.Listen("tcp4", addressOf(b.next))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, taken.Close()) }()
	mu.Lock()
	saved := current
	current = b
	mu.Unlock()
	got, err := Addresses(1)
	mu.Lock()
	current = saved
	mu.Unlock()
	assert.NilError(t, err)
	assert.Equal(t, got[0], addressOf(b.end-blockPorts+2))
}
