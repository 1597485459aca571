// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFleet: hosts that start together agree within 5 s, and so they do after each of what befalls
// them. Twice as many hosts cost each that stands by no more while nothing happens, and the store
// no more listings.
func TestFleet(t *testing.T) {
	const agree = 5 * time.Second
	var idle, listed []float64
	for _, hosts := range []int{40, 80} {
		o := FleetOptions{Hosts: hosts, Upstreams: 10 * hosts, Zones: 3, Large: 3, LinkMbps: 20, Series: 3, Seed: 1}
		for _, r := range Fleet(o) {
			assert.Assert(t, r.Took > 0, "%d hosts do not agree after %s", hosts, r.Scene)
			switch r.Scene {
			case FleetStart:
				assert.Assert(t, r.Took <= agree, "%d hosts agree %s after their start", hosts, r.Took)
				listed = append(listed, float64(r.StoreBytes)/float64(o.Upstreams*fleetEntry))
			case FleetChange, FleetStorm:
				assert.Assert(t, r.Took <= time.Second, "%d hosts agree %s after %s", hosts, r.Took, r.Scene)
			case FleetIdle:
				idle = append(idle, r.Standby.Bytes)
			}
		}
	}
	assert.Assert(t, idle[1] <= 1.2*idle[0], "bytes of a host that stands by: %v", idle)
	assert.Assert(t, listed[1] <= 2.5, "listings read: %v", listed)
}
