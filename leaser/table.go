// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package leaser

import (
	"amaranthgate.example/amaranthgate/folder"
)

// StreamName is the name of the leases' stream in the log.
const StreamName = "Leases"

// The kinds of entries in the leases' stream.
const (
	KindAcquire folder.Kind = "Acquire"
	KindRenew   folder.Kind = "Renew"
	KindRelease folder.Kind = "Release"
)

// Acquire takes a lease over from a state that the writer has seen expire.
type Acquire struct {
	Name     string
	Epoch    uint64 // Epoch is the epoch that is replaced; 0 if there was none.
	Renewals uint64 // Renewals is the number of renewals that the writer saw in it.
}

// Ref names a lease in one epoch.
type Ref struct {
	Name  string
	Epoch uint64
}

// Renew prolongs the leases of the writer.
type Renew struct {
	Leases []Ref
}

// Release gives leases up.
type Release struct {
	Leases []Ref
}

// Lease is the state of one lease.
type Lease struct {
	Holder   string // Holder is the writer that holds it; empty when it was released.
	Epoch    uint64
	Renewals uint64
}

// Table is the fold of the leases' stream. It implements folder.State.
type Table struct {
	leases map[string]Lease
}

// NewTable returns a table without leases.
func NewTable() *Table { return &Table{leases: make(map[string]Lease)} }

// Lookup returns the state of a lease.
func (t *Table) Lookup(name string) Lease { return t.leases[name] }

// All returns a copy of all leases by name.
func (t *Table) All() map[string]Lease {
	out := make(map[string]Lease, len(t.leases))
	for n, l := range t.leases {
		out[n] = l
	}
	return out
}

// Apply implements folder.State. Epochs are offsets plus one, so that no epoch
// is 0.
func (t *Table) Apply(at folder.Position, writer string, e folder.Entry) {
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
			t.each(writer, r.Leases, func(l Lease) Lease { l.Renewals++; return l })
		}
	case KindRelease:
		var r Release
		if e.Decode(&r) {
			t.each(writer, r.Leases, func(l Lease) Lease { l.Holder = ""; l.Renewals++; return l })
		}
	}
}

func (t *Table) each(writer string, refs []Ref, change func(Lease) Lease) {
	for _, r := range refs {
		if l, ok := t.leases[r.Name]; ok && l.Holder == writer && l.Epoch == r.Epoch {
			t.leases[r.Name] = change(l)
		}
	}
}

// EncodeState implements folder.State.
func (t *Table) EncodeState() []byte { return folder.EncodeCBOR(t.leases) }

// DecodeState implements folder.State.
func (t *Table) DecodeState(b []byte) error {
	leases := make(map[string]Lease)
	if err := folder.DecodeCBOR(b, &leases); err != nil {
		return err
	}
	t.leases = leases
	return nil
}
