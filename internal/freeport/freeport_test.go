// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package freeport

import (
	"net"
	"syscall"
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

// TestBlocksAreClaimed: while a process runs, no other can claim its block, and one whose ports
// are in use otherwise gives the rest.
func TestBlocksAreClaimed(t *testing.T) {
	b, err := claimBlock()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, b.claim.Close()) }()
	_, err = net.Listen("tcp4", addressOf(b.next-1))
	assert.ErrorIs(t, err, syscall.EADDRINUSE)

	taken, err := net.Listen("tcp4", addressOf(b.next))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, taken.Close()) }()
	mu.Lock()
	before := current
	current = b
	mu.Unlock()
	got, err := Addresses(1)
	mu.Lock()
	current = before
	mu.Unlock()
	assert.NilError(t, err)
	assert.Equal(t, got[0], addressOf(b.end-blockPorts+2))
}
