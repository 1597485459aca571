// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/timer"
)

// notesStore is a store of which only the saved state is used.
type notesStore struct {
	Store
	notes map[string][]byte
}

func (s *notesStore) Saved(context.Context) (map[string][]byte, error) { return s.notes, nil }

func (s *notesStore) Save(_ context.Context, key string, value []byte) error {
	if len(value) == 0 {
		delete(s.notes, key)
		return nil
	}
	s.notes[key] = value
	return nil
}

// savedBarOf returns a saved bar and its key.
func savedBarOf(t *testing.T, target string) (key string, value []byte) {
	id := quarantiner.Identify(quarantiner.Parts{Workspace: "w", Method: "POST", Target: target})
	value, err := codec.Marshal(savedBar{
		Entry: quarantiner.Entry{Identity: id, Ends: []string{"e1", "e2", "e3"}}, At: time.Now().UnixMilli(),
	})
	assert.NilError(t, err)
	return savedBarPrefix + id.String(), value
}

// newNotesHost returns a host that has not started and uses the saved state of a store.
func newNotesHost(t *testing.T, store Store) *Host {
	settings := loader.Default()
	settings.Host, settings.Platform = "host-1", &loader.Platform{}
	h := New(Options{
		Settings: settings, Store: store, Pool: forwarder.NewPool(forwarder.PoolOptions{}), Timing: DefaultTiming(),
		Timer: timer.NewSystem(), Log: logger.From(zerolog.Nop()), Dropped: func() uint64 { return 0 },
	})
	t.Cleanup(h.cancel)
	return h
}

// TestRestoredBarStaysSaved guards against a host that removes the saved bars that it has just restored,
// so that the next loss of all hosts forgets them.
func TestRestoredBarStaysSaved(t *testing.T) {
	key, value := savedBarOf(t, "/x")
	store := &notesStore{notes: map[string][]byte{key: value}}
	h := newNotesHost(t, store)
	var saved savedState
	saved.update(h) // the control loop has not handled what was restored
	assert.Equal(t, len(store.notes), 1)
	assert.Equal(t, len(h.quarantine.Bars(time.Now())), 1)
}

// TestLostStateIsSavedAgain guards against bars that nobody saves again once the store lost them, and bars whose
// removal it lost.
func TestLostStateIsSavedAgain(t *testing.T) {
	key, value := savedBarOf(t, "/x")
	lifted, liftedValue := savedBarOf(t, "/y")
	store := &notesStore{notes: map[string][]byte{key: value}}
	h := newNotesHost(t, store)
	var saved savedState
	saved.update(h)
	store.notes = map[string][]byte{lifted: liftedValue}
	saved.update(h)
	assert.Assert(t, store.notes[key] == nil, "saved again without a reason")
	h.execute(SaveAgain{})
	saved.update(h)
	assert.Assert(t, store.notes[key] != nil)
	assert.Equal(t, len(store.notes), 1)
	assert.Equal(t, len(h.quarantine.Bars(time.Now())), 1)
}
