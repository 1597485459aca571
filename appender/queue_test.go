// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package appender

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/replayer"
)

var now = time.Unix(1000, 0)

func entry(i int) replayer.Entry { return replayer.NewEntry("E", i) }

func applied(rec replayer.Record) []replayer.Applied { return []replayer.Applied{{Record: rec}} }

// TestGroupCommit checks that entries added while a record is in flight share the next record.
func TestGroupCommit(t *testing.T) {
	q := NewQueue("w", 10*time.Millisecond)
	q.Add(entry(1))
	rec, ok := q.Next(now)
	assert.Assert(t, ok && len(rec.Entries) == 1 && rec.Sequence == 1)
	q.Add(entry(2), entry(3))
	_, ok = q.Next(now.Add(time.Second))
	assert.Assert(t, !ok) // one record in flight at a time
	q.AppendAnswered(now, 1, nil)
	q.StreamRead(now, true, applied(rec))
	rec, ok = q.Next(now.Add(time.Second))
	assert.Assert(t, ok && len(rec.Entries) == 2 && rec.Sequence == 2)
}

// TestLostAnswer guards against a retry of a record that may be in the log.
func TestLostAnswer(t *testing.T) {
	for _, inLog := range []bool{true, false} {
		q := NewQueue("w", 0)
		q.Add(entry(1))
		rec, _ := q.Next(now)
		lost := now.Add(time.Second)
		q.AppendAnswered(lost, rec.Sequence, errors.New("lost"))
		q.StreamRead(now, true, nil) // began before the append failed
		_, ok := q.Next(lost.Add(time.Hour))
		assert.Assert(t, !ok)
		q.StreamRead(lost.Add(time.Second), false, nil) // did not reach the end of the stream
		_, ok = q.Next(lost.Add(time.Hour))
		assert.Assert(t, !ok)
		if inLog {
			q.StreamRead(lost.Add(time.Second), true, applied(rec))
			assert.Equal(t, q.Len(), 0)
			continue
		}
		q.StreamRead(lost.Add(time.Second), true, nil)
		again, ok := q.Next(lost.Add(time.Hour))
		assert.Assert(t, ok)
		assert.Equal(t, again.Sequence, rec.Sequence) // readers drop duplicates
	}
}
