// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// TestDrainPlansLeaveTimeToRefuse guards against hosts that take requests unconditionally until they end, since callers may
// keep their address for long.
func TestDrainPlansLeaveTimeToRefuse(t *testing.T) {
	text, err := os.ReadFile("testdata/drainplans.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name             string
		Left, TimeToLive duration.Duration
		Refuses, End     duration.Duration // Refuses and End are after the begin of the drain; End is 0 if there is none.
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			d := PlanDrain(start, c.Left.Std(), c.TimeToLive.Std())
			assert.Equal(t, d.Refuses.Sub(start), c.Refuses.Std())
			assert.Equal(t, d.End.IsZero(), c.End == 0)
			if c.End != 0 {
				assert.Equal(t, d.End.Sub(start), c.End.Std())
				assert.Assert(t, d.Refuses.Sub(start) <= 0 || d.Refuses.Before(d.End))
			}
		})
	}
}
