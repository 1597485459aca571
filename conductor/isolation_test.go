// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/placer"
)

// TestSharedContextOfOtherIsolationIsFreed guards against shared KV caches that stay in stores for good, or are freed while
// they may be fetched, after a change of the isolated workspaces.
func TestSharedContextOfOtherIsolationIsFreed(t *testing.T) {
	const after = 5 * time.Second
	start := time.Unix(1000, 0)
	shared := placer.Salt{Model: "m", Weights: 1}.String()
	own := placer.Salt{Model: "m", Weights: 1, Workspace: "w"}.String()
	newer := placer.Salt{Model: "m", Weights: 1, Isolation: "5f1c"}.String()
	var a isolationAge
	assert.Assert(t, a.inUse(start, shared, after), "no table is known")
	a.observe(start, "")
	a.observe(start.Add(time.Hour), "")
	assert.Assert(t, a.inUse(start.Add(time.Hour), shared, after))
	changed := start.Add(2 * time.Hour)
	a.observe(changed, "5f1c")
	assert.Assert(t, a.inUse(changed.Add(configurationLag+after-1), shared, after))
	late := changed.Add(configurationLag + after)
	assert.Assert(t, !a.inUse(late, shared, after))
	for _, salt := range []string{own, newer, "no salt"} {
		assert.Assert(t, a.inUse(late, salt, after), salt)
	}
}
