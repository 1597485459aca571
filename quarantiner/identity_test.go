// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package quarantiner

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// TestIdentify checks that each part, and the boundary between parts, affects the identity.
func TestIdentify(t *testing.T) {
	base := Parts{Workspace: "w", Method: "POST", Host: "h", Target: "/r/x", Body: []byte("body")}
	assert.Equal(t, Identify(base), Identify(base))
	seen := map[Identity]string{Identify(base): "base"}
	for name, p := range map[string]Parts{
		"other workspace": {Workspace: "v", Method: "POST", Host: "h", Target: "/r/x", Body: []byte("body")},
		"no workspace":    {Method: "POST", Host: "h", Target: "/r/x", Body: []byte("body")},
		"other method":    {Workspace: "w", Method: "GET", Host: "h", Target: "/r/x", Body: []byte("body")},
		"other host":      {Workspace: "w", Method: "POST", Host: "i", Target: "/r/x", Body: []byte("body")},
		"other query":     {Workspace: "w", Method: "POST", Host: "h", Target: "/r/x?1", Body: []byte("body")},
		"other body":      {Workspace: "w", Method: "POST", Host: "h", Target: "/r/x", Body: []byte("bodz")},
		"moved border":    {Workspace: "w", Method: "POST", Host: "h", Target: "/r/xb", Body: []byte("ody")},
		"moved names":     {Workspace: "wP", Method: "OST", Host: "h", Target: "/r/x", Body: []byte("body")},
	} {
		id := Identify(p)
		other, double := seen[id]
		assert.Assert(t, !double, "%s is taken for %s", name, other)
		seen[id] = name
	}
}

func benchmarkIdentify(b *testing.B, size int) {
	p := Parts{Workspace: "w", Method: "POST", Host: "h", Target: "/r/x", Body: bytes.Repeat([]byte("x"), size)}
	b.ReportAllocs()
	for b.Loop() {
		Identify(p)
	}
}

// BenchmarkIdentify3KB measures a request of typical size.
func BenchmarkIdentify3KB(b *testing.B) { benchmarkIdentify(b, 3<<10) }

// BenchmarkIdentify1MB measures a request of the maximum size.
func BenchmarkIdentify1MB(b *testing.B) { benchmarkIdentify(b, 1<<20) }
