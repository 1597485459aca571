// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package folder

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/internal/codec"
)

// Kind names the type of an entry.
type Kind string

// KindCheckpoint is the kind of the entries that this package handles itself.
const KindCheckpoint Kind = "Checkpoint"

// Entry is one statement within a record.
type Entry struct {
	Kind Kind
	Body cbor.RawMessage
}

// Record is what one append holds: the entries that a writer gathered since
// its last append.
type Record struct {
	Writer   string // Writer is host and incarnation.
	Sequence uint64 // Sequence counts the writer's records in this stream from 1.
	Entries  []Entry
}

// Raw is a record as the platform's log returns it.
type Raw struct {
	Offset uint64
	Time   time.Time // Time is the log's own time of the append.
	Body   []byte
}

// Page is the answer to one read.
type Page struct {
	Earliest uint64 // Earliest is the lowest offset that the log still keeps.
	Next     uint64 // Next is the offset that the next append will get.
	Records  []Raw
}

// Position is where a record stands.
type Position struct {
	Offset uint64
	Time   time.Time
}

// NewEntry encodes a body. It panics if the body cannot be encoded.
func NewEntry(kind Kind, body any) Entry {
	b, err := codec.Marshal(body)
	if err != nil {
		panic("folder: entry cannot be encoded: " + err.Error())
	}
	return Entry{Kind: kind, Body: b}
}

// Decode reads the body of an entry into dst and reports whether it could.
// Entries that cannot be decoded are ignored by every host alike.
func (e Entry) Decode(dst any) bool { return codec.Unmarshal(e.Body, dst) == nil }

// Size returns the approximate number of bytes that e takes in a record.
func (e Entry) Size() int { return len(e.Kind) + len(e.Body) + 8 }

// Encode returns the body under which r is appended.
func (r Record) Encode() []byte {
	b, err := codec.Marshal(r)
	if err != nil {
		panic("folder: record cannot be encoded: " + err.Error())
	}
	return b
}

// DecodeRecord reads a record from the body of an append.
func DecodeRecord(body []byte) (Record, error) {
	var r Record
	if err := codec.Unmarshal(body, &r); err != nil {
		return Record{}, errors.Wrap(err, "folder: not a record")
	}
	if r.Writer == "" || r.Sequence == 0 {
		return Record{}, errors.New("folder: record without writer or sequence")
	}
	return r, nil
}
