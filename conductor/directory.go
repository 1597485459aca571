// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/tracker"
)

// nearEnough is the number of hosts in a caller's availability zone from which
// only these are named: two, so that one may be lost between two questions.
const nearEnough = 2

// Addresses returns where callers of an availability zone may connect, and how
// long they may keep the answer. Hosts of other regions are named only where their own has
// none: some requests may not leave their region. In a large fleet only hosts that serve are named, and
// hosts that stand by where none of them is known to be there. Hosts that have not spoken since this one started are
// left out: after a loss of all hosts they may start later, and a caller that tries one
// without power loses up to a second.
func (h *Host) Addresses(availabilityZone string) ([]string, time.Duration) {
	var near, region, serving, all []string
	regions := h.opts.Settings.Platform.Regions
	unheard, selected := *h.unheard.Load(), h.serving.Load()
	for _, r := range *h.hosts.Load() {
		if r.State != tracker.HostLive || r.Callers == "" || unheard[r.Host] {
			continue
		}
		all = append(all, r.Callers)
		if !selected.All && !selected.Active[r.Host] {
			continue
		}
		serving = append(serving, r.Callers)
		if regions[r.AvailabilityZone] == regions[availabilityZone] {
			region = append(region, r.Callers)
		}
		if r.AvailabilityZone == availabilityZone {
			near = append(near, r.Callers)
		}
	}
	ttl := h.opts.Settings.Timing.AddressTTL.Std()
	switch {
	case len(near) >= nearEnough:
		return near, ttl
	case len(region) > 0:
		return region, ttl
	case len(serving) > 0:
		return serving, ttl
	case len(all) == 0 && !h.leaving.Load():
		return []string{advertised(h.opts.Settings.Callers)}, ttl
	}
	return all, ttl
}
