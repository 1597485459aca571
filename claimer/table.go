// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package claimer

import (
	"time"

	"amaranthgate.example/amaranthgate/replayer"
)

// Kinds of entries in a range's stream.
const (
	KindOpen    replayer.Kind = "Open"
	KindClaim   replayer.Kind = "Claim"
	KindOutcome replayer.Kind = "Outcome"
	KindExpire  replayer.Kind = "Expire"
)

// Open begins the epoch of a new owner.
type Open struct {
	Epoch uint64
}

// Claim claims a key for a request.
type Claim struct {
	Epoch uint64
	Request
}

// Settle records the outcome of a claim.
type Settle struct {
	Epoch uint64
	Outcome
}

// Expire removes keys that last changed before a time of the log's clock. It retains claimed keys.
type Expire struct {
	Epoch  uint64
	Before time.Time
}

// Entry is the state of one key.
type Entry struct {
	Digest Digest
	Nonce  string
	State  State
	At     time.Time // At is the time of the last change by the log's clock.
	Answer *Answer   `cbor:",omitempty"`
}

// Table holds the state of the keys of one range. It implements replayer.State.
type Table struct {
	epoch uint64
	owner string
	keys  map[Key]Entry
}

type tableImage struct {
	Epoch uint64
	Owner string
	Keys  map[Key]Entry
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{keys: make(map[Key]Entry)} }

// Epoch returns the epoch of the current owner.
func (t *Table) Epoch() uint64 { return t.epoch }

// Owner returns the writer name of the current owner.
func (t *Table) Owner() string { return t.owner }

// Len returns the number of retained keys.
func (t *Table) Len() int { return len(t.keys) }

// Lookup returns the entry of a key and reports whether there is one.
func (t *Table) Lookup(k Key) (Entry, bool) {
	e, ok := t.keys[k]
	return e, ok
}

// Apply implements replayer.State.
func (t *Table) Apply(at replayer.Position, writer string, e replayer.Entry) {
	switch e.Kind {
	case KindOpen:
		var o Open
		if e.Decode(&o) && o.Epoch > t.epoch {
			t.epoch, t.owner = o.Epoch, writer
		}
	case KindClaim:
		var c Claim
		if e.Decode(&c) && t.isOwner(writer, c.Epoch) {
			t.claim(at, c)
		}
	case KindOutcome:
		var s Settle
		if e.Decode(&s) && t.isOwner(writer, s.Epoch) {
			t.settle(at, s)
		}
	case KindExpire:
		var x Expire
		if e.Decode(&x) && t.isOwner(writer, x.Epoch) {
			t.expire(x.Before)
		}
	}
}

func (t *Table) isOwner(writer string, epoch uint64) bool {
	return epoch == t.epoch && writer == t.owner
}

func (t *Table) claim(at replayer.Position, c Claim) {
	if old, ok := t.keys[c.Key]; ok && old.State != StateNotRun {
		return
	}
	t.keys[c.Key] = Entry{Digest: c.Digest, Nonce: c.Nonce, State: StateClaimed, At: at.Time}
}

// settle sets the outcome of a claim. Done and NotRun are final; the claimant may still correct
// Unknown.
func (t *Table) settle(at replayer.Position, s Settle) {
	e, ok := t.keys[s.Key]
	if !ok || e.Nonce != s.Nonce || e.State == StateDone || e.State == StateNotRun {
		return
	}
	if s.State == StateClaimed || s.State == e.State {
		return
	}
	e.State, e.Answer, e.At = s.State, s.Answer, at.Time
	t.keys[s.Key] = e
}

func (t *Table) expire(before time.Time) {
	for k, e := range t.keys {
		if e.At.Before(before) && e.State != StateClaimed {
			delete(t.keys, k)
		}
	}
}

// EncodeState implements replayer.State.
func (t *Table) EncodeState() []byte {
	return replayer.EncodeCBOR(tableImage{Epoch: t.epoch, Owner: t.owner, Keys: t.keys})
}

// DecodeState implements replayer.State.
func (t *Table) DecodeState(b []byte) error {
	var img tableImage
	if err := replayer.DecodeCBOR(b, &img); err != nil {
		return err
	}
	if img.Keys == nil {
		img.Keys = make(map[Key]Entry)
	}
	t.epoch, t.owner, t.keys = img.Epoch, img.Owner, img.Keys
	return nil
}
