// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/tracker"
)

// nearEnough is the number of hosts in a caller's availability zone from which
// only these are named: two, so that one may be lost between two questions.
const nearEnough = 2

// unreadyTime is how long after its start a host that knows no host that is ready names
// none. Callers then ask another directory, or go where they went before.
const unreadyTime = time.Second

// Addresses returns where callers of an availability zone may connect, and how
// long they may keep the answer; no address if this host can't tell.
func (h *Host) Addresses(availabilityZone string) ([]string, time.Duration) {
	ttl := h.opts.Settings.Timing.AddressTTL.Std()
	d := directory{
		hosts:   *h.hosts.Load(),
		unheard: *h.unheard.Load(),
		serving: *h.serving.Load(),
		regions: h.opts.Settings.Platform.Regions,
	}
	found := d.addresses(availabilityZone)
	young := h.opts.Timer.Now().Sub(h.started) < unreadyTime
	switch {
	case !d.anyReady() && !h.Ready() && young:
		return nil, ttl
	case len(found) == 0 && !h.leaving.Load():
		return []string{advertised(h.opts.Settings.Callers)}, ttl
	}
	return found, ttl
}

// directory is what a host knows of those that callers may be sent to.
type directory struct {
	hosts   []tracker.HostRecord
	unheard map[string]bool // unheard are those that have not spoken since this host started.
	serving activator.Selection
	regions map[string]string
}

// there returns the hosts that take callers. Those that have not spoken since this one
// started are left out: after a loss of all hosts they may start later, and a caller that
// tries one without power loses up to a second. So are those that are not ready, if others
// are: after a loss of all, hosts with a fifth of a core took 0.8 s to read what they need
// to know while larger ones were ready after 0.14 s, and refused 105 requests each.
func (d *directory) there() []tracker.HostRecord {
	var out []tracker.HostRecord
	ready := d.anyReady()
	for _, r := range d.hosts {
		if d.live(r) && (r.Ready || !ready) {
			out = append(out, r)
		}
	}
	return out
}

func (d *directory) live(r tracker.HostRecord) bool {
	return r.State == tracker.HostLive && r.Callers != "" && !d.unheard[r.Host]
}

// anyReady tells that a host is known that is ready to serve.
func (d *directory) anyReady() bool {
	return slices.ContainsFunc(d.hosts, func(r tracker.HostRecord) bool { return d.live(r) && r.Ready })
}

// addresses returns those of the hosts that serve callers: of their availability zone if
// there are enough, else of their region, since some requests may not leave it, else all;
// and hosts that stand by where none that serves is there.
func (d *directory) addresses(availabilityZone string) []string {
	var near, region, serving, all []string
	for _, r := range d.there() {
		all = append(all, r.Callers)
		if !d.serving.All && !d.serving.Active[r.Host] {
			continue
		}
		serving = append(serving, r.Callers)
		if d.regions[r.AvailabilityZone] == d.regions[availabilityZone] {
			region = append(region, r.Callers)
		}
		if r.AvailabilityZone == availabilityZone {
			near = append(near, r.Callers)
		}
	}
	switch {
	case len(near) >= nearEnough:
		return near
	case len(region) > 0:
		return region
	case len(serving) > 0:
		return serving
	}
	return all
}
