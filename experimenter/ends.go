// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// EndsWay is a way to treat requests under which engines have ended.
type EndsWay string

// The ways.
const (
	EndsForgotten EndsWay = "Forgotten" // EndsForgotten remembers nothing of requests.
	EndsUsual     EndsWay = "Usual"     // EndsUsual bars after three ends, and places suspects like all others.
	EndsLeast     EndsWay = "Least"     // EndsLeast places suspects where the least is under way.
	EndsApart     EndsWay = "Apart"     // EndsApart places each suspect where all hosts send it and no other one.
)

// EndsWays are all of them.
var EndsWays = []EndsWay{EndsForgotten, EndsUsual, EndsLeast, EndsApart}

// EndsOptions describe a run in virtual time.
type EndsOptions struct {
	Hosts, Engines int
	Rate           float64       // Rate is of requests a second.
	For            time.Duration // For is the length of the run.
	Bad            int           // Bad is how many different requests end their engine.
	Callers        int           // Callers is how many send each of them at once, again and again.
	Crashes        float64       // Crashes is how many engines end by themselves, a second.
	Seed           uint64
}

// EndsResult is what a way led to.
type EndsResult struct {
	Way    EndsWay
	Ends   int // Ends counts engines that ended under a bad request.
	Late   int // Late counts arrivals of bad requests later than three seconds after their third end.
	Cut    int // Cut counts other requests that had an engine end under them.
	Barred int // Barred counts other requests that were barred.
	Failed int // Failed counts other requests that were not served in the end.
	Others int // Others counts the other requests.
}

// Times of the model of engines that end.
const (
	endsWork = 250 * time.Millisecond // endsWork is the mean time that an engine takes for a request.
	// endsLeast and endsMost bound how long a bad request runs before its engine ends.
	endsLeast   = 40 * time.Millisecond
	endsMost    = 400 * time.Millisecond
	endsAgain   = 300 * time.Millisecond // endsAgain is the pause of the caller of a bad request.
	endsBack    = time.Second            // endsBack is the least time that an engine is away; up to four times as long.
	endsShown   = 100 * time.Millisecond // endsShown is how long hosts take to see that an engine has started.
	endsTold    = 5 * time.Millisecond   // endsTold is how long a word takes from host to host.
	endsReports = 100 * time.Millisecond
	endsPoll    = 20 * time.Millisecond // endsPoll is the interval at which requests that wait are looked at.
	endsSettled = 3 * time.Second
	endsSends   = 4 // endsSends bounds the offers of one try, endsRuns its runs, endsTries the tries of a caller.
	endsRuns    = 2
	endsTries   = 2
	endsPrompt  = 400
	endsMemory  = 67_000
	endsSlots   = 64
	endsService = "engines"
)

// Ends runs the ways on the same requests.
func Ends(o EndsOptions) []EndsResult {
	var out []EndsResult
	for _, way := range EndsWays {
		out = append(out, newEndsModel(o, way).run())
	}
	return out
}

// PrintEnds writes a table.
func PrintEnds(w io.Writer, results []EndsResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "way\tends\tlate arrivals\tothers cut\tothers barred\tothers failed\tothers")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", r.Way, r.Ends, r.Late, r.Cut, r.Barred, r.Failed, r.Others)
	}
	_ = t.Flush() // the writer below tells of its own failures
}
