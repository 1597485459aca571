// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package foldcheck checks what every fold of a stream must keep: a state that
// was restored from a checkpoint equals the one that was folded, and goes on
// like it.
//
// # Usage
//
//	foldcheck.Run(t, func() folder.State { return leaser.NewTable() }, entries)
package foldcheck

import (
	"bytes"
	"testing"
	"time"

	"amaranthgate.example/amaranthgate/folder"
)

// Written is an entry and who wrote it.
type Written struct {
	Writer string
	Entry  folder.Entry
}

// Run folds entries and, after each of them, restores the state from its image
// and folds the rest over that. Every way must end in the same image. Entries
// that cannot be decoded must change nothing.
func Run(t *testing.T, fresh func() folder.State, entries []Written) {
	t.Helper()
	at := func(i int) folder.Position {
		return folder.Position{Offset: uint64(i), Time: time.Date(2026, 3, 12, 8, 0, i, 987654321, time.UTC)}
	}
	whole := fresh()
	for i, w := range entries {
		whole.Apply(at(i), w.Writer, w.Entry)
	}
	want := whole.EncodeState()
	if bytes.Equal(want, fresh().EncodeState()) {
		t.Fatal("foldcheck: the entries change nothing")
	}
	for cut := range len(entries) {
		s := fresh()
		for i, w := range entries[:cut] {
			s.Apply(at(i), w.Writer, w.Entry)
		}
		restored := fresh()
		if err := restored.DecodeState(s.EncodeState()); err != nil {
			t.Fatalf("foldcheck: restore after %d entries: %v", cut, err)
		}
		for i, w := range entries[cut:] {
			restored.Apply(at(cut+i), w.Writer, w.Entry)
		}
		if !bytes.Equal(restored.EncodeState(), want) {
			t.Fatalf("foldcheck: restored after %d entries, the state differs", cut)
		}
	}
	for _, w := range entries {
		whole.Apply(at(len(entries)), w.Writer, folder.Entry{Kind: w.Entry.Kind, Body: []byte{0x9f}})
	}
	if !bytes.Equal(whole.EncodeState(), want) {
		t.Fatal("foldcheck: a damaged entry changed the state")
	}
}
