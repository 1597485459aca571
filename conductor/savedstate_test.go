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

// TestRestoredBarStaysSaved guards against a host that removes the saved bars that it has just restored,
// so that the next loss of all hosts forgets them.
func TestRestoredBarStaysSaved(t *testing.T) {
	id := quarantiner.Identify(quarantiner.Parts{Workspace: "w", Method: "POST", Target: "/x"})
	value, err := codec.Marshal(savedBar{
		Entry: quarantiner.Entry{Identity: id, Ends: []string{"e1", "e2", "e3"}}, At: time.Now().UnixMilli(),
	})
	assert.NilError(t, err)
	store := &notesStore{notes: map[string][]byte{savedBarPrefix + id.String(): value}}
	settings := loader.Default()
	settings.Host, settings.Platform = "host-1", &loader.Platform{}
	h := New(Options{
		Settings: settings, Store: store, Pool: forwarder.NewPool(forwarder.PoolOptions{}), Timing: DefaultTiming(),
		Timer: timer.NewSystem(), Log: logger.From(zerolog.Nop()), Dropped: func() uint64 { return 0 },
	})
	defer h.cancel()
	var saved savedState
	saved.update(h) // the control loop has not handled what was restored
	assert.Equal(t, len(store.notes), 1)
	assert.Equal(t, len(h.quarantine.Bars(time.Now())), 1)
}
