// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHostThatHearsNobodyTellsNothing guards against hosts that take each other for gone because one of them was cut off.
func TestHostThatHearsNobodyTellsNothing(t *testing.T) {
	for _, hosts := range []int{2, 3, 6} {
		h, now := heardHosts(hosts)
		var forwarded []HostRecord
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			_, f := h.Tick(now)
			forwarded = append(forwarded, f...)
		}
		assert.Equal(t, len(forwarded), 0, "of %d", hosts)
		assert.Equal(t, len(h.Live()), 1, "it takes the others for gone itself")
		for _, r := range h.Told() {
			assert.Equal(t, r.State, HostLive, r.Host)
		}
		for i := 1; i < hosts; i++ {
			h.RecordContact(now, fmt.Sprint("host-", i))
		}
		assert.Equal(t, len(h.Live()), hosts, "it hears them again")
	}
}

// TestHostThatIsHeardTellsOfTheSilent guards against silent hosts that nobody is told of since the one that noticed had
// heard from nobody for a while.
func TestHostThatIsHeardTellsOfTheSilent(t *testing.T) {
	h, now := heardHosts(3)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		h.Tick(now)
	}
	told := make(map[string]HostState)
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		h.RecordContact(now, "host-1")
		_, forwarded := h.Tick(now)
		for _, r := range forwarded {
			told[r.Host] = r.State
		}
	}
	assert.DeepEqual(t, told, map[string]HostState{"host-2": HostGone})
}

// heardHosts returns the view of host-0, which has just heard from the others.
func heardHosts(hosts int) (*Hosts, time.Time) {
	now := time.Unix(1000, 0)
	h := NewHosts(HostRecord{Host: "host-0", Incarnation: 1, State: HostLive, Peers: "host-0"}, HostOptions{SuspectAfter: 800 * time.Millisecond})
	for i := 1; i < hosts; i++ {
		name := fmt.Sprint("host-", i)
		h.Merge(now, HostRecord{Host: name, Incarnation: 1, Version: 1, State: HostLive, Peers: name})
		h.RecordContact(now, name)
	}
	return h, now
}
