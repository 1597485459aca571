// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/tracker"
)

// minZoneHosts is the number of hosts in a caller's availability zone from which on only these are
// returned. With two, one may fail between two queries.
const minZoneHosts = 2

// startupGrace is how long after its start a host that knows no ready host returns no address.
// Callers then query another host or keep their previous address.
const startupGrace = time.Second

// Addresses returns where callers of an availability zone may connect, and how long they may cache
// the answer. It returns no address if this host knows none.
func (h *Host) Addresses(availabilityZone string) ([]string, time.Duration) {
	ttl := h.opts.Settings.Timing.AddressTTL.Std()
	d := directory{
		hosts:       *h.hosts.Load(),
		uncontacted: *h.uncontacted.Load(),
		serving:     *h.serving.Load(),
		regions:     h.opts.Settings.Platform.Regions,
		returning:   h.reach.returning(h.opts.Timer.Now()),
	}
	found := d.addresses(availabilityZone)
	starting := h.opts.Timer.Now().Sub(h.started) < startupGrace
	switch {
	case !d.anyReady() && !h.Ready() && starting:
		return nil, ttl
	case len(found) == 0 && !h.leaving.Load():
		return []string{advertised(h.opts.Settings.Callers)}, ttl
	}
	return found, ttl
}

// directory selects the hosts that callers are sent to.
type directory struct {
	hosts       []tracker.HostRecord
	uncontacted map[string]bool // uncontacted are hosts without contact since this host started.
	serving     activator.Selection
	regions     map[string]string
	returning   bool // returning reports that all hosts were cut off a moment ago.
}

// candidates returns the hosts that take callers. It leaves out hosts without contact since this one
// started, hosts that are not ready if any is, and hosts that are cut off from the upstreams if any other
// serves, unless all were cut off a moment ago. After a loss of the fleet some hosts restart later than
// others, and a caller that tries one without power loses up to a second. Hosts with a fifth of a core need
// 0.8 s to become ready, larger ones 0.14 s, and refused 105 requests each in that time.
func (d *directory) candidates() []tracker.HostRecord {
	var out []tracker.HostRecord
	ready, reaches := d.anyReady(), d.anyReaches()
	for _, r := range d.hosts {
		if d.live(r) && (r.Ready || !ready) && !(r.CutOff && reaches && !d.returning) {
			out = append(out, r)
		}
	}
	return out
}

func (d *directory) live(r tracker.HostRecord) bool {
	return r.State == tracker.HostLive && r.Callers != "" && !d.uncontacted[r.Host]
}

// anyReady reports whether any known host is ready to serve.
func (d *directory) anyReady() bool {
	return slices.ContainsFunc(d.hosts, func(r tracker.HostRecord) bool { return d.live(r) && r.Ready })
}

// anyReaches reports whether any serving host is ready and not cut off from the upstreams.
func (d *directory) anyReaches() bool {
	return slices.ContainsFunc(d.hosts, func(r tracker.HostRecord) bool {
		return d.live(r) && r.Ready && !r.CutOff && (d.serving.All || d.serving.Active[r.Host])
	})
}

// addresses returns serving hosts: those of the availability zone if there are enough, else those
// of its region, since some requests may not leave it, else all. If no host serves, it returns the
// standby hosts.
func (d *directory) addresses(availabilityZone string) []string {
	var zone, region, serving, all []string
	for _, r := range d.candidates() {
		all = append(all, r.Callers)
		if !d.serving.All && !d.serving.Active[r.Host] {
			continue
		}
		serving = append(serving, r.Callers)
		if d.regions[r.AvailabilityZone] == d.regions[availabilityZone] {
			region = append(region, r.Callers)
		}
		if r.AvailabilityZone == availabilityZone {
			zone = append(zone, r.Callers)
		}
	}
	switch {
	case len(zone) >= minZoneHosts:
		return zone
	case len(region) > 0:
		return region
	case len(serving) > 0:
		return serving
	}
	return all
}
