// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"maps"
	"time"
)

// SetActive sets the hosts that serve callers while the others are standbys; nil if all serve. Active
// hosts are neighbours of each other, so that all of them detect when one fails.
func (h *Hosts) SetActive(now time.Time, active map[string]bool) {
	if maps.Equal(h.active, active) {
		return
	}
	before := h.frequentNeighbours()
	h.active = active
	h.neighbourCache = nil
	until := now.Add(activationGracePeriod)
	for name := range h.frequentNeighbours() {
		if e := h.records[name]; !before[name] && e.lastContact.Before(until) {
			e.lastContact = until
		}
	}
}

// frequentNeighbours returns the neighbours for which Prompt holds.
func (h *Hosts) frequentNeighbours() map[string]bool {
	out := make(map[string]bool)
	for _, name := range h.Neighbours() {
		if h.FrequentHeartbeats(name) {
			out[name] = true
		}
	}
	return out
}

// activationGracePeriod is added to the suspect timeout of newly active hosts: the activation
// must become known on both sides over a few hops before they send each other heartbeats.
const activationGracePeriod = 1500 * time.Millisecond

// FrequentHeartbeats reports whether a host is expected to send this one heartbeats at the short interval, which
// active hosts do among each other.
func (h *Hosts) FrequentHeartbeats(host string) bool {
	return h.active == nil || h.active[host] && h.active[h.self.Host]
}
