// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package reporter

import (
	"maps"
	"slices"
	"sort"
	"time"

	"amaranthgate.example/amaranthgate/replayer"
)

// maxReportOnceLines limits the lines of a report; older ones are dropped.
const maxReportOnceLines = 10000

// writerState is the last batch of a writer.
type writerState struct {
	Number uint64
	Seen   time.Time
}

// Gap is a range of lost batches.
type Gap struct {
	Writer string
	First  uint64
	Last   uint64
	Before time.Time // Before is the end of the first batch after the gap.
}

// Table is the state built from the reports' stream. It implements replayer.State.
type Table struct {
	image tableImage
}

type tableImage struct {
	Since   time.Time
	Groups  []Line
	Writers map[string]writerState
	Gaps    []Gap
	Once    []OnceLine
	Lost    uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{image: tableImage{Writers: make(map[string]writerState)}} }

// Apply implements replayer.State.
func (t *Table) Apply(at replayer.Position, writer string, e replayer.Entry) {
	var b Batch
	if e.Kind != KindBatch || !e.Decode(&b) {
		return
	}
	w := t.image.Writers[writer]
	if b.Number <= w.Number {
		return
	}
	if b.Number > w.Number+1 {
		t.image.Gaps = append(t.image.Gaps, Gap{Writer: writer, First: w.Number + 1, Last: b.Number - 1, Before: b.To})
	}
	t.image.Writers[writer] = writerState{Number: b.Number, Seen: at.Time}
	if t.image.Since.IsZero() || b.From.Before(t.image.Since) {
		t.image.Since = b.From
	}
	for _, l := range b.Lines {
		t.counts(l.Group).add(l.Counts)
	}
	t.image.Lost += b.Lost
	t.image.Once = append(t.image.Once, b.Once...)
	if n := len(t.image.Once) - maxReportOnceLines; n > 0 {
		t.image.Once = append([]OnceLine(nil), t.image.Once[n:]...)
	}
}

// counts returns the counters of a group, inserting them in group order if missing.
func (t *Table) counts(g Group) *Counts {
	i := sort.Search(len(t.image.Groups), func(i int) bool { return !t.image.Groups[i].less(g) })
	if i < len(t.image.Groups) && t.image.Groups[i].Group == g {
		return &t.image.Groups[i].Counts
	}
	t.image.Groups = append(t.image.Groups, Line{})
	copy(t.image.Groups[i+1:], t.image.Groups[i:])
	t.image.Groups[i] = Line{Group: g}
	return &t.image.Groups[i].Counts
}

// Report is a snapshot of a table.
type Report struct {
	Since time.Time
	Rows  []Line
	Gaps  []Gap
	Once  []OnceLine // Once is ordered from oldest to newest.
	Lost  uint64     // Lost counts lines that hosts could not buffer.
}

// Report returns a deep copy of the table's state.
func (t *Table) Report() Report {
	rows := slices.Clone(t.image.Groups)
	for i := range rows {
		rows[i].FirstToken = slices.Clone(rows[i].FirstToken)
		rows[i].Refused = maps.Clone(rows[i].Refused)
	}
	return Report{
		Since: t.image.Since,
		Rows:  rows,
		Gaps:  append([]Gap(nil), t.image.Gaps...),
		Once:  append([]OnceLine(nil), t.image.Once...),
		Lost:  t.image.Lost,
	}
}

// EncodeState implements replayer.State.
func (t *Table) EncodeState() []byte { return replayer.EncodeCBOR(t.image) }

// DecodeState implements replayer.State.
func (t *Table) DecodeState(b []byte) error {
	var img tableImage
	if err := replayer.DecodeCBOR(b, &img); err != nil {
		return err
	}
	if img.Writers == nil {
		img.Writers = make(map[string]writerState)
	}
	t.image = img
	return nil
}
