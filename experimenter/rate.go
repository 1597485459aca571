// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/internal/auditor"
)

// RateScenario is what happens while hosts share an upstream's declared rate limit.
type RateScenario string

// The scenarios.
const (
	RateSteady   RateScenario = "Steady"   // all hosts have more requests than the limit allows
	RateOneBusy  RateScenario = "OneBusy"  // only one host has requests
	RateRestarts RateScenario = "Restarts" // hosts stop and restart, one owner of the limit each second
	RateSplit    RateScenario = "Split"    // half of the hosts take the first owner for gone, the others don't
	RateJoin     RateScenario = "Join"     // hosts are added, a fourth of the fleet within a second
	RateFall     RateScenario = "Fall"     // the limit falls to a tenth and rises again
)

// RateScenarios are all scenarios.
var RateScenarios = []RateScenario{RateSteady, RateOneBusy, RateRestarts, RateSplit, RateJoin, RateFall}

// RateOptions configure the simulation of a declared rate limit.
type RateOptions struct {
	Scenario RateScenario
	Hosts    int
	Limit    float64       // requests a second that the upstream accepts of all hosts
	Demand   float64       // requests a second of all callers
	Deadline time.Duration // time that a request waits at most
	For      time.Duration // simulated time
	Seed     uint64
}

// RateResult is the outcome of a simulation.
type RateResult struct {
	RateOptions
	Worst       auditor.Window // window with the most requests beyond those allowed
	Violations  []string
	Use         float64 // share of the limit that is used, from 5 s on
	MostWaiting int     // most requests that waited at one host
	Messages    float64 // messages a second of one host, mean
	Bytes       float64 // bytes a second of one host, mean
}

const (
	// rateSettle is the time from the declaration of a limit after which it must hold.
	rateSettle = 3 * time.Second
	// rateUseFrom is the time from which the use of a limit is measured.
	rateUseFrom = 5 * time.Second
	// rateActiveShare is the share of active hosts in a large fleet.
	rateActiveShare = 0.05
	rateMinActive   = 15
)

// activeHosts returns the number of hosts that serve callers.
func (o RateOptions) activeHosts() int {
	if o.Hosts <= activator.MaxAllActive {
		return o.Hosts
	}
	return max(rateMinActive, int(rateActiveShare*float64(o.Hosts)))
}

// Rate simulates one scenario.
func Rate(o RateOptions) RateResult {
	m := newRateModel(o)
	m.run()
	r := RateResult{RateOptions: o, Worst: m.auditor.WorstWindow(rateUpstream), Violations: m.auditor.Violations()}
	r.Use = m.auditor.Use(rateUpstream, m.began.Add(rateUseFrom), m.began.Add(o.For))
	r.MostWaiting = m.mostWaiting
	hosts := float64(len(m.hosts)) * o.For.Seconds()
	r.Messages, r.Bytes = float64(m.messages)/hosts, float64(m.bytes)/hosts
	return r
}

// PrintRate writes results as a table.
func PrintRate(w io.Writer, results []RateResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "hosts\tlimit/s\tscene\tworst 4 s\tallowed\tuse\tmost waiting\tmsg/s of a host\tB/s")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%g\t%s\t%d\t%.1f\t%.2f\t%d\t%.1f\t%.0f\n",
			r.Hosts, r.Limit, r.Scenario, r.Worst.Arrivals, r.Worst.Allowed, r.Use, r.MostWaiting, r.Messages, r.Bytes)
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
}
