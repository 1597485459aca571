// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package updater

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPhases checks that a holder's newest status replaces the one before and expires.
func TestPhases(t *testing.T) {
	r := New(Options{Host: "a"})
	now := time.Unix(1000, 0)
	r.HandleStatus(now, &Status{Holding: true, Loading: []string{"e1", "e2"}, Next: []string{"e3"}})
	assert.DeepEqual(t, r.Phases(now), map[string]Phase{"e1": PhaseLoading, "e2": PhaseLoading, "e3": PhaseNext})
	now = now.Add(100 * time.Millisecond)
	r.HandleStatus(now, &Status{Holding: true, Loading: []string{"e2", "e3"}})
	assert.DeepEqual(t, r.Phases(now), map[string]Phase{"e2": PhaseLoading, "e3": PhaseLoading})
	r.HandleStatus(now, &Status{Loading: []string{"e4"}}) // ignored: the sender does not hold the lease
	assert.Equal(t, len(r.Phases(now)), 2)
	assert.Equal(t, len(r.Phases(now.Add(2*statusTTL))), 0)
}
