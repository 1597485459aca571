// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package tracker

import (
	"maps"
	"time"
)

// SetActive names the hosts that serve callers while the others stand by; nil if all
// serve. Those that serve are neighbours of each other, so that one that falls silent is
// noticed by all that share its work.
func (h *Hosts) SetActive(now time.Time, active map[string]bool) {
	if maps.Equal(h.active, active) {
		return
	}
	before := h.expected()
	h.active = active
	h.near = nil
	until := now.Add(introduction)
	for name := range h.expected() {
		if e := h.records[name]; !before[name] && e.heard.Before(until) {
			e.heard = until
		}
	}
}

// expected returns the neighbours that are to speak at short intervals.
func (h *Hosts) expected() map[string]bool {
	out := make(map[string]bool)
	for _, name := range h.Neighbours() {
		if h.Prompt(name) {
			out[name] = true
		}
	}
	return out
}

// introduction is how long it may take until a host that was called in to serve speaks
// to all others that do: both must have heard of it, over a few hops.
const introduction = 1500 * time.Millisecond

// Prompt tells whether a host is expected to speak at short intervals to this one: both
// serve callers.
func (h *Hosts) Prompt(host string) bool {
	return h.active == nil || h.active[host] && h.active[h.self.Host]
}
