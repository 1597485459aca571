// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"

	"amaranthgate.example/amaranthgate/tracker"
)

// handleReachChanged states in this host's record whether it reaches upstreams, and tells the others at once.
func (n *Node) handleReachChanged(ev ReachChanged) {
	self, changed := n.hosts.UpdateSelf(func(r *tracker.HostRecord) { r.CutOff = ev.CutOff })
	if changed {
		n.recordHostChanges([]tracker.HostRecord{self})
		n.sendHostsToNeighbours("", []tracker.HostRecord{self})
	}
}

// cutOff reports whether this host is cut off from the upstreams while another serving host is not.
func (n *Node) cutOff() bool {
	return n.hosts.Self().CutOff && !slices.Contains(reaching(n.hosts.All(), n.topology().active), n.opts.Self.Host)
}

// reaching returns the names of those hosts that reach upstreams, or all names if none of them does.
func reaching(hosts []tracker.HostRecord, names []string) []string {
	cutOff := make(map[string]bool)
	for _, r := range hosts {
		if r.CutOff {
			cutOff[r.Host] = true
		}
	}
	if len(cutOff) == 0 {
		return names
	}
	if out := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return cutOff[name] }); len(out) > 0 {
		return out
	}
	return names
}
