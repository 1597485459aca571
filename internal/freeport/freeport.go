// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package freeport allocates loopback addresses for processes under test that must
// know each other's addresses before they listen.
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

// Ports lie below Linux's default ephemeral range (32768 and above), so that no
// outgoing connection takes a port before a process listens on it.
const (
	minPort = 12000
	maxPort = 32000
)

// blockPorts is the number of ports in a block. A process claims a block by listening on
// its first port until the process exits, so that no other process allocates from it.
const blockPorts = 50

const maxClaimAttempts = 200

// block is a claimed range of ports.
type block struct {
	listener net.Listener // listener is on the first port and claims the block.
	next     int          // next is the next port to allocate.
	end      int
}

var (
	mu        sync.Mutex
	current   = &block{}
	listeners []net.Listener // listeners protects the claims from garbage collection.
)

// Addresses returns n addresses that are not in use and that no earlier call has
// returned, in this process or in another running one.
func Addresses(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := Listen()
		if err != nil {
			return nil, err
		}
		out = append(out, l.Addr().String())
		_ = l.Close() // nothing was accepted there
	}
	return out, nil
}

// Listen listens on such an address. Listening on one that Addresses has returned may fail for a
// moment: a process that is forked meanwhile holds the port until it executes its program.
func Listen() (net.Listener, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		if current.next == current.end {
			b, err := claimBlock()
			if err != nil {
				return nil, err
			}
			current, listeners = b, append(listeners, b.listener)
		}
		address := addressOf(current.next)
		current.next++
		if l, err := net.Listen("tcp4", address); err == nil {
			return l, nil
		}
	}
}

// claimBlock claims a random block that no running process has claimed.
func claimBlock() (*block, error) {
	lastErr := errors.New("no block was tried")
	for range maxClaimAttempts {
		first := minPort + blockPorts*rand.IntN((maxPort-minPort)/blockPorts)
		l, err := net.Listen("tcp4", addressOf(first))
		if err == nil {
			return &block{listener: l, next: first + 1, end: first + blockPorts}, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "freeport: no free block of ports")
}

func addressOf(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
