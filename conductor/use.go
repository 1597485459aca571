// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/tracker"
)

// usageSettleTime is how long after its start a host reports no processor use, which is unusually
// high then.
const usageSettleTime = 3 * time.Second

// hostUse is the processor use that a host has reported.
type hostUse struct {
	at    time.Time
	cores float64
}

// recordLocalUse records this host's processor use if it is its zone's relay, and otherwise leaves
// reporting the zone's use to the relay.
func (n *Node) recordLocalUse(now time.Time, t *topology, cores float64) {
	if !t.isRelay(n.opts.Self.Host) {
		n.yieldZoneUse(t)
		return
	}
	n.recordUse(now, n.opts.Self.Host, cores)
	n.updateZoneUse(now)
}

// recordUse records the processor use of a host of this availability zone.
func (n *Node) recordUse(now time.Time, host string, cores float64) {
	if r, ok := n.hosts.Lookup(host); ok && r.AvailabilityZone == n.opts.Self.AvailabilityZone {
		n.uses[host] = hostUse{at: now, cores: cores}
	}
}

// updateZoneUse publishes this zone's use in this host's record, when it has changed.
func (n *Node) updateZoneUse(now time.Time) {
	if now.Sub(n.firstEvent) < usageSettleTime {
		return
	}
	sum := 0.0
	for host, u := range n.uses {
		if now.Sub(u.at) > reportTTL {
			delete(n.uses, host)
			continue
		}
		sum += u.cores
	}
	if smoothed, changed := n.gauge.Update(now, sum); changed {
		n.setZoneUse(smoothed)
	}
}

// yieldZoneUse stops publishing the zone's use once the relay does.
func (n *Node) yieldZoneUse(t *topology) {
	first, ok := n.hosts.Lookup(t.relay)
	if ok && first.ZoneUse > 0 && n.hosts.Self().ZoneUse > 0 {
		n.gauge = activator.Gauge{}
		n.setZoneUse(0)
	}
}

func (n *Node) setZoneUse(cores float64) {
	self, changed := n.hosts.UpdateSelf(func(r *tracker.HostRecord) { r.ZoneUse = cores })
	if changed {
		n.recordHostChanges([]tracker.HostRecord{self})
		n.sendHostsToNeighbours("", []tracker.HostRecord{self})
	}
}

// zoneUse returns the processor use of each availability zone. While several hosts publish a zone's
// use, the largest counts.
func (n *Node) zoneUse() map[string]float64 {
	out := make(map[string]float64)
	for _, r := range n.hosts.All() {
		if r.State == tracker.HostLive {
			out[r.AvailabilityZone] = max(out[r.AvailabilityZone], r.ZoneUse)
		}
	}
	return out
}
