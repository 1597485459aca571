// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package activator

import (
	"testing"

	"amaranthgate.example/amaranthgate/tracker"
)

// BenchmarkSelect410 measures a selection in a large fleet, which hosts repeat on each
// change of the hosts.
func BenchmarkSelect410(b *testing.B) {
	var f fleet
	for _, zone := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		for _, cores := range []float64{0.8, 0.2} {
			f = append(f, struct {
				Zone  string
				Hosts int
				Cores float64
				State tracker.HostState
			}{zone, 26, cores, tracker.HostLive})
		}
	}
	hosts := f.records()[:410]
	use := map[string]float64{"a": 0.9, "b": 0.5}
	b.ReportAllocs()
	for b.Loop() {
		Select(hosts, use)
	}
}
