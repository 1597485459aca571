// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// DrainDesign is how hosts that drain decide on requests and when to end.
type DrainDesign string

// The designs.
const (
	DrainByDeadline   DrainDesign = "Deadline"     // as deployed: taken if the deadline lies before the end, ended once all is answered
	DrainByEstimate   DrainDesign = "Estimate"     // the same if others of the route were short; alone, ended 0.4 s after only such ones are left
	DrainRefuseAtOnce DrainDesign = "RefuseAtOnce" // as Deadline, but before callers have heard too, if another host is ready
	DrainTakeAll      DrainDesign = "TakeAll"      // all is taken until the end
)

// DrainDesigns are all designs.
var DrainDesigns = []DrainDesign{DrainByDeadline, DrainByEstimate, DrainRefuseAtOnce, DrainTakeAll}

// DrainScenario is which hosts drain.
type DrainScenario string

// The scenarios.
const (
	DrainOne       DrainScenario = "One"       // one host
	DrainQuarter   DrainScenario = "Quarter"   // a quarter of the hosts, 0.5 s apart
	DrainAll       DrainScenario = "All"       // all hosts at once
	DrainStaggered DrainScenario = "Staggered" // all hosts, 0.5 s apart
	DrainSeries    DrainScenario = "Series"    // two hosts, the second once the first is back
)

// DrainScenarios are all scenarios.
var DrainScenarios = []DrainScenario{DrainOne, DrainQuarter, DrainAll, DrainStaggered, DrainSeries}

// DrainDurations is the distribution of how long requests last.
type DrainDurations string

// The distributions.
const (
	DrainConstant  DrainDurations = "Constant"  // 0.3 s
	DrainLogNormal DrainDurations = "LogNormal" // a median of 0.5 s, a spread of 1.2, at most 7 s
	DrainRareLong  DrainDurations = "RareLong"  // 0.1 s, one in 20 of 1 to 5 s
	DrainPareto    DrainDurations = "Pareto"    // 0.1 s and more with an index of 1.1, at most twice the grace
	DrainChange    DrainDurations = "Change"    // 0.1 s until the drain begins, then log-normal with a median of 3 s
)

// DrainAllDurations are all distributions.
var DrainAllDurations = []DrainDurations{DrainConstant, DrainLogNormal, DrainRareLong, DrainPareto, DrainChange}

// DrainOptions configure the simulation of hosts that drain.
type DrainOptions struct {
	Design     DrainDesign
	Scenario   DrainScenario
	Durations  DrainDurations
	Hosts      int
	Rate       float64       // Rate is the number of requests a second for each host.
	Grace      time.Duration // Grace is the time from the beginning of a drain in which the host must have ended.
	TimeToLive time.Duration // TimeToLive is that of the directory's answers; a third of callers keep them three times as long.
	Seed       uint64
}

// DrainResult is the outcome of simulations.
type DrainResult struct {
	DrainOptions
	Requests     int           // Requests is the number of requests first sent while hosts drained.
	Lost         int           // Lost is the number of streams cut by the end of their host that it took once callers had heard of the drain.
	BadGateway   int           // BadGateway is the number of answers of 502 to other such requests.
	CutEarly     int           // CutEarly is the number of requests cut at the end of a host that were taken before.
	Refusals     int           // Refusals is the number of refusals by draining hosts.
	Unreached    int           // Unreached is the number of requests that found no process.
	RefusedTwice int           // RefusedTwice is the number of callers that got no answer at two hosts.
	Added        time.Duration // Added is the sum of the time until callers came to the host that took their request.
	WorstAdded   time.Duration // WorstAdded is the largest of it.
	Ends         []DrainEnd
	Later        int           // Later is the number of hosts that ended later than with DrainByEstimate, where that cut nothing.
	Sooner       int           // Sooner is the number of hosts that ended sooner than with it and cut nothing.
	Back         time.Duration // Back is the time from the beginning of the first drain until all hosts are back.
}

// DrainEnd is the end of a host.
type DrainEnd struct {
	Host  int           // Host is the number of the host, from 0 on.
	Began time.Duration // Began is when its drain began.
	Took  time.Duration // Took is the time from then on.
	Cut   int           // Cut is the number of requests that it cut.
}

// Add adds the counts of another result.
func (r *DrainResult) Add(o DrainResult) {
	r.Requests += o.Requests
	r.Lost += o.Lost
	r.BadGateway += o.BadGateway
	r.CutEarly += o.CutEarly
	r.Refusals += o.Refusals
	r.Unreached += o.Unreached
	r.RefusedTwice += o.RefusedTwice
	r.Added += o.Added
	r.WorstAdded = max(r.WorstAdded, o.WorstAdded)
	r.Ends = append(r.Ends, o.Ends...)
	r.Later += o.Later
	r.Sooner += o.Sooner
	r.Back = max(r.Back, o.Back)
}

// Ended returns the mean and the longest time from the beginning of a drain until the host has ended.
func (r *DrainResult) Ended() (mean, longest time.Duration) {
	for _, e := range r.Ends {
		mean += e.Took / time.Duration(len(r.Ends))
		longest = max(longest, e.Took)
	}
	return mean, longest
}

// Compare counts the hosts that ended later than in the simulation of another design, where that cut nothing, and those
// that ended sooner and cut nothing. Hosts whose drains began at different times do not count: other requests come to them.
func (r *DrainResult) Compare(o DrainResult) {
	ends := make(map[int]DrainEnd)
	for _, e := range o.Ends {
		ends[e.Host] = e
	}
	for _, e := range r.Ends {
		other := ends[e.Host]
		switch {
		case e.Began != other.Began:
		case e.Took > other.Took+drainPoll && other.Cut == 0:
			r.Later++
		case other.Took > e.Took+drainPoll && e.Cut == 0:
			r.Sooner++
		}
	}
}

// Drain simulates one scenario.
func Drain(o DrainOptions) DrainResult {
	m := newDrainModel(o)
	m.run()
	return m.result
}

// PrintDrain writes results as a table.
func PrintDrain(w io.Writer, results []DrainResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "hosts\tscene\tdesign\trequests\tlost\t502\tcut early\trefusals\tno process\trefused twice\tadded ms\tworst s\tended s\tlast s\tlater, sooner\tback s")
	for _, r := range results {
		added := r.Added.Seconds() * 1000 / float64(max(r.Requests, 1))
		mean, last := r.Ended()
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d, %d of %d\t%.2f\n", r.Hosts, r.Scenario, r.Design, r.Requests, r.Lost, r.BadGateway,
			r.CutEarly, r.Refusals, r.Unreached, r.RefusedTwice, added, r.WorstAdded.Seconds(), mean.Seconds(), last.Seconds(), r.Later, r.Sooner, len(r.Ends), r.Back.Seconds())
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
}
