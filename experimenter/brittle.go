// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// BrittleScenario is what happens while hosts share brittle upstreams.
type BrittleScenario string

// The scenarios.
const (
	BrittleSteady BrittleScenario = "Steady" // all hosts have requests
	BrittleShift  BrittleScenario = "Shift"  // a fourth of the hosts has all requests, another one each 400 ms
	BrittleJoins  BrittleScenario = "Joins"  // a fourth of the hosts starts as the queues go
	BrittleLosses BrittleScenario = "Losses" // a fourth of the hosts ends as the queues go, and starts again
	BrittleFreeze BrittleScenario = "Freeze" // a fourth of the hosts stands still for 2 s as the queues go
	BrittleSplit  BrittleScenario = "Split"  // as the queues go, two halves of the hosts lose sight of each other for 4 s
	BrittleParted BrittleScenario = "Parted" // the same for 9 s
	BrittleFlap   BrittleScenario = "Flap"   // each host hears a random part of the others, another one each 100 ms
)

// BrittleScenarios are all scenarios.
var BrittleScenarios = []BrittleScenario{BrittleSteady, BrittleShift, BrittleJoins, BrittleLosses, BrittleFreeze, BrittleSplit, BrittleParted, BrittleFlap}

// BrittleOptions configure the simulation of brittle upstreams.
type BrittleOptions struct {
	Scenario  BrittleScenario
	Hosts     int // Hosts is the number of hosts that serve callers.
	Upstreams int
	Slots     int           // Slots is the number of requests that an upstream runs at once.
	Queue     int           // Queue is the number of requests that wait at an upstream until its queue goes.
	Limit     int           // Limit is the number of refusals a second that an upstream bears.
	Service   time.Duration // Service is the time of a request at an upstream.
	Deadline  time.Duration // Deadline is the time after which a caller leaves.
	Calm      float64       // Calm and Load are the requests, as a share of those that the upstreams can run, before and after the change of load.
	Load      float64
	Sound     bool // Sound makes the upstreams keep their queues and say nothing.
	Seed      uint64
}

// BrittleResult is the outcome of a simulation.
type BrittleResult struct {
	BrittleOptions
	Falls       int     // Falls is the number of times that upstreams have ended because of refusals.
	Worst       int     // Worst is the largest number of refusals of an upstream in a second in which it was brittle and had no queue.
	Refusals    int     // Refusals is the number of refusals by upstreams.
	Served      int     // Served is the number of requests served once the queues are gone.
	Asked       int     // Asked is the number of requests of callers from then on.
	RefusedFree int     // RefusedFree is the number of callers refused then while its owner had a slot free for longer than hosts need to claim it.
	Messages    float64 // Messages is the number of messages a served request that hosts exchange about slots.
	Busiest     float64 // Busiest is the largest number of such messages a second that one host receives.
}

// FallsAllowed returns the number of falls beyond which upstreams count as overrun.
func (r *BrittleResult) FallsAllowed() float64 { return 2 + 0.1*float64(r.Upstreams) }

// Brittle simulates one scenario.
func Brittle(o BrittleOptions) BrittleResult {
	m := newBrittleModel(o)
	m.run()
	return m.result
}

// PrintBrittle writes results as a table.
func PrintBrittle(w io.Writer, results []BrittleResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "hosts\tN\tload\tscene\tfalls\trefused in the worst second\trefusals\tserved\tasked\trefused with slots free\tmsg a request\tmsg/s of a host")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%d\t%g\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.0f\n",
			r.Hosts, r.Limit, r.Load, r.Scenario, r.Falls, r.Worst, r.Refusals, r.Served, r.Asked, r.RefusedFree, r.Messages, r.Busiest)
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
}
