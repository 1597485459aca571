// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"cmp"
	"slices"

	"amaranthgate.example/amaranthgate/tracker"
)

// cellHosts is the largest number of hosts that tell each other directly what they
// have under way. With 24, each sends 58 reports a second in turn and two for each
// long prompt to each of the others.
const cellHosts = 32

// cellsOf divides the hosts of a zone into cells of about the same size. Hosts that
// see others as live than their neighbours do may put some into another cell; these
// hear of the neighbours' work by sums meanwhile.
func cellsOf(members []string) [][]string {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b string) int {
		return cmp.Compare(tracker.Rank(a, "cell"), tracker.Rank(b, "cell"))
	})
	n := (len(sorted) + cellHosts - 1) / cellHosts
	cells := make([][]string, n)
	for i := range cells {
		cells[i] = sorted[i*len(sorted)/n : (i+1)*len(sorted)/n]
	}
	return cells
}
