// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

var (
	drainSeed   = flag.Uint64("drain.first", 1, "first seed of the simulations of hosts that drain")
	drainDesign = flag.String("drain.design", string(DrainByDeadline), "design of hosts that drain")
)

// drainCase is a family of simulations, one for each number of hosts, scenario, distribution and seed.
type drainCase struct {
	Name              string
	Hosts             []int
	Scenarios         []DrainScenario
	Rate              float64
	Grace, TimeToLive duration.Duration
	Seeds             uint64
}

// TestDrainingHostsCutNothingTheyTookLate guards against requests that are cut though their host knew when it would end,
// callers that find no host though others are ready, and hosts that do not end.
func TestDrainingHostsCutNothingTheyTookLate(t *testing.T) {
	text, err := os.ReadFile("testdata/drain.jsonc")
	assert.NilError(t, err)
	var cases []drainCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		for _, hosts := range c.Hosts {
			for _, scenario := range c.Scenarios {
				t.Run(fmt.Sprintf("%s/%d hosts/%s", c.Name, hosts, scenario), func(t *testing.T) {
					t.Parallel()
					for _, durations := range DrainAllDurations {
						for seed := *drainSeed; seed < *drainSeed+c.Seeds; seed++ {
							checkDrain(t, DrainOptions{
								Design: DrainDesign(*drainDesign), Scenario: scenario, Durations: durations, Hosts: hosts,
								Rate: c.Rate, Grace: c.Grace.Std(), TimeToLive: c.TimeToLive.Std(), Seed: seed,
							})
						}
					}
				})
			}
		}
	}
}

func checkDrain(t *testing.T, o DrainOptions) {
	r := Drain(o)
	assert.Check(t, r.Lost == 0 && r.BadGateway == 0, "%s, seed %d: %d streams lost, %d answers of 502", o.Durations, o.Seed, r.Lost, r.BadGateway)
	if o.Scenario == DrainOne && o.Hosts > 1 {
		assert.Check(t, r.RefusedTwice == 0, "%s, seed %d: %d callers refused twice", o.Durations, o.Seed, r.RefusedTwice)
	}
	_, last := r.Ended()
	assert.Check(t, last < o.Grace, "%s, seed %d: a host ended after %s", o.Durations, o.Seed, last)
}
