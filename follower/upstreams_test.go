// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package follower

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/internal/seeder"
)

func init() { seeder.Fix() }

// TestRandomUpstreams: a list holds the same upstreams as a map that gets the same changes, earlier
// lists stay unchanged, and applying Since to an earlier list gives the later one.
func TestRandomUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type version struct {
			list Upstreams
			want map[string]*Upstream
		}
		versions := []version{{want: map[string]*Upstream{}}}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			last := versions[len(versions)-1]
			changes, want := make(map[string]*Upstream), maps.Clone(last.want)
			for range rapid.IntRange(0, 200).Draw(t, "changes") {
				id := fmt.Sprintf("u%03d", rapid.IntRange(0, 600).Draw(t, "id"))
				if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
					changes[id] = nil
					delete(want, id)
				} else {
					changes[id] = &Upstream{ID: id, Slots: rapid.IntRange(0, 9).Draw(t, "slots")}
					want[id] = changes[id]
				}
			}
			versions = append(versions, version{last.list.With(changes), want})
		}
		last := versions[len(versions)-1]
		for _, v := range versions {
			assert.Equal(t, v.list.Len(), len(v.want))
			ids := slices.Sorted(maps.Keys(v.want))
			for u := range v.list.All() {
				assert.Equal(t, u.ID, ids[0])
				assert.Equal(t, u, v.want[u.ID])
				ids = ids[1:]
			}
			assert.Equal(t, len(ids), 0)
			put, gone := last.list.Since(v.list)
			got := maps.Clone(v.want)
			for _, u := range gone {
				delete(got, u.ID)
			}
			for _, u := range put {
				assert.Assert(t, got[u.ID] != u)
				got[u.ID] = u
			}
			assert.Assert(t, maps.Equal(got, last.want))
		}
	})
}

// TestChangeCopiesLittle: changing one upstream must copy one chunk only, and Since must return
// only that upstream.
func TestChangeCopiesLittle(t *testing.T) {
	const n = 10_000
	all := make(map[string]*Upstream, n)
	for i := range n {
		id := fmt.Sprintf("u%05d", i)
		all[id] = &Upstream{ID: id}
	}
	before := Upstreams{}.With(all)
	after := before.With(map[string]*Upstream{"u05000": {ID: "u05000", Slots: 1}})
	shared := 0
	for i, c := range after.chunks {
		if c == before.chunks[i] {
			shared++
		}
	}
	assert.Equal(t, shared, len(before.chunks)-1)
	assert.Assert(t, len(before.chunks) <= 2*n/maxChunkSize+1)
	put, gone := after.Since(before)
	assert.Equal(t, len(put), 1)
	assert.Equal(t, len(gone), 0)
}
