// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package leaser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/foldcheck"
	"amaranthgate.example/amaranthgate/replayer"
)

func TestTableRestores(t *testing.T) {
	foldcheck.Run(t, func() replayer.State { return NewTable() }, []foldcheck.WrittenEntry{
		{Writer: "a", Entry: replayer.NewEntry(KindAcquire, Acquire{Name: "l"})},
		{Writer: "a", Entry: replayer.NewEntry(KindRenew, Renew{Leases: []Ref{{Name: "l", Epoch: 1}}})},
		{Writer: "b", Entry: replayer.NewEntry(KindAcquire, Acquire{Name: "l", Epoch: 1, Renewals: 1})},
		{Writer: "b", Entry: replayer.NewEntry(KindRelease, Release{Leases: []Ref{{Name: "l", Epoch: 3}}})},
	})
}

// TestRenewalInvalidatesAcquire guards against two holders when a renewal precedes an Acquire.
func TestRenewalInvalidatesAcquire(t *testing.T) {
	table := NewTable()
	apply := func(offset uint64, writer string, e replayer.Entry) {
		table.Apply(replayer.Position{Offset: offset}, writer, e)
	}
	apply(0, "a", replayer.NewEntry(KindAcquire, Acquire{Name: "l"}))
	apply(1, "a", replayer.NewEntry(KindRenew, Renew{Leases: []Ref{{Name: "l", Epoch: 1}}}))
	apply(2, "b", replayer.NewEntry(KindAcquire, Acquire{Name: "l", Epoch: 1, Renewals: 0}))
	assert.DeepEqual(t, table.Lookup("l"), Lease{Holder: "a", Epoch: 1, Renewals: 1})
	apply(3, "b", replayer.NewEntry(KindAcquire, Acquire{Name: "l", Epoch: 1, Renewals: 1}))
	assert.DeepEqual(t, table.Lookup("l"), Lease{Holder: "b", Epoch: 4})
	apply(4, "a", replayer.NewEntry(KindRenew, Renew{Leases: []Ref{{Name: "l", Epoch: 1}}}))
	assert.DeepEqual(t, table.Lookup("l"), Lease{Holder: "b", Epoch: 4})
}

// TestHolderStopsBeforeContender guards against a contender that acquires a lease while its holder
// still acts on it.
func TestHolderStopsBeforeContender(t *testing.T) {
	opts := Options{Duration: 3 * time.Second, Margin: 500 * time.Millisecond}
	ta, tb := NewTable(), NewTable()
	a, b := NewHolder("a", ta, opts), NewHolder("b", tb, opts)
	now := time.Unix(1000, 0)
	want := []Wanted{{Name: "l"}}
	entries := a.Tick(now, want)
	rec := replayer.Applied{Record: replayer.Record{Writer: "a", Sequence: 1, Entries: entries}}
	read := now.Add(400 * time.Millisecond)
	for _, x := range []struct {
		table  *Table
		holder *Holder
	}{{ta, a}, {tb, b}} {
		x.table.Apply(rec.Position, "a", entries[0])
		x.holder.Applied(read, rec)
	}
	_, valid := a.Valid(now.Add(2499*time.Millisecond), "l")
	assert.Assert(t, valid)
	_, valid = a.Valid(now.Add(2500*time.Millisecond), "l")
	assert.Assert(t, !valid)
	assert.Equal(t, len(b.Tick(now.Add(3399*time.Millisecond), want)), 0)
	assert.Equal(t, len(b.Tick(now.Add(3400*time.Millisecond), want)), 1)
}
