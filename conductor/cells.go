// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"cmp"
	"slices"

	"amaranthgate.example/amaranthgate/tracker"
)

// maxCellHosts is the largest number of hosts that report their load to each other directly.
const maxCellHosts = 32

// divideCells divides the hosts of a zone into cells of about equal size. Hosts with different
// views of the fleet may divide it differently; until the views agree, they learn each other's load
// from the relays' sums.
func divideCells(members []string) [][]string {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Compare(tracker.Rank(a, "cell"), tracker.Rank(b, "cell"))
	})
	n := (len(sorted) + maxCellHosts - 1) / maxCellHosts
	cells := make([][]string, n)
	for i := range cells {
		cells[i] = sorted[i*len(sorted)/n : (i+1)*len(sorted)/n]
	}
	return cells
}
