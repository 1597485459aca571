// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFleet guards against hosts that don't converge, or too slowly, after each scenario, and
// against traffic of idle standby hosts and full listings that grow with the number of hosts.
func TestFleet(t *testing.T) {
	const limit = 5 * time.Second
	const changeBound = 4 * time.Second // within which a change is in force everywhere
	var idle, listed []float64
	for _, hosts := range []int{40, 80} {
		o := FleetOptions{Hosts: hosts, Upstreams: 10 * hosts, Zones: 3, Large: 3, LinkMbps: 20, Series: 3, Seed: 1}
		for _, r := range Fleet(o) {
			assert.Assert(t, r.ConvergedAfter > 0, "%d hosts do not converge after %s", hosts, r.Scenario)
			switch r.Scenario {
			case FleetStart:
				assert.Assert(t, r.ConvergedAfter <= limit,
					"%d hosts converge %s after their start", hosts, r.ConvergedAfter)
				listed = append(listed, float64(r.StoreBytes)/float64(o.Upstreams*fleetEntryBytes))
			case FleetChange, FleetStorm:
				assert.Assert(t, r.ConvergedAfter <= time.Second,
					"%d hosts converge %s after %s", hosts, r.ConvergedAfter, r.Scenario)
			case FleetLoss:
				assert.Assert(t, r.ConvergedAfter <= changeBound,
					"%d hosts converge %s after %s", hosts, r.ConvergedAfter, r.Scenario)
			case FleetIdle:
				idle = append(idle, r.Standby.BytesPerSecond)
			}
		}
	}
	assert.Assert(t, idle[1] <= 1.2*idle[0], "bytes per second of a standby host: %v", idle)
	assert.Assert(t, listed[1] <= 2.5, "full listings read: %v", listed)
}
