// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package loader

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// validSettings returns settings without faults.
func validSettings() Settings {
	s := Default()
	s.Host, s.AvailabilityZone = "host", "zone"
	s.PeerSecret, s.BlockSecret = "0123456789abcdef0", "0123456789abcdef1"
	s.Log, s.HostList = "http://127.0.0.1:1", "http://127.0.0.1:2"
	return s
}

// TestFaults overrides members of valid settings with faulty ones, and checks that all faults are reported.
func TestFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name string
		Set  map[string]json.RawMessage
		Want []string
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			b, err := json.Marshal(validSettings())
			assert.NilError(t, err)
			members := make(map[string]json.RawMessage)
			assert.NilError(t, json.Unmarshal(b, &members))
			for name, value := range c.Set {
				members[name] = value
			}
			b, err = json.Marshal(members)
			assert.NilError(t, err)
			_, faults := Parse(b)
			got := []string{}
			for _, f := range faults {
				got = append(got, f.Pointer)
			}
			assert.DeepEqual(t, got, c.Want)
		})
	}
}

// FuzzParse checks that accepted settings are accepted again after marshaling.
func FuzzParse(f *testing.F) {
	b, err := json.Marshal(validSettings())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"Host": "a", // a comment` + "\n" + `"Platform": {"Lease": "3s",},}`))
	f.Add([]byte(`{"Timing": {"Suspect": 5}, "Limits": null}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, faults := Parse(text)
		if len(faults) > 0 {
			return
		}
		b, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := Parse(b); len(faults) > 0 {
			t.Fatalf("accepted settings are rejected after marshaling: %v", faults)
		}
	})
}
