// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package replayer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/codec"
)

// Kind is the type of an entry.
type Kind string

// KindCheckpoint is the kind of checkpoint entries, which are not passed to State.Apply.
const KindCheckpoint Kind = "Checkpoint"

// Entry is one change of a stream's state.
type Entry struct {
	Kind Kind
	Body cbor.RawMessage
}

// Record is a batch of entries that a writer appends at once.
type Record struct {
	Writer   string // Writer identifies a host and its incarnation.
	Sequence uint64 // Sequence numbers the writer's records in this stream from 1.
	Entries  []Entry
}

// RawRecord is an encoded record as read from the log.
type RawRecord struct {
	Offset uint64
	Time   time.Time // Time is when the record was appended, by the log's clock.
	Body   []byte
}

// Page is the result of one read of the log.
type Page struct {
	Earliest uint64 // Earliest is the lowest offset that the log retains.
	Next     uint64 // Next is the offset of the next append.
	Records  []RawRecord
}

// Position is the position of a record in the log.
type Position struct {
	Offset uint64
	Time   time.Time
}

// NewEntry returns an entry with an encoded body. It panics if the body cannot be encoded.
func NewEntry(kind Kind, body any) Entry {
	b, err := codec.Marshal(body)
	if err != nil {
		panic("replayer: encoding the body of an entry: " + err.Error())
	}
	return Entry{Kind: kind, Body: b}
}

// Decode decodes the body of e into dst and reports whether it succeeded. States must ignore
// entries that cannot be decoded.
func (e Entry) Decode(dst any) bool { return codec.Unmarshal(e.Body, dst) == nil }

// Size returns the approximate encoded size of e in bytes.
func (e Entry) Size() int { return len(e.Kind) + len(e.Body) + 8 }

// Encode returns the encoded record. It panics if r cannot be encoded.
func (r Record) Encode() []byte {
	b, err := codec.Marshal(r)
	if err != nil {
		panic("replayer: encoding a record: " + err.Error())
	}
	return b
}

// DecodeRecord decodes the body of a raw record.
func DecodeRecord(body []byte) (Record, error) {
	var r Record
	if err := codec.Unmarshal(body, &r); err != nil {
		return Record{}, errors.Wrap(err, "replayer: decoding a record")
	}
	if r.Writer == "" || r.Sequence == 0 {
		return Record{}, errors.New("replayer: record without writer or sequence")
	}
	return r, nil
}
