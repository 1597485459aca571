// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package explainer

import (
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestExplain(t *testing.T) {
	f, err := os.Open("testdata/log.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	for id, want := range map[string][]string{
		"refused": {"every upstream that was asked refused", "attempt 2 at u2", "before: StoreLost Upstreams", "before: OrderGiven", "Accepted"},
		"unknown": {"may have run", "last failure: EOF"},
		"cut":     {"broke off after part of it"},
		"lost":    {"sent to u1, no end", "the host was killed"},
		"old":     {"handled by configuration 3, weights 1", "before: StoreRestored", "before: RecordOutdated Operator config   at 2/5, 03:00:08"},
		"late":    {"had other prompts to read first", "30000 tokens waited", "fetched from s1, which had stated its contents 297 ms before", "not saved: 1 parts"},
	} {
		report, ok := Explain(lines, id)
		assert.Assert(t, ok, id)
		for _, w := range want {
			assert.Assert(t, strings.Contains(report, w), "%s: %q is not in\n%s", id, w, report)
		}
		assert.Assert(t, !strings.Contains(report, "Refused"), "lines of another host are not a cause")
	}
	_, ok := Explain(lines, "nobody")
	assert.Assert(t, !ok)
}

func TestSummarize(t *testing.T) {
	f, err := os.Open("testdata/log.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	s := Summarize(lines)
	assert.Equal(t, s.Requests, 7)
	assert.Equal(t, s.Failed, 5)
	assert.Equal(t, s.Unknown, 0)
	assert.Equal(t, len(s.Causes), 5)
	assert.Assert(t, strings.Contains(s.String(), "the host was killed or lost power"), s.String())
}

// TestTally checks the counts by route and span, and the sums of the estimates.
func TestTally(t *testing.T) {
	f, err := os.Open("testdata/account.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	a := Tally(lines, 2*time.Second)
	assert.Equal(t, len(a.Spans), 3)
	first := a.Spans[1]
	assert.Equal(t, first.Ended, 7)
	assert.Equal(t, first.Late, 6)
	texts := make(map[string]int)
	for _, c := range first.Causes {
		texts[c.Text] = c.Count
	}
	assert.DeepEqual(t, texts, map[string]int{
		causeWaited: 1, causeBehind: 1, causeReading: 1, causeFetching: 1, causeTransfer: 1, causeUpstream: 1,
	})
	assert.Equal(t, a.Spans[2].Refused, 1)
	assert.Equal(t, a.Spans[2].Failed, 2)
	assert.DeepEqual(t, a.Estimates, Estimates{
		Choices: 2, Missing: 5000, Shared: 1500, Moved: 8000, Replaced: 1,
		Answers: 6, Expected: 1850500 * time.Microsecond, Took: 5600 * time.Millisecond,
	})
	assert.Assert(t, strings.Contains(a.String(), "2 choices for prompts: 5000 tokens to be read, 1500 of them shared"), a.String())
}

// TestExplainBarred checks that the report on a refused try shows the upstreams that ended under earlier
// tries at other hosts.
func TestExplainBarred(t *testing.T) {
	f, err := os.Open("testdata/barred.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	report, ok := Explain(lines, "try-3")
	assert.Assert(t, ok)
	for _, w := range []string{"until an operator lifts that", "identity: 85b8c9e8", "u1@a", "u2@b", "u3@c", "seen by host-2"} {
		assert.Assert(t, strings.Contains(report, w), "%q is not in\n%s", w, report)
	}
	assert.Assert(t, !strings.Contains(report, "u4@d"), report)
}

// TestExplainParts checks that the report on a request that was refused for a part of its prompt has the upstreams that
// ended under that part, and that on an answer has where it broke off.
func TestExplainParts(t *testing.T) {
	f, err := os.Open("testdata/parts.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	assert.Equal(t, len(lines), 7)
	report, ok := Explain(lines, "bad-3")
	assert.Assert(t, ok)
	for _, w := range []string{"ended under part 91bd: u1@a", "ended under part 91bd: u2@b at 2026-03-12T03:00:02Z, seen by host-2"} {
		assert.Assert(t, strings.Contains(report, w), "%q is not in\n%s", w, report)
	}
	assert.Assert(t, !strings.Contains(report, "u4@d"), report)
	report, ok = Explain(lines, "cut")
	assert.Assert(t, ok)
	assert.Assert(t, strings.Contains(report, "answer of u1@a broke off after 62 bytes: framing Connection, ending InsideEvent, seen by host-1"), report)
}

// TestExplainPassedOn checks that the report on a request that was passed on has both hosts, and that it counts once.
func TestExplainPassedOn(t *testing.T) {
	f, err := os.Open("testdata/passed.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	report, ok := Explain(lines, "late")
	assert.Assert(t, ok)
	for _, w := range []string{"host-1: status 200", "passed on to host-2", "the host passed it on", "host-2: status 200", "passed on to this host by host-1", "attempt 1 at u1"} {
		assert.Assert(t, strings.Contains(report, w), "%q is not in\n%s", w, report)
	}
	report, _ = Explain(lines, "refused")
	assert.Assert(t, strings.Contains(report, "no other host could serve the request"), report)
	s := Summarize(lines)
	assert.Equal(t, s.Requests, 2)
	assert.Equal(t, len(s.Causes), 2)
	assert.Assert(t, strings.Contains(s.String(), causePassedOn), s.String())
	a := Tally(lines, time.Minute)
	assert.Equal(t, len(a.Spans), 1)
	assert.Equal(t, a.Spans[0].Ended, 2)
}

// TestExplainResumed checks that the report on a request that takes up a stream leads to the beginning of the stream.
func TestExplainResumed(t *testing.T) {
	f, err := os.Open("testdata/streams.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	for id, want := range map[string][]string{
		"second":  {"stream of first, which began at software v1 (known for 95 ms, source Host)", "host-2: UpstreamChosen u1 software v1"},
		"unknown": {"nobody knows at which software version", "of 4 hosts asked 3 did not know it"},
		"both":    {"hosts named different versions"},
		"gone":    {"no upstream has the software version", "began at software v1"},
	} {
		report, ok := Explain(lines, id)
		assert.Assert(t, ok)
		for _, w := range want {
			assert.Assert(t, strings.Contains(report, w), "%q is not in\n%s", w, report)
		}
	}
}

// TestExplainConfiguration checks that the report on a request names the configuration that decided it, the newest one that
// any host had then, and how both had come.
func TestExplainConfiguration(t *testing.T) {
	f, err := os.Open("testdata/configuration.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	report, ok := Explain(lines, "old")
	assert.Assert(t, ok)
	for _, w := range []string{"handled by configuration 10", "configuration 10 taken by host-1 at 2026-03-12T03:00:01Z: Page from host-2",
		"configuration 12 taken by host-2 at 2026-03-12T03:00:04Z: Listing", "before: PageIncomplete Operator"} {
		assert.Assert(t, strings.Contains(report, w), "%q is not in\n%s", w, report)
	}
	assert.Assert(t, !strings.Contains(report, "configuration 13"), report)
}

// TestExplainAttempts checks that the report on a request has what each of its attempts has shown, and on which connection.
func TestExplainAttempts(t *testing.T) {
	f, err := os.Open("testdata/attempts.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	report, ok := Explain(lines, "copied")
	assert.Assert(t, ok)
	for _, w := range []string{
		"result of attempt 1 at u1: status 503, it did not run (Refused); connection 14 had carried 2 requests before\n",
		"result of attempt 2 at u1: status 503, it did not run (Refused); connection 14 had carried 3 requests before; 1 answers to other requests were skipped\n",
		"result of attempt 3 at host-2: status 0, it may have run (Lost); connection 1 had carried 0 requests before\n",
	} {
		assert.Assert(t, strings.Contains(report, w), "%q is not in\n%s", w, report)
	}
}

// TestExplainDrains guards against requests that a draining host cut without a trace of when and on what it took them.
func TestExplainDrains(t *testing.T) {
	f, err := os.Open("testdata/drains.txt")
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	lines, err := Read(f, "")
	assert.NilError(t, err)
	for id, want := range map[string][]string{
		"cut":     {"arrived 2500 ms after the host began to drain, taken, as callers may not have heard of the drain", "the host ended 7300 ms after it began to drain: its time to drain was over"},
		"before":  {"arrived 250 ms before the host began to drain", "its time to drain was over"},
		"refused": {"arrived 4000 ms after the host began to drain, not taken"},
	} {
		report, ok := Explain(lines, id)
		assert.Assert(t, ok, id)
		for _, w := range want {
			assert.Assert(t, strings.Contains(report, w), "%s: %q is not in\n%s", id, w, report)
		}
	}
}
