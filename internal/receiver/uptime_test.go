// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package receiver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStandstillDoesNotCountAsUptime guards against signals that seem to be far apart since the process stood still.
func TestStandstillDoesNotCountAsUptime(t *testing.T) {
	now := time.Unix(1000, 0)
	u := Uptime{}.At(now)
	start := u.Now()
	for range 20 {
		now = now.Add(TickInterval)
		u = u.At(now)
	}
	assert.Equal(t, u.Now().Sub(start), 20*TickInterval)
	before := u.Now()
	u = u.At(now.Add(time.Hour))
	assert.Assert(t, u.Now().Sub(before) < RepeatTime)
	assert.Equal(t, u.At(now).Now(), u.Now(), "a clock that was set back")
}
