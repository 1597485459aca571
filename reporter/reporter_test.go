// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package reporter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/foldcheck"
	"amaranthgate.example/amaranthgate/replayer"
)

var start = time.Date(2026, 3, 14, 8, 0, 0, 0, time.UTC)

func batch(t *testing.T, g *Gatherer, outcomes ...Outcome) replayer.Entry {
	t.Helper()
	for _, o := range outcomes {
		g.Record(o)
	}
	e, ok := g.Flush(start)
	assert.Assert(t, ok)
	return e
}

func TestTableRestores(t *testing.T) {
	g := NewGatherer(start)
	answered := Outcome{Workspace: "w", Class: "c", Ran: "Yes", OnTime: true, FirstToken: 30 * time.Millisecond}
	foldcheck.Run(t, func() replayer.State { return NewTable() }, []foldcheck.WrittenEntry{
		{Writer: "a", Entry: batch(t, g, answered, Outcome{Workspace: "w", Class: "c", Reason: "RateLimited", Ran: "No"})},
		{Writer: "a", Entry: batch(t, g, answered, Outcome{Workspace: "v", Class: "c", Once: &OnceLine{RequestID: "r"}})},
		{Writer: "a", Entry: batch(t, g, Outcome{Workspace: "w", Class: "c", Reason: "MayHaveRun", Ran: "Unknown"})},
	})
}

// TestGapsAreShown checks that a lost batch is reported as a gap, and that a
// duplicate batch is not counted.
func TestGapsAreShown(t *testing.T) {
	g := NewGatherer(start)
	table := NewTable()
	first := batch(t, g, Outcome{Workspace: "w", Class: "c", OnTime: true, FirstToken: time.Millisecond})
	batch(t, g, Outcome{Workspace: "w", Class: "c"}) // never arrives
	third := batch(t, g, Outcome{Workspace: "w", Class: "c", FirstToken: time.Second})
	table.Apply(replayer.Position{}, "a", first)
	table.Apply(replayer.Position{}, "a", third)
	table.Apply(replayer.Position{}, "a", third) // duplicate
	r := table.Report()
	assert.Equal(t, len(r.Gaps), 1)
	assert.Equal(t, r.Gaps[0].First, uint64(2))
	assert.Equal(t, r.Gaps[0].Last, uint64(2))
	assert.Equal(t, r.Rows[0].Answered, uint64(2))
	assert.Equal(t, r.Rows[0].OnTime, uint64(1))
	q, ok := r.Rows[0].Quantile(0.95)
	assert.Assert(t, ok)
	assert.Equal(t, q, time.Second)
}

// TestReportIsACopy checks that later entries don't change a report, as another
// goroutine may be reading it.
func TestReportIsACopy(t *testing.T) {
	g := NewGatherer(start)
	table := NewTable()
	both := []Outcome{{Workspace: "w", Class: "c", FirstToken: time.Millisecond}, {Workspace: "w", Class: "c", Reason: "RateLimited"}}
	table.Apply(replayer.Position{}, "a", batch(t, g, both...))
	r := table.Report()
	table.Apply(replayer.Position{}, "a", batch(t, g, both...))
	assert.Equal(t, r.Rows[0].FirstToken[0], uint64(1))
	assert.Equal(t, r.Rows[0].Refused["RateLimited"], uint64(1))
	assert.Equal(t, table.Report().Rows[0].Refused["RateLimited"], uint64(2))
}
