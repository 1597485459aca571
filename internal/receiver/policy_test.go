// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package receiver

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// policyCase is a case of testdata/policy.jsonc.
type policyCase struct {
	Name    string
	Signals []struct {
		At     duration.Duration // At is the time since the start of the host.
		Signal Signal
		Effect Effect
	}
}

// TestOnlyAnOperatorEndsADrain guards against signals of supervisors that cut requests, and against a drain that an
// operator cannot end.
func TestOnlyAnOperatorEndsADrain(t *testing.T) {
	text, err := os.ReadFile("testdata/policy.jsonc")
	assert.NilError(t, err)
	var cases []policyCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var p Policy
			start := time.Unix(1000, 0)
			for i, s := range c.Signals {
				var got Effect
				p, got = p.Take(s.Signal, start.Add(s.At.Std()))
				assert.Equal(t, got, s.Effect, "signal %d", i)
			}
		})
	}
}
