// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package matcher

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

func testTable() *Table {
	route := func(name, host, prefix string) Route {
		return Route{Name: name, Host: host, PathPrefix: prefix, Services: []Share{{Service: name, Weight: 1}}}
	}
	return New(Parts{
		Version: 3,
		Routes: []Route{
			route("root", "shop.example", "/"), route("a", "shop.example", "/a/"),
			route("ab", "shop.example", "/a/b/"), route("other", "Other.example", "/a/"),
		},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

func TestRoutes(t *testing.T) {
	text, err := os.ReadFile("testdata/routes.jsonc")
	assert.NilError(t, err)
	var cases []struct{ Name, Host, Path, Want string }
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	table := testTable()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			got, ok := table.Route(c.Host, c.Path)
			assert.Equal(t, ok, c.Want != "")
			if ok {
				assert.Equal(t, got.Name, c.Want)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	table := testTable()
	for _, key := range []string{"k1", "k2"} {
		w, ok := table.Workspace(key)
		assert.Assert(t, ok && w.Name == "w")
	}
	_, ok := table.Workspace("")
	assert.Assert(t, !ok && table.RequiresKeys())
	assert.Assert(t, !New(Parts{}).RequiresKeys())
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Services: []Share{{"x", 90}, {"y", 0}, {"z", 10}}}
	count := make(map[string]int)
	for i := range 1000 {
		count[r.Pick(float64(i)/1000)]++
	}
	assert.DeepEqual(t, count, map[string]int{"x": 900, "z": 100})
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 400} {
		b.Run(fmt.Sprintf("Routes%d", n), func(b *testing.B) {
			parts := Parts{}
			for i := range n {
				parts.Routes = append(parts.Routes, Route{Host: "h", PathPrefix: fmt.Sprintf("/p%d/", i)})
			}
			table := New(parts)
			for b.Loop() {
				table.Route("h", "/p0/x")
			}
		})
	}
}
