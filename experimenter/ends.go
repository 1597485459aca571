// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// EndsPolicy is a policy for requests under which engines have ended.
type EndsPolicy string

// The policies.
const (
	EndsNoQuarantine EndsPolicy = "Forgotten" // no quarantine
	EndsBar          EndsPolicy = "Usual"     // bars requests, but places suspects like all others
	EndsLeastLoaded  EndsPolicy = "Least"     // also places suspects on the least loaded engine
	EndsIsolated     EndsPolicy = "Apart"     // also places each suspect alone on one engine
)

// EndsPolicies are all policies.
var EndsPolicies = []EndsPolicy{EndsNoQuarantine, EndsBar, EndsLeastLoaded, EndsIsolated}

// EndsOptions configure a simulation of requests that end engines.
type EndsOptions struct {
	Hosts, Engines int
	Rate           float64       // harmless requests per second
	For            time.Duration // simulated time
	Bad            int           // number of different requests that end their engine
	Callers        int           // number of concurrent callers of each bad request
	Crashes        float64       // engines per second that end for other reasons
	Seed           uint64
}

// EndsResult is the outcome of one policy. Other requests are the harmless ones.
type EndsResult struct {
	Policy       EndsPolicy
	Ends         int // engines that ended under a bad request
	LateArrivals int // runs of bad requests that start later than endsLateAfter after their bar
	Interrupted  int // other requests interrupted by the end of an engine
	Barred       int // other requests that were barred
	Failed       int // other requests that were not served
	Others       int
}

// Parameters of the simulation of requests that end engines.
const (
	endsMeanRunTime = 250 * time.Millisecond // mean run time of a harmless request
	// A bad request runs for a time between these bounds before its engine ends.
	endsMinBadRunTime  = 40 * time.Millisecond
	endsMaxBadRunTime  = 400 * time.Millisecond
	endsBadInterval    = 300 * time.Millisecond // pause of a caller between bad requests
	endsMinDowntime    = time.Second            // the maximum is four times as long
	endsDiscoveryDelay = 100 * time.Millisecond // time until hosts know an engine's new instance
	endsMessageDelay   = 5 * time.Millisecond   // delay of a ledger entry between hosts
	endsReportInterval = 100 * time.Millisecond
	endsPollInterval   = 20 * time.Millisecond // interval at which waiting requests are placed again
	endsLateAfter      = 3 * time.Second       // longer than hosts take to learn of a bar
	endsMaxSends       = 4                     // sends of one request, including those that reach no engine
	endsMaxRuns        = 2                     // runs of one request
	endsMaxAttempts    = 2                     // requests of one caller
	endsPromptTokens   = 400
	endsCapacityTokens = 67_000
	endsSlots          = 64
	endsService        = "engines"
)

// Ends simulates all policies with the same seed.
func Ends(o EndsOptions) []EndsResult {
	var out []EndsResult
	for _, policy := range EndsPolicies {
		out = append(out, newEndsModel(o, policy).run())
	}
	return out
}

// PrintEnds writes results as a table.
func PrintEnds(w io.Writer, results []EndsResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "way\tends\tlate arrivals\tothers cut\tothers barred\tothers failed\tothers")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n",
			r.Policy, r.Ends, r.LateArrivals, r.Interrupted, r.Barred, r.Failed, r.Others)
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
}
