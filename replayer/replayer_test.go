// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package replayer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// counter counts applied entries by writer, which makes duplicates visible.
type counter struct{ n map[string]int }

func (c *counter) Apply(_ Position, writer string, _ Entry) { c.n[writer]++ }
func (c *counter) EncodeState() []byte                      { return EncodeCBOR(c.n) }
func (c *counter) DecodeState(b []byte) error               { c.n = nil; return DecodeCBOR(b, &c.n) }

var start = time.Date(2026, 3, 12, 8, 0, 0, 123456789, time.UTC)

func raw(offset uint64, writer string, seq uint64, entries ...Entry) RawRecord {
	if entries == nil {
		entries = []Entry{NewEntry("E", 1)}
	}
	return RawRecord{Offset: offset, Time: start.Add(time.Duration(offset) * time.Second), Body: Record{Writer: writer, Sequence: seq, Entries: entries}.Encode()}
}

// TestDuplicatesAreDropped checks that a record that is appended or fed again is applied once.
func TestDuplicatesAreDropped(t *testing.T) {
	c := &counter{n: map[string]int{}}
	s := NewStream("s", c)
	s.Feed(Page{Next: 4, Records: []RawRecord{raw(0, "a", 1), raw(1, "a", 2), raw(2, "a", 1), raw(3, "b", 1)}})
	assert.DeepEqual(t, c.n, map[string]int{"a": 2, "b": 1})
	s.Feed(Page{Next: 4, Records: []RawRecord{raw(0, "a", 1)}}) // the same page again
	assert.DeepEqual(t, c.n, map[string]int{"a": 2, "b": 1})
	assert.Assert(t, s.Ready())
}

// TestStartFromCheckpoint checks that a reader that starts at a checkpoint reaches the same state
// as a reader from the beginning and drops duplicates of records before the checkpoint.
func TestStartFromCheckpoint(t *testing.T) {
	early := NewStream("s", &counter{n: map[string]int{}})
	early.Feed(Page{Next: 3, Records: []RawRecord{raw(0, "a", 1), raw(1, "b", 1), raw(2, "a", 2)}})
	tail := []RawRecord{raw(3, "b", 2), raw(4, "c", 1, early.Checkpoint(time.Hour)), raw(5, "a", 2), raw(6, "b", 3)}
	early.Feed(Page{Next: 7, Records: tail})

	late := NewStream("s", &counter{n: map[string]int{}})
	late.Feed(Page{Earliest: 3, Next: 4, Records: tail[:1]})
	assert.Assert(t, !late.Ready())
	late.Feed(Page{Earliest: 3, Next: 7, Records: tail[1:]})
	assert.Assert(t, late.Ready())
	assert.DeepEqual(t, late.state.(*counter).n, early.state.(*counter).n)
	assert.Equal(t, late.LastTime(), early.LastTime())
}

// TestGapNeedsCheckpoint checks that records after a gap are not applied before a checkpoint.
func TestGapNeedsCheckpoint(t *testing.T) {
	s := NewStream("s", &counter{n: map[string]int{}})
	s.Feed(Page{Next: 1, Records: []RawRecord{raw(0, "a", 1)}})
	s.Feed(Page{Earliest: 5, Next: 6, Records: []RawRecord{raw(5, "a", 6)}})
	assert.Equal(t, s.state.(*counter).n["a"], 1)
}

// TestAdoptRejectsOlderSnapshot guards against moving the state back to a lower offset.
func TestAdoptRejectsOlderSnapshot(t *testing.T) {
	s := NewStream("s", &counter{n: map[string]int{}})
	s.Feed(Page{Next: 1, Records: []RawRecord{raw(0, "a", 1)}})
	old := s.Snapshot(time.Hour)
	s.Feed(Page{Next: 2, Records: []RawRecord{raw(1, "a", 2)}})
	assert.Assert(t, !s.Adopt(old))
	fresh := NewStream("s", &counter{n: map[string]int{}})
	assert.Assert(t, fresh.Adopt(s.Snapshot(time.Hour)))
	assert.Equal(t, fresh.Next(), uint64(2))
}

// FuzzRecord checks that arbitrary record bodies do not crash a stream.
func FuzzRecord(f *testing.F) {
	f.Add(raw(0, "a", 1).Body)
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0xa1, 0x67, 'E', 'n', 't', 'r', 'i', 'e', 's', 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		s := NewStream("s", &counter{n: map[string]int{}})
		s.Feed(Page{Earliest: 1, Next: 3, Records: []RawRecord{{Offset: 1, Body: body}, {Offset: 2, Body: body}}})
		s.Feed(Page{Next: 1, Records: []RawRecord{{Offset: 3, Body: body}}})
	})
}
