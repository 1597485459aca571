// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package freeport finds loopback addresses for processes under test that must know
// each other's addresses before they listen.
//
// # Usage
//
//	addresses, err := freeport.Addresses(5)
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports are drawn from below the range that Linux gives to outgoing connections
// (32768 and above), so that none of those takes a port between the choice and the
// moment when a process listens, or while it is started anew.
const (
	lowest  = 12000
	highest = 32000
)

// Ports are given out of blocks. A process claims a block by listening on its first port as
// long as it runs, so that no other process draws a port that this one has given and on
// which nobody listens yet: of 300 tests that started 15 listeners each, 20 at a time, one
// found its port taken.
const blockPorts = 50

// tries bounds the draws of blocks.
const tries = 200

// block is a claimed range of ports.
type block struct {
	claim net.Listener
	next  int // next is the port that is given next.
	end   int
}

var (
	mu      sync.Mutex
	current = &block{}
	claimed []net.Listener // claimed keeps the claims from being closed as garbage.
)

// Addresses returns n addresses on which nobody listens and which no earlier call has
// returned, in this process or in another that runs.
func Addresses(n int) ([]string, error) {
	mu.Lock()
	defer mu.Unlock()
	var out []string
	for len(out) < n {
		if current.next == current.end {
			b, err := claimBlock()
			if err != nil {
				return nil, err
			}
			current, claimed = b, append(claimed, b.claim)
		}
		address := addressOf(current.next)
		current.next++
		if l, err := net.Listen("tcp4", address); err == nil {
			_ = l.Close() // nothing was accepted there
			out = append(out, address)
		}
	}
	return out, nil
}

// claimBlock draws a block that no process has.
func claimBlock() (*block, error) {
	failed := errors.New("no block was drawn")
	for range tries {
		first := lowest + blockPorts*rand.IntN((highest-lowest)/blockPorts)
		claim, err := net.Listen("tcp4", addressOf(first))
		if err == nil {
			return &block{claim: claim, next: first + 1, end: first + blockPorts}, nil
		}
		failed = err
	}
	return nil, errors.Wrap(failed, "freeport: no block is free")
}

func addressOf(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
