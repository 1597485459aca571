// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import "github.com/cespare/xxhash/v2"

// Rank returns the rendezvous hashing weight of a host for a key. The host with the highest weight
// ranks first.
func Rank(host, key string) uint64 {
	x := xxhash.Sum64String(host) ^ xxhash.Sum64String(key)*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// RankIndex returns the index of a host among hosts in rendezvous order for a key, or -1 if hosts does
// not contain it.
func RankIndex(hosts []string, host, key string) int {
	place, found := 0, false
	own := Rank(host, key)
	for _, o := range hosts {
		if o == host {
			found = true
			continue
		}
		if Rank(o, key) > own {
			place++
		}
	}
	if !found {
		return -1
	}
	return place
}
