// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"
)

// OverloadCount counts outcomes. Requests that are answered count once. Each try that ends without an
// answer counts, so that a request which is refused and then answered counts as both.
type OverloadCount struct {
	Requests     int // requests of callers, without retries
	Tries        int // requests and retries
	Possible     int // requests that a schedule with knowledge of all arrivals serves within the objective
	InTime       int // requests answered within the objective, counted from their first try
	Late         int // requests answered within the deadline only
	RefusedEarly int // tries refused within a quarter of the objective
	RefusedLater int // tries refused after that
	Other        int // tries that ended at their deadline after they had been sent to an engine
}

func (c *OverloadCount) add(o OverloadCount) {
	c.Requests += o.Requests
	c.Tries += o.Tries
	c.Possible += o.Possible
	c.InTime += o.InTime
	c.Late += o.Late
	c.RefusedEarly += o.RefusedEarly
	c.RefusedLater += o.RefusedLater
	c.Other += o.Other
}

// Ended returns the number of tries that have ended.
func (c OverloadCount) Ended() int { return c.InTime + c.Late + c.Refused() + c.Other }

// Refused returns the number of refused tries.
func (c OverloadCount) Refused() int { return c.RefusedEarly + c.RefusedLater }

// OverloadGroup identifies the requests of a class and workspace.
type OverloadGroup struct{ Rank, Workspace int }

// OverloadResult is the sum of the outcomes of all seeds.
type OverloadResult struct {
	OverloadOptions
	Seeds  int
	Count  OverloadCount
	Groups map[OverloadGroup]*OverloadCount // Groups have no Possible.
	// LeastShare is the least share of the possible served in time of any seed, which is LeastSeed.
	LeastShare float64
	LeastSeed  uint64
	// Refusals are the times from the arrival of a try to its refusal.
	Refusals *Histogram
	// Unserved is the number of requests that were refused, in all tries, whose deadline is before the end
	// of the load. RefusedWrongly is the number of those that would have been served before their deadline
	// had they stayed from the first refusal on, without displacing a request that was served in time: in
	// slots that were free while no request waited at any host, or were given to a request that could no
	// longer meet its objective and goes behind in the order of docs/OVERLOAD.md. Each slot counts for one
	// request.
	Unserved, RefusedWrongly int
	BusySlots                time.Duration // BusySlots is the time that slots ran requests while requests arrived.
	MostQueued               int           // MostQueued is the most requests that waited at one engine for a slot.
	// Messages and bytes are those sent by hosts to hosts.
	Reports, Contentions         int
	ReportBytes, ContentionBytes int
}

// NewOverloadResult returns a result without requests. Seeds is 0.
func NewOverloadResult(o OverloadOptions) OverloadResult {
	return OverloadResult{
		OverloadOptions: o, Groups: make(map[OverloadGroup]*OverloadCount), LeastShare: math.Inf(1), Refusals: NewHistogram(),
	}
}

// group returns the counts of a class and workspace.
func (r *OverloadResult) group(g OverloadGroup) *OverloadCount {
	if r.Groups[g] == nil {
		r.Groups[g] = &OverloadCount{}
	}
	return r.Groups[g]
}

// Request counts a request of a caller.
func (r *OverloadResult) Request(g OverloadGroup) {
	r.Count.Requests++
	r.group(g).Requests++
}

// Try counts a request or retry that is sent to a host.
func (r *OverloadResult) Try(g OverloadGroup) {
	r.Count.Tries++
	r.group(g).Tries++
}

// Answer counts an answer. took counts from the first try.
func (r *OverloadResult) Answer(g OverloadGroup, took time.Duration) {
	for _, c := range []*OverloadCount{&r.Count, r.group(g)} {
		if took <= r.Objective {
			c.InTime++
		} else {
			c.Late++
		}
	}
}

// earlyShare divides the objective into the time within which a refusal counts as early.
const earlyShare = 4

// Refuse counts a refusal of a try that a host held for a time.
func (r *OverloadResult) Refuse(g OverloadGroup, held time.Duration) {
	for _, c := range []*OverloadCount{&r.Count, r.group(g)} {
		if held <= r.Objective/earlyShare {
			c.RefusedEarly++
		} else {
			c.RefusedLater++
		}
	}
	r.Refusals.Add(held)
}

// Lose counts a try that ended otherwise.
func (r *OverloadResult) Lose(g OverloadGroup) {
	r.Count.Other++
	r.group(g).Other++
}

// Share returns the share of the possible that is served in time.
func (r *OverloadResult) Share() float64 { return ratio(r.Count.InTime, r.Count.Possible) }

// EarlyShare returns the share of the refusals within a quarter of the objective; 1 if there are none.
func (r *OverloadResult) EarlyShare() float64 {
	if r.Count.Refused() == 0 {
		return 1
	}
	return ratio(r.Count.RefusedEarly, r.Count.Refused())
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// merge adds the result of one seed.
func (r *OverloadResult) merge(o OverloadResult) {
	r.Seeds++
	r.Count.add(o.Count)
	for g, c := range o.Groups {
		r.group(g).add(*c)
	}
	if s := o.Share(); s < r.LeastShare || s == r.LeastShare && o.Seed < r.LeastSeed {
		r.LeastShare, r.LeastSeed = s, o.Seed
	}
	r.Refusals.Merge(o.Refusals)
	r.Unserved += o.Unserved
	r.RefusedWrongly += o.RefusedWrongly
	r.BusySlots += o.BusySlots
	r.MostQueued = max(r.MostQueued, o.MostQueued)
	r.Reports += o.Reports
	r.ReportBytes += o.ReportBytes
	r.Contentions += o.Contentions
	r.ContentionBytes += o.ContentionBytes
}

// PrintOverload writes results as tables. Counts are means over the seeds.
func PrintOverload(w io.Writer, results []OverloadResult) {
	PrintOverloadOutcomes(w, results)
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scene\thosts\tload/s\tvariant\tleast share (seed)\trefused wrongly\theld in vain\tslots used\tmost queued at an engine\treports/s of a host\tB/s\tcontention/s of a host\tB/s")
	for _, r := range results {
		n := float64(r.Seeds)
		perHost := 1 / (n * float64(r.Hosts) * r.For.Seconds())
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%s\t%.3f (%d)\t%.3f\t%.3f\t%.3f\t%d\t%.1f\t%.0f\t%.1f\t%.0f\n",
			r.Scenario, r.Hosts, r.Load, r.Variant, r.LeastShare, r.LeastSeed,
			ratio(r.RefusedWrongly, r.Unserved), ratio(r.Count.RefusedLater, r.Count.Refused()),
			r.BusySlots.Seconds()/n/r.For.Seconds()/float64(r.slots()), r.MostQueued,
			float64(r.Reports)*perHost, float64(r.ReportBytes)*perHost,
			float64(r.Contentions)*perHost, float64(r.ContentionBytes)*perHost)
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
	printOverloadGroups(w, results)
}

// PrintOverloadOutcomes writes what callers got as a table. Counts are means over the seeds.
func PrintOverloadOutcomes(w io.Writer, results []OverloadResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scene\thosts\tload/s\tvariant\trequests\tpossible\tin time\tlate\trefused early\trefused later\tother\tshare of possible\trefusal p90\tlongest")
	for _, r := range results {
		c, n := r.Count, float64(r.Seeds)
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\t%s\t%s\n",
			r.Scenario, r.Hosts, r.Load, r.Variant, float64(c.Requests)/n, float64(c.Possible)/n, float64(c.InTime)/n,
			float64(c.Late)/n, float64(c.RefusedEarly)/n, float64(c.RefusedLater)/n, float64(c.Other)/n, r.Share(),
			round(r.Refusals.Quantile(0.9)), round(r.Refusals.Quantile(1)))
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
}

// printOverloadGroups writes the outcomes by class and workspace, if there are several.
func printOverloadGroups(w io.Writer, results []OverloadResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nscene\thosts\tload/s\tvariant\trank\tworkspace\trequests\tin time\tlate\trefused early\trefused later\tother\tserved in time of its requests")
	several := false
	for _, r := range results {
		several = several || len(r.Groups) > 1
		n := float64(r.Seeds)
		for rank := range r.Ranks {
			for workspace := range r.Workspaces {
				c := r.group(OverloadGroup{rank, workspace})
				fmt.Fprintf(t, "%s\t%d\t%.0f\t%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.3f\n",
					r.Scenario, r.Hosts, r.Load, r.Variant, rank, workspace, float64(c.Requests)/n, float64(c.InTime)/n,
					float64(c.Late)/n, float64(c.RefusedEarly)/n, float64(c.RefusedLater)/n, float64(c.Other)/n,
					ratio(c.InTime, c.Requests))
			}
		}
	}
	if several {
		_ = t.Flush()
	}
}
