// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package appender batches entries for one stream of the platform's log into records and
// ensures that each record is applied exactly once, even when answers are lost.
//
// One record is in flight at a time. If its append fails, the stream is read to the end and
// the record is sent again only if it is not in the log. The retry carries the same writer and
// sequence number, so that readers drop duplicates. Entries that arrive in the meantime go into
// the next record (group commit).
//
// # Usage
//
//	q := appender.NewQueue("host-1#17", 10*time.Millisecond)
//	q.Add(entry)
//	if rec, ok := q.Next(now); ok { ... append rec.Encode() ... }
//	q.AppendAnswered(now, rec.Sequence, err)
//	q.StreamRead(began, caughtUp, applied)
//
// Queue is a state machine that does no I/O and reads no clock.
package appender

import (
	"time"

	"amaranthgate.example/amaranthgate/replayer"
)

// maxRecordBytes bounds the size of a record, unless a single entry exceeds it.
const maxRecordBytes = 256 << 10

// retryInterval is the minimum time between two attempts to append the same record.
const retryInterval = 100 * time.Millisecond

// phase is the phase of the record in flight.
type phase string

const (
	phaseIdle       phase = "Idle"
	phaseSent       phase = "Sent"   // phaseSent awaits the answer to an append.
	phaseAppended   phase = "Landed" // phaseAppended awaits reading the record back.
	phaseUnanswered phase = "Lost"   // phaseUnanswered awaits a read that began after the append failed.
	phaseAbsent     phase = "Absent" // phaseAbsent means that the record is not in the log and can be retried.
)

// Queue batches entries for one stream. It is not safe for concurrent use.
type Queue struct {
	writer   string
	interval time.Duration

	pending  []replayer.Entry
	current  replayer.Record
	phase    phase
	sequence uint64
	lastSent time.Time
	failedAt time.Time

	appends uint64
}

// NewQueue returns an empty queue that begins at most one record per interval.
func NewQueue(writer string, interval time.Duration) *Queue {
	return &Queue{writer: writer, interval: interval, phase: phaseIdle}
}

// Add appends entries to the queue.
func (q *Queue) Add(entries ...replayer.Entry) { q.pending = append(q.pending, entries...) }

// Len returns the number of entries that were not read back yet.
func (q *Queue) Len() int { return len(q.pending) + len(q.current.Entries) }

// Appends returns the number of attempts to append a record.
func (q *Queue) Appends() uint64 { return q.appends }

// Next returns the record to append now and reports whether there is one.
func (q *Queue) Next(now time.Time) (replayer.Record, bool) {
	switch q.phase {
	case phaseIdle:
		if len(q.pending) == 0 || now.Sub(q.lastSent) < q.interval {
			return replayer.Record{}, false
		}
		q.beginRecord()
	case phaseAbsent:
		if now.Sub(q.lastSent) < retryInterval {
			return replayer.Record{}, false
		}
	default:
		return replayer.Record{}, false
	}
	q.phase = phaseSent
	q.lastSent = now
	q.appends++
	return q.current, true
}

// Due returns the time until Next may return a record. It reports false if Next returns none until
// entries are added or read back.
func (q *Queue) Due(now time.Time) (time.Duration, bool) {
	switch {
	case q.phase == phaseIdle && len(q.pending) > 0:
		return q.interval - now.Sub(q.lastSent), true
	case q.phase == phaseAbsent:
		return retryInterval - now.Sub(q.lastSent), true
	}
	return 0, false
}

// beginRecord moves pending entries into the next record.
func (q *Queue) beginRecord() {
	n, size := 0, 0
	for n < len(q.pending) && (n == 0 || size+q.pending[n].Size() <= maxRecordBytes) {
		size += q.pending[n].Size()
		n++
	}
	q.sequence++
	q.current = replayer.Record{Writer: q.writer, Sequence: q.sequence, Entries: q.pending[:n:n]}
	q.pending = append([]replayer.Entry(nil), q.pending[n:]...)
}

// AppendAnswered processes the answer to an append. After an error the record may or may not be in the log.
func (q *Queue) AppendAnswered(now time.Time, sequence uint64, err error) {
	if q.phase != phaseSent || sequence != q.sequence {
		return
	}
	if err != nil {
		q.phase, q.failedAt = phaseUnanswered, now
		return
	}
	q.phase = phaseAppended
}

// StreamRead processes a read of the stream: its start time, whether it reached the end of the stream,
// and the records that were applied.
func (q *Queue) StreamRead(began time.Time, caughtUp bool, applied []replayer.Applied) {
	for _, a := range applied {
		if a.Writer == q.writer && a.Sequence == q.sequence && q.phase != phaseIdle {
			q.phase = phaseIdle
			q.current = replayer.Record{}
		}
	}
	if q.phase == phaseUnanswered && caughtUp && began.After(q.failedAt) {
		q.phase = phaseAbsent
	}
}
