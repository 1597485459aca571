// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/placer"
)

// TestWorkIsCountedOnce: each active host counts every other host's load exactly once, whether it
// arrives directly, within cells or in the relays' sums.
func TestWorkIsCountedOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		hosts  int
		use    float64
		active int
	}{
		{"all to all", 5, 0, 5},
		{"three of each zone", 40, 0, 9},
		{"a few of each zone", 99, 0, 18},
		{"all serve, one cell a zone", 60, 0.9, 60},
		{"all serve, two cells a zone", 99, 0.9, 99},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(test.hosts)
			c.use = test.use
			c.write(follower.FeedOperator, "config", "version 1")
			c.run(6 * time.Second)
			for _, s := range c.nodes {
				s.reports = make(map[string]placer.Report) // reports count for 1.5 s
			}
			c.run(1500 * time.Millisecond)
			for _, s := range c.nodes {
				topo := s.node.topology()
				assert.Equal(t, len(topo.active), test.active, "%s", s.name)
				assert.Assert(t, len(topo.cell()) <= maxCellHosts)
				if !topo.selfActive {
					continue
				}
				total := 0
				for _, r := range s.reports {
					total += r.Work["engine"].Requests
				}
				assert.Equal(t, total, test.hosts-1, "%s", s.name)
			}
		})
	}
}

// TestCells: each member is in one cell, and adding or removing a host moves few members.
func TestCells(t *testing.T) {
	var members []string
	for i := range 100 {
		members = append(members, fmt.Sprint("host-", i))
	}
	cellIndex := func(members []string) map[string]int {
		out := make(map[string]int)
		for i, cell := range divideCells(members) {
			assert.Assert(t, len(cell) <= maxCellHosts)
			for _, m := range cell {
				_, twice := out[m]
				assert.Assert(t, !twice, m)
				out[m] = i
			}
		}
		assert.Equal(t, len(out), len(members))
		return out
	}
	all, fewer := cellIndex(members), cellIndex(members[1:])
	moved := 0
	for m, cell := range fewer {
		if all[m] != cell {
			moved++
		}
	}
	assert.Assert(t, moved <= 4, "%d of 99 hosts are in another cell", moved)
	assert.Equal(t, len(divideCells(nil)), 0)
}
