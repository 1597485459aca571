// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package activator

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/internal/seeder"
	"amaranthgate.example/amaranthgate/tracker"
)

func init() { seeder.Fix() }

type fleet []struct {
	Zone  string
	Hosts int
	Cores float64
	State tracker.HostState
}

func (f fleet) records() []tracker.HostRecord {
	var out []tracker.HostRecord
	for i, group := range f {
		if group.State == "" {
			group.State = tracker.HostLive
		}
		for n := range group.Hosts {
			out = append(out, tracker.HostRecord{
				Host: fmt.Sprintf("%s-%d-%d", group.Zone, i, n), AvailabilityZone: group.Zone, Cores: group.Cores, State: group.State,
			})
		}
	}
	return out
}

func TestSelect(t *testing.T) {
	text, err := os.ReadFile("testdata/select.json")
	assert.NilError(t, err)
	var cases []struct {
		Name   string
		Fleet  fleet
		Use    map[string]float64
		All    bool
		Active map[string]int
	}
	assert.NilError(t, json.Unmarshal(text, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			got := Select(c.Fleet.records(), c.Use)
			assert.Equal(t, got.All, c.All)
			counts := make(map[string]int)
			for zone, names := range got.Zones {
				counts[zone] = len(names)
			}
			assert.DeepEqual(t, counts, c.Active)
		})
	}
}

// TestSelectRandom: no active host exceeds maxUtilization, the selection does not depend on
// the order of the hosts, and the loss of an active host deactivates no other.
func TestSelectRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f fleet
		for range rapid.IntRange(1, 3).Draw(t, "groups") {
			f = append(f, struct {
				Zone  string
				Hosts int
				Cores float64
				State tracker.HostState
			}{"a", rapid.IntRange(1, 40).Draw(t, "hosts"), rapid.SampledFrom([]float64{0.2, 0.4, 0.8}).Draw(t, "cores"), tracker.HostLive})
		}
		hosts := f.records()
		use := map[string]float64{"a": rapid.Float64Range(0.01, 4).Draw(t, "use")}
		got := Select(hosts, use)
		names := got.Zones["a"]
		records := make(map[string]tracker.HostRecord)
		for _, r := range hosts {
			records[r.Host] = r
		}
		if len(names) < len(hosts) {
			for _, name := range names {
				if share := use["a"] / float64(len(names)); share > maxUtilization*records[name].Cores {
					t.Fatalf("%s carries %.3f of %.1f cores", name, share, records[name].Cores)
				}
			}
		}
		slices.Reverse(hosts)
		assert.DeepEqual(t, Select(hosts, use).Zones["a"], names)
		lost := names[0]
		remaining := slices.DeleteFunc(hosts, func(r tracker.HostRecord) bool { return r.Host == lost })
		reselected := Select(remaining, use)
		for _, name := range names[1:] {
			if !reselected.All && !reselected.Active[name] {
				t.Fatalf("%s was deactivated when %s was lost", name, lost)
			}
		}
	})
}
