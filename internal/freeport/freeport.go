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

// Addresses returns n different addresses on which nobody listens.
func Addresses(n int) ([]string, error) {
	var out []string
	for range n {
		address, hold, err := free()
		if err != nil {
			return nil, err
		}
		defer hold() // so that the next draws find it taken
		out = append(out, address)
	}
	return out, nil
}

func free() (string, func(), error) {
	var failed error
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(highest-lowest))
		l, err := net.Listen("tcp4", address)
		if err == nil {
			return address, func() { _ = l.Close() }, nil
		}
		failed = err
	}
	return "", nil, fmt.Errorf("freeport: no port is free: %w", failed)
}
