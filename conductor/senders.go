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
	// senderLife is how long a host that no longer serves still counts as one that may
	// send to upstreams: others cannot tell one that is cut off from one that has ended.
	senderLife = 30 * time.Second
	// acquaintance is the time after its start in which a host may not know the others:
	// they speak to it within 1.2 s.
	acquaintance = 1500 * time.Millisecond
)

// senders remembers when each host was last seen to serve.
type senders map[string]time.Time

// update takes in who serves now and returns, sorted, who may send to upstreams: in a
// small fleet all hosts that are known, in what state ever, in a large one those that
// serve or did so lately.
func (s senders) update(now time.Time, hosts []tracker.HostRecord, serving activator.Selection) []string {
	if serving.All {
		for _, r := range hosts {
			s[r.Host] = now
		}
	}
	for name := range serving.Active {
		s[name] = now
	}
	maps.DeleteFunc(s, func(_ string, at time.Time) bool { return now.Sub(at) > senderLife })
	return slices.Sorted(maps.Keys(s))
}
