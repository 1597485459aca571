// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStartAfterClockJumpedBack: a host that was started anew with an earlier time
// of day is believed once it has heard what is remembered of it.
func TestStartAfterClockJumpedBack(t *testing.T) {
	before := HostRecord{Host: "a", Incarnation: 9000, Version: 3, State: HostLeaving}
	other := NewHosts(HostRecord{Host: "b", Incarnation: 1, State: HostLive}, HostOptions{Suspect: time.Second})
	other.Merge(now, before)
	anew := NewHosts(HostRecord{Host: "a", Incarnation: 4000, State: HostLive}, HostOptions{Suspect: time.Second})
	assert.Equal(t, len(other.Merge(now, anew.Self())), 0)
	said := anew.Merge(now, before)
	assert.Equal(t, len(said), 1)
	other.Merge(now, said[0])
	r, _ := other.Lookup("a")
	assert.Equal(t, r.State, HostLive)
}
