// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"maps"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/tracker"
)

const (
	// senderTTL is how long a host that no longer serves may still send to upstreams: a partitioned
	// host looks like one that has ended.
	senderTTL = 30 * time.Second
	// startupTime is the time after its start in which a host may not know the others. They contact
	// it within 1.2 s.
	startupTime = 1500 * time.Millisecond
)

// senders maps each host to when it last served.
type senders map[string]time.Time

// update records which hosts serve and returns, sorted, those that may send to upstreams: in a
// small fleet all known hosts in any state, in a large one those that serve or recently did.
func (s senders) update(now time.Time, hosts []tracker.HostRecord, serving activator.Selection) []string {
	if serving.All {
		for _, r := range hosts {
			s[r.Host] = now
		}
	}
	for name := range serving.Active {
		s[name] = now
	}
	maps.DeleteFunc(s, func(_ string, at time.Time) bool { return now.Sub(at) > senderTTL })
	return slices.Sorted(maps.Keys(s))
}

// add records hosts, drops those that were last recorded longer than ttl ago, and returns the number of
// those that are left.
func (s senders) add(now time.Time, hosts []string, ttl time.Duration) int {
	for _, name := range hosts {
		s[name] = now
	}
	maps.DeleteFunc(s, func(_ string, at time.Time) bool { return now.Sub(at) > ttl })
	return len(s)
}

// records returns the records of the hosts that are recorded.
func (s senders) records(all []tracker.HostRecord) []tracker.HostRecord {
	var out []tracker.HostRecord
	for _, r := range all {
		if _, ok := s[r.Host]; ok {
			out = append(out, r)
		}
	}
	return out
}
