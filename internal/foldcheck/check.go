// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package foldcheck tests implementations of replayer.State: a state restored
// from a checkpoint must equal the original and apply later entries alike.
//
// # Usage
//
//	foldcheck.Run(t, func() replayer.State { return leaser.NewTable() }, entries)
package foldcheck

import (
	"bytes"
	"testing"
	"time"

	"amaranthgate.example/amaranthgate/replayer"
)

// WrittenEntry is an entry with its writer.
type WrittenEntry struct {
	Writer string
	Entry  replayer.Entry
}

// Run applies entries to a state from newState. For each prefix of entries it also
// restores a state from a checkpoint after that prefix and applies the rest. All
// encoded results must be equal, and malformed entries must change nothing.
func Run(t *testing.T, newState func() replayer.State, entries []WrittenEntry) {
	t.Helper()
	at := func(i int) replayer.Position {
		return replayer.Position{Offset: uint64(i), Time: time.Date(2026, 3, 12, 8, 0, i, 987654321, time.UTC)}
	}
	full := newState()
	for i, w := range entries {
		full.Apply(at(i), w.Writer, w.Entry)
	}
	want := full.EncodeState()
	if bytes.Equal(want, newState().EncodeState()) {
		t.Fatal("foldcheck: the entries do not change the state")
	}
	for applied := range len(entries) {
		s := newState()
		for i, w := range entries[:applied] {
			s.Apply(at(i), w.Writer, w.Entry)
		}
		restored := newState()
		if err := restored.DecodeState(s.EncodeState()); err != nil {
			t.Fatalf("foldcheck: restore after %d entries: %v", applied, err)
		}
		for i, w := range entries[applied:] {
			restored.Apply(at(applied+i), w.Writer, w.Entry)
		}
		if !bytes.Equal(restored.EncodeState(), want) {
			t.Fatalf("foldcheck: the state restored after %d entries differs", applied)
		}
	}
	for _, w := range entries {
		full.Apply(at(len(entries)), w.Writer, replayer.Entry{Kind: w.Entry.Kind, Body: []byte{0x9f}})
	}
	if !bytes.Equal(full.EncodeState(), want) {
		t.Fatal("foldcheck: a malformed entry changed the state")
	}
}
