// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package prober

import "math/rand/v2"

// minOutside is the least number of failures outside each service and each availability zone.
const minOutside = 2

// coverage counts a set of upstreams by service and availability zone.
type coverage struct {
	known          []Upstream
	byAddress      map[string]Upstream
	added          map[string]bool
	services       map[string]int // services counts the added upstreams of each service, and zones those of each zone.
	zones          map[string]int
	knownInService map[string]int
	knownInZone    map[string]int
}

func newCoverage(known []Upstream) *coverage {
	c := &coverage{
		known: known, byAddress: make(map[string]Upstream, len(known)), added: make(map[string]bool),
		services: make(map[string]int), zones: make(map[string]int),
		knownInService: make(map[string]int), knownInZone: make(map[string]int),
	}
	for _, u := range known {
		if _, again := c.byAddress[u.Address]; again {
			continue
		}
		c.byAddress[u.Address] = u
		c.knownInService[u.Service]++
		c.knownInZone[u.AvailabilityZone]++
	}
	return c
}

// add adds an upstream, unless it is not known.
func (c *coverage) add(address string) {
	u, ok := c.byAddress[address]
	if !ok || c.added[address] {
		return
	}
	c.added[address] = true
	c.services[u.Service]++
	c.zones[u.AvailabilityZone]++
}

// shows reports whether failures of the added upstreams show a cut: there are enough, and no single service or
// availability zone explains them.
func (c *coverage) shows(minFailed int) bool {
	return len(c.added) >= minFailed &&
		c.spread(c.services, c.knownInService) && c.spread(c.zones, c.knownInZone)
}

// spread reports whether enough of the added upstreams are outside each group.
func (c *coverage) spread(added, known map[string]int) bool {
	for group, n := range added {
		if len(c.added)-n < min(minOutside, len(c.byAddress)-known[group]) {
			return false
		}
	}
	return true
}

// next returns a random upstream among those of the services and zones with the fewest added ones.
func (c *coverage) next(rng *rand.Rand, eligible func(u Upstream) bool) (Upstream, bool) {
	var best Upstream
	ties, bestScore := 0, 0
	for _, u := range c.known {
		if c.added[u.Address] || !eligible(u) {
			continue
		}
		score := c.services[u.Service] + c.zones[u.AvailabilityZone]
		if ties == 0 || score < bestScore {
			best, bestScore, ties = u, score, 1
			continue
		}
		if score == bestScore {
			ties++
			if rng.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best, ties > 0
}
