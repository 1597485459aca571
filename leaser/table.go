// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package leaser

import (
	"amaranthgate.example/amaranthgate/replayer"
)

// StreamName is the name of the stream of leases in the log.
const StreamName = "Leases"

// Kinds of entries in the stream of leases.
const (
	KindAcquire replayer.Kind = "Acquire"
	KindRenew   replayer.Kind = "Renew"
	KindRelease replayer.Kind = "Release"
)

// Acquire acquires a lease that the writer considers free or expired. It is ignored if the lease
// is no longer in the given state.
type Acquire struct {
	Name     string
	Epoch    uint64 // Epoch is the epoch to replace; 0 if there was none.
	Renewals uint64 // Renewals is the number of renewals of that epoch.
}

// Ref identifies one epoch of a lease.
type Ref struct {
	Name  string
	Epoch uint64
}

// Renew renews leases of the writer.
type Renew struct {
	Leases []Ref
}

// Release releases leases of the writer.
type Release struct {
	Leases []Ref
}

// Lease is the state of one lease.
type Lease struct {
	Holder   string // Holder is the writer that holds the lease; empty after a release.
	Epoch    uint64
	Renewals uint64
}

// Table holds the state of all leases. It implements replayer.State.
type Table struct {
	leases map[string]Lease
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{leases: make(map[string]Lease)} }

// Lookup returns the state of a lease, the zero Lease if it does not exist.
func (t *Table) Lookup(name string) Lease { return t.leases[name] }

// All returns a copy of the leases by name.
func (t *Table) All() map[string]Lease {
	out := make(map[string]Lease, len(t.leases))
	for n, l := range t.leases {
		out[n] = l
	}
	return out
}

// Apply implements replayer.State. An epoch is an offset plus one, so that 0 stands for none.
func (t *Table) Apply(at replayer.Position, writer string, e replayer.Entry) {
	switch e.Kind {
	case KindAcquire:
		var a Acquire
		if !e.Decode(&a) {
			return
		}
		old := t.leases[a.Name]
		if old.Epoch == a.Epoch && old.Renewals == a.Renewals {
			t.leases[a.Name] = Lease{Holder: writer, Epoch: at.Offset + 1}
		}
	case KindRenew:
		var r Renew
		if e.Decode(&r) {
			t.update(writer, r.Leases, func(l Lease) Lease { l.Renewals++; return l })
		}
	case KindRelease:
		var r Release
		if e.Decode(&r) {
			t.update(writer, r.Leases, func(l Lease) Lease { l.Holder = ""; l.Renewals++; return l })
		}
	}
}

// update replaces those of the referenced leases that the writer still holds.
func (t *Table) update(writer string, refs []Ref, change func(Lease) Lease) {
	for _, r := range refs {
		if l, ok := t.leases[r.Name]; ok && l.Holder == writer && l.Epoch == r.Epoch {
			t.leases[r.Name] = change(l)
		}
	}
}

// EncodeState implements replayer.State.
func (t *Table) EncodeState() []byte { return replayer.EncodeCBOR(t.leases) }

// DecodeState implements replayer.State.
func (t *Table) DecodeState(b []byte) error {
	leases := make(map[string]Lease)
	if err := replayer.DecodeCBOR(b, &leases); err != nil {
		return err
	}
	t.leases = leases
	return nil
}
