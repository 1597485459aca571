// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
)

// TestWorkIsCountedOnce: whether hosts hear of each other's work directly, by cells or
// by the sums of relays, each of them counts every other's exactly once.
func TestWorkIsCountedOnce(t *testing.T) {
	for _, hosts := range []int{5, 40, 99} { // all to all, one cell a zone, two cells a zone
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := newCluster(hosts)
			c.write(follower.FeedOperator, "config", "version 1")
			c.run(4 * time.Second)
			for _, s := range c.nodes {
				sum := 0
				for _, r := range s.reports {
					sum += r.Work["engine"].Requests
				}
				assert.Equal(t, sum, hosts-1, "%s", s.name)
				assert.Assert(t, len(s.node.paths().cell()) <= cellHosts)
			}
		})
	}
}

// TestCells: each member is in one cell, whoever divides them, and one host more or
// less moves few of them.
func TestCells(t *testing.T) {
	var members []string
	for i := range 100 {
		members = append(members, fmt.Sprint("host-", i))
	}
	where := func(members []string) map[string]int {
		out := make(map[string]int)
		for i, cell := range cellsOf(members) {
			assert.Assert(t, len(cell) <= cellHosts)
			for _, m := range cell {
				_, twice := out[m]
				assert.Assert(t, !twice, m)
				out[m] = i
			}
		}
		assert.Equal(t, len(out), len(members))
		return out
	}
	all, less := where(members), where(members[1:])
	moved := 0
	for m, cell := range less {
		if all[m] != cell {
			moved++
		}
	}
	assert.Assert(t, moved <= 4, "%d of 99 hosts are in another cell", moved)
	assert.Equal(t, len(cellsOf(nil)), 0)
}
