// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package appender

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/folder"
)

var now = time.Unix(1000, 0)

func entry(i int) folder.Entry { return folder.NewEntry("E", i) }

func landed(rec folder.Record) []folder.Applied { return []folder.Applied{{Record: rec}} }

// TestGroupCommit gathers what comes while a record is under way.
func TestGroupCommit(t *testing.T) {
	q := NewQueue("w", 10*time.Millisecond)
	q.Add(entry(1))
	rec, ok := q.Next(now)
	assert.Assert(t, ok && len(rec.Entries) == 1 && rec.Sequence == 1)
	q.Add(entry(2), entry(3))
	_, ok = q.Next(now.Add(time.Second))
	assert.Assert(t, !ok) // one at a time
	q.Done(now, 1, nil)
	q.Read(now, true, landed(rec))
	rec, ok = q.Next(now.Add(time.Second))
	assert.Assert(t, ok && len(rec.Entries) == 2 && rec.Sequence == 2)
}

// TestLostAnswer looks the record up before it is sent again.
func TestLostAnswer(t *testing.T) {
	for _, inLog := range []bool{true, false} {
		q := NewQueue("w", 0)
		q.Add(entry(1))
		rec, _ := q.Next(now)
		lost := now.Add(time.Second)
		q.Done(lost, rec.Sequence, errors.New("lost"))
		q.Read(now, true, nil) // began before the answer was lost: proves nothing
		_, ok := q.Next(lost.Add(time.Hour))
		assert.Assert(t, !ok)
		q.Read(lost.Add(time.Second), false, nil) // did not reach the end
		_, ok = q.Next(lost.Add(time.Hour))
		assert.Assert(t, !ok)
		if inLog {
			q.Read(lost.Add(time.Second), true, landed(rec))
			assert.Equal(t, q.Len(), 0)
			continue
		}
		q.Read(lost.Add(time.Second), true, nil)
		again, ok := q.Next(lost.Add(time.Hour))
		assert.Assert(t, ok)
		assert.Equal(t, again.Sequence, rec.Sequence) // a second copy would be dropped
	}
}
