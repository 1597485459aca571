// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/tracker"
)

// TestKnowsUpstreams checks when a host may conclude something from the upstreams that it knows.
func TestKnowsUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	live, suspect, gone := tracker.HostRecord{State: tracker.HostLive}, tracker.HostRecord{State: tracker.HostSuspect}, tracker.HostRecord{State: tracker.HostGone}
	for _, c := range []struct {
		name  string
		age   time.Duration // age is that of the feed; negative if it was never known.
		hosts []tracker.HostRecord
		want  bool
	}{
		{"current", time.Second, []tracker.HostRecord{live, suspect}, true},
		{"the store is away", 5 * time.Second, []tracker.HostRecord{live, live}, true},
		{"the store is away, a host is suspected", 5 * time.Second, []tracker.HostRecord{live, suspect}, false},
		{"the store is away, a host is gone", 5 * time.Second, []tracker.HostRecord{live, gone}, false},
		{"the store is away for long", maxOutage, []tracker.HostRecord{live}, false},
		{"nothing is known", -1, []tracker.HostRecord{live}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := FeedState{CurrentAt: now.Add(-c.age)}
			if c.age < 0 {
				f.CurrentAt = time.Time{}
			}
			h := &Host{}
			h.feeds.Store(&map[follower.Feed]FeedState{follower.FeedUpstreams: f})
			h.hosts.Store(&c.hosts)
			assert.Equal(t, h.knowsUpstreams(now), c.want)
		})
	}
}
