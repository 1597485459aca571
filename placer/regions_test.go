// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRegions checks that a request is served, and its context saved, only in the regions that
// its route and its workspace both allow.
func TestRegions(t *testing.T) {
	v := evacuatedView(4) // two engines in each zone
	for _, c := range []struct {
		name  string
		homes [][]string
		zones []string // zones are those that may serve the request.
	}{
		{"none", [][]string{nil, nil}, []string{"east", "west"}},
		{"the route's", [][]string{{"r-east"}, nil}, []string{"east"}},
		{"the workspace's", [][]string{nil, {"r-west"}}, []string{"west"}},
		{"both", [][]string{{"r-east", "r-west"}, {"r-west"}}, []string{"west"}},
		{"none in common", [][]string{{"r-east"}, {"r-west"}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(Options{Regions: map[string]string{"east": "r-east", "west": "r-west"}})
			p.Update(v)
			p.SetFeedCurrent(start)
			p.ApplyStoreChanges(start, "s1:1", StoreChanges{Epoch: 1, Clock: 5_000_000})
			seen := make(map[string]bool)
			for i := range 40 {
				req := askFor(fmt.Sprint("x", i), "own")
				req.Regions = c.homes
				got, verdict := p.Choose(start, req)
				assert.Equal(t, verdict == Chosen, len(c.zones) > 0)
				if verdict != Chosen {
					return
				}
				// The stores of testView are in no region.
				assert.Assert(t, got.Save == nil || c.name == "none")
				seen[got.Upstream.AvailabilityZone] = true
				serve(p, start.Add(firstTokenTime+got.Basis.PrefillTime), got)
			}
			for _, zone := range c.zones {
				assert.Assert(t, seen[zone], zone)
			}
			assert.Equal(t, len(seen), len(c.zones))
		})
	}
}
