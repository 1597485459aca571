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

// tries bounds the draws for one address.
const tries = 200

// given has the ports that were returned, so that none is returned twice before
// somebody listens there.
var (
	mu    sync.Mutex
	given = make(map[int]bool)
)

// Addresses returns n addresses on which nobody listens and which no earlier call has
// returned.
func Addresses(n int) ([]string, error) {
	mu.Lock()
	defer mu.Unlock()
	var out []string
	for range n {
		address, err := free()
		if err != nil {
			return nil, err
		}
		out = append(out, address)
	}
	return out, nil
}

// free draws one address; mu is held.
func free() (string, error) {
	failed := errors.New("all drawn ports were given before")
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		if given[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			failed = err
			continue
		}
		given[port] = true
		return address, l.Close()
	}
	return "", errors.Wrap(failed, "freeport: no port is free")
}
