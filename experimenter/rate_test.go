// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRateLimitHoldsOverAllHosts checks in virtual time that all hosts together stay within a declared
// rate limit whatever happens to them, and use it while nothing does.
func TestRateLimitHoldsOverAllHosts(t *testing.T) {
	const leastUse = 0.9
	for _, hosts := range []int{1, 4, 8, 60} {
		for _, limit := range []float64{0.3, 1, 2.7, 20} {
			for _, scenario := range RateScenarios {
				t.Run(fmt.Sprint(hosts, "/", limit, "/", scenario), func(t *testing.T) {
					r := Rate(RateOptions{
						Scenario: scenario, Hosts: hosts, Limit: limit, Demand: 10 * limit, Deadline: 3 * time.Second,
						For: 30 * time.Second, Seed: 1,
					})
					assert.Equal(t, len(r.Violations), 0, "%v", r.Violations)
					if scenario == RateSteady && limit > 1 {
						assert.Assert(t, r.Use >= leastUse, "%v", r.Use)
					}
				})
			}
		}
	}
}
