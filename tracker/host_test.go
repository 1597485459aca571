// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStartAfterClockJumpedBack: a host that restarts with a lower incarnation, because its clock was
// set back, must override its old record.
func TestStartAfterClockJumpedBack(t *testing.T) {
	before := HostRecord{Host: "a", Incarnation: 9000, Version: 3, State: HostLeaving}
	other := NewHosts(HostRecord{Host: "b", Incarnation: 1, State: HostLive}, HostOptions{SuspectAfter: time.Second})
	other.Merge(now, before)
	restarted := NewHosts(HostRecord{Host: "a", Incarnation: 4000, State: HostLive}, HostOptions{SuspectAfter: time.Second})
	assert.Equal(t, len(other.Merge(now, restarted.Self())), 0)
	refuted := restarted.Merge(now, before)
	assert.Equal(t, len(refuted), 1)
	other.Merge(now, refuted[0])
	r, _ := other.Lookup("a")
	assert.Equal(t, r.State, HostLive)
}
