// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/placer"
)

// TestSavedAges: a version is saved a few times as it grows older, and again when a newer version
// is named.
func TestSavedAges(t *testing.T) {
	var n savedVersionAges
	writes := 0
	for age := time.Duration(0); age < time.Minute; age += 100 * time.Millisecond {
		ages := []follower.VersionAge{{Model: "m", Version: 1, Age: age + time.Hour}, {Model: "m", Version: 2, Age: age}}
		for model, due := range n.due(ages) {
			assert.Equal(t, len(due), 2)
			n.markSaved(model, due)
			writes++
		}
	}
	assert.Equal(t, writes, len(saveAges))
	assert.Equal(t, len(n.due([]follower.VersionAge{{Model: "m", Version: 3, Age: time.Second}})), 1)
}

// TestReplacedBeforeStart: a host that has just started evicts what was replaced long before, if
// that is known from other hosts or saved state, and nothing else.
func TestReplacedBeforeStart(t *testing.T) {
	now := time.Unix(1000, 0)
	const after = 12 * time.Second
	state := follower.New()
	state.Apply(now, follower.Change{Weights: &follower.Weights{Model: "m", Version: 3}}, follower.Position{Offset: 1})
	salt := func(weights uint64) string { return placer.Salt{Model: "m", Weights: weights}.String() }
	for _, weights := range []uint64{1, 2, 3} {
		assert.Assert(t, inUse(state.View(), now, salt(weights), after), "the ages are unknown")
	}
	assert.Assert(t, state.MergeVersionAges(now, []follower.VersionAge{
		{Model: "m", Version: 2, Age: 14 * time.Second}, {Model: "m", Version: 3, Age: 9 * time.Second},
	}))
	assert.Assert(t, !state.MergeVersionAges(now, []follower.VersionAge{{Model: "m", Version: 3, Age: 9 * time.Second}}), "already known")
	assert.Assert(t, !inUse(state.View(), now, salt(1), after))
	assert.Assert(t, inUse(state.View(), now, salt(2), after))
	assert.Assert(t, !inUse(state.View(), now.Add(4*time.Second), salt(2), after))
	assert.Assert(t, inUse(state.View(), now.Add(time.Hour), salt(3), after))
	assert.Assert(t, inUse(state.View(), now, "not a salt", after))
}
