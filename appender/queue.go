// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package appender gathers entries for one stream of the platform's log into
// few records and sees to it that each record counts exactly once, although
// answers get lost.
//
// One record is under way at a time. When its append is not answered, the
// stream is read up to its end first; only if the record is not there is it
// sent again, under the same writer and sequence number, so that a second copy
// is dropped by every reader. Entries that come meanwhile go into the next
// record (group commit).
//
// # Usage
//
//	q := appender.NewQueue("host-1#17", 10*time.Millisecond)
//	q.Add(entry)
//	if rec, ok := q.Next(now); ok { ... append rec.Encode() ... }
//	q.Done(now, rec.Sequence, err)
//	q.Read(began, caughtUp, applied)
//
// Queue is a state machine without clock or I/O.
package appender

import (
	"time"

	"amaranthgate.example/amaranthgate/folder"
)

// maxRecordBytes is the size at which a record takes no more entries.
const maxRecordBytes = 256 << 10

// retryPause is the time between two tries to append the same record.
const retryPause = 100 * time.Millisecond

type phase string

const (
	phaseIdle   phase = "Idle"
	phaseSent   phase = "Sent"   // phaseSent waits for the answer.
	phaseLanded phase = "Landed" // phaseLanded waits to read the record back.
	phaseLost   phase = "Lost"   // phaseLost waits for a read that began after the answer was lost.
	phaseAbsent phase = "Absent" // phaseAbsent is known not to be in the log and may be sent again.
)

// Queue is the state of the appends to one stream.
type Queue struct {
	writer   string
	interval time.Duration

	waiting  []folder.Entry
	current  folder.Record
	phase    phase
	sequence uint64
	last     time.Time // last is when a record was last sent.
	lostAt   time.Time

	appends uint64
}

// NewQueue returns an empty queue. A record is begun at most once in each
// interval.
func NewQueue(writer string, interval time.Duration) *Queue {
	return &Queue{writer: writer, interval: interval, phase: phaseIdle}
}

// Add puts entries behind those that wait.
func (q *Queue) Add(entries ...folder.Entry) { q.waiting = append(q.waiting, entries...) }

// Len returns the number of entries that are not read back yet.
func (q *Queue) Len() int { return len(q.waiting) + len(q.current.Entries) }

// Appends returns the number of appends tried.
func (q *Queue) Appends() uint64 { return q.appends }

// Next returns the record to append now, if there is one.
func (q *Queue) Next(now time.Time) (folder.Record, bool) {
	switch q.phase {
	case phaseIdle:
		if len(q.waiting) == 0 || now.Sub(q.last) < q.interval {
			return folder.Record{}, false
		}
		q.begin()
	case phaseAbsent:
		if now.Sub(q.last) < retryPause {
			return folder.Record{}, false
		}
	default:
		return folder.Record{}, false
	}
	q.phase = phaseSent
	q.last = now
	q.appends++
	return q.current, true
}

// Due returns how long to wait until Next may have something, and false if
// time alone brings nothing.
func (q *Queue) Due(now time.Time) (time.Duration, bool) {
	switch {
	case q.phase == phaseIdle && len(q.waiting) > 0:
		return q.interval - now.Sub(q.last), true
	case q.phase == phaseAbsent:
		return retryPause - now.Sub(q.last), true
	}
	return 0, false
}

func (q *Queue) begin() {
	n, size := 0, 0
	for n < len(q.waiting) && (n == 0 || size+q.waiting[n].Size() <= maxRecordBytes) {
		size += q.waiting[n].Size()
		n++
	}
	q.sequence++
	q.current = folder.Record{Writer: q.writer, Sequence: q.sequence, Entries: q.waiting[:n:n]}
	q.waiting = append([]folder.Entry(nil), q.waiting[n:]...)
}

// Done takes the answer to an append. An error means that nothing is known.
func (q *Queue) Done(now time.Time, sequence uint64, err error) {
	if q.phase != phaseSent || sequence != q.sequence {
		return
	}
	if err != nil {
		q.phase, q.lostAt = phaseLost, now
		return
	}
	q.phase = phaseLanded
}

// Read takes what was read from the stream: when the read began, whether it
// reached the stream's end, and the records that counted.
func (q *Queue) Read(began time.Time, caughtUp bool, applied []folder.Applied) {
	for _, a := range applied {
		if a.Writer == q.writer && a.Sequence == q.sequence && q.phase != phaseIdle {
			q.phase = phaseIdle
			q.current = folder.Record{}
		}
	}
	if q.phase == phaseLost && caughtUp && began.After(q.lostAt) {
		q.phase = phaseAbsent
	}
}
