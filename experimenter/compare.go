// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"sync"

	"amaranthgate.example/amaranthgate/router"
)

// Policies returns the policies to compare: an upper bound with perfect
// knowledge, the router, the baselines, and ablations of the router.
func Policies() []Policy {
	return []Policy{
		{Name: "bound (perfect knowledge)", Perfect: true},
		{Name: "amaranthgate"},
		{Name: "random", Baseline: BaselineRandom, NoPeerLoad: true, NoExport: true},
		{Name: "round robin", Baseline: BaselineRoundRobin, NoExport: true},
		{Name: "least load", Baseline: BaselineLeastLoad, NoPeerLoad: true, NoExport: true},
		{Name: "rendezvous only", Baseline: BaselineRendezvous, NoExport: true},
		{Name: "rendezvous with stores", Baseline: BaselineRendezvous},
		{Name: "least load with stores", Baseline: BaselineLeastLoad},
		{Name: "without affinity", Router: router.Options{NoAffinity: true}},
		{Name: "without two choices", Router: router.Options{NoTwoChoices: true}},
		{Name: "without load correction", Router: router.Options{NoCorrection: true}},
		{Name: "without peers' sends", NoPeerLoad: true},
		{Name: "without restore", Router: router.Options{NoRestore: true}},
		{Name: "without index", Router: router.Options{NoHoldings: true}},
		{Name: "without gossip of placements", NoGossip: true},
		{Name: "without answers kept", NoAnswers: true},
		{Name: "without stores", NoExport: true},
		{Name: "reserved slots, not engines", SharedSlots: true},
		{Name: "without reserve", NoReserve: true},
		{Name: "without stores, gossip", NoExport: true, NoGossip: true},
		{Name: "without stores, gossip, affinity", NoExport: true, NoGossip: true, Router: router.Options{NoAffinity: true}},
		{Name: "without queue at hosts", NoQueue: true},
	}
}

// Compare simulates policies on the same workload, at most workers at once.
func Compare(spec Spec, policies []Policy, cond Conditions, seed uint64, workers int) []Result {
	results := make([]Result, len(policies))
	limit := make(chan struct{}, workers)
	var all sync.WaitGroup
	for i, p := range policies {
		all.Add(1)
		go func() {
			defer all.Done()
			limit <- struct{}{}
			defer func() { <-limit }()
			results[i] = Simulate(spec, p, cond, seed)
		}()
	}
	all.Wait()
	return results
}

// PrintDecisions writes results as a table.
func PrintDecisions(w io.Writer, results []Result) {
	fmt.Fprintf(w, "%-30s %10s %9s %8s %6s", "policy", "recomputed", "link use", "refused", "Jain")
	for _, c := range results[0].Classes {
		fmt.Fprintf(w, "  %s p50/p95/p99", c.Class)
	}
	fmt.Fprintln(w)
	for _, r := range results {
		fmt.Fprintf(w, "%-30s %9.2f%% %8.2f%% %8d %6.3f", r.Policy, 100*r.Recomputed, 100*r.LinkUse, r.Refused, r.Jain)
		for _, c := range r.Classes {
			fmt.Fprintf(w, "  %s / %s / %s",
				round(c.FirstToken.Quantile(0.5)), round(c.FirstToken.Quantile(0.95)), round(c.FirstToken.Quantile(0.99)))
		}
		fmt.Fprintln(w)
	}
}
