// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/tracker"
)

// RelayHosts selects the hosts to which requests are passed on. It is safe for concurrent use.
type RelayHosts interface {
	// CutOff reports whether this host reaches no upstream while other hosts do.
	CutOff() bool
	// Host returns a host that reaches upstreams and is not excluded: its name, its address for other hosts and
	// its availability zone; false if there is none.
	Host(exclude []string) (name, address, availabilityZone string, ok bool)
}

// RelaySender passes requests on to other hosts.
type RelaySender interface {
	Send(ctx context.Context, r *exchanger.Request, o *exchanger.RelayOptions) (exchanger.Answer, *exchanger.RelayFailure)
	// Retain closes idle connections to addresses for which keep returns false.
	Retain(keep func(address string) bool)
}

// closeToGoneHosts closes idle connections to hosts that are gone.
func (h *Host) closeToGoneHosts(hosts []tracker.HostRecord) {
	if h.opts.RelaySender == nil {
		return
	}
	known := make(map[string]bool, len(hosts))
	for _, r := range hosts {
		if r.State != tracker.HostGone {
			known[r.Peers] = true
		}
	}
	h.opts.RelaySender.Retain(func(address string) bool { return known[address] })
}

// relay implements exchanger.Relay.
type relay struct {
	hosts  RelayHosts
	sender RelaySender
}

// relay returns the exchanger's relay, or nil if requests are not passed on.
func (h *Host) relay() exchanger.Relay {
	o := &h.opts
	if o.RelaySender == nil || !o.Settings.Platform.Enabled(loader.MechanismPassOn) {
		return nil
	}
	if o.RelayHosts == nil {
		return &relay{hosts: h.reach, sender: o.RelaySender}
	}
	return &relay{hosts: o.RelayHosts, sender: o.RelaySender}
}

// CutOff implements exchanger.Relay.
func (r *relay) CutOff() bool { return r.hosts.CutOff() }

// Host implements exchanger.Relay.
func (r *relay) Host(exclude []string) (exchanger.RelayHost, bool) {
	name, address, zone, ok := r.hosts.Host(exclude)
	return exchanger.RelayHost{Name: name, Address: address, AvailabilityZone: zone}, ok
}

// Send implements exchanger.Relay.
func (r *relay) Send(ctx context.Context, req *exchanger.Request, o *exchanger.RelayOptions) (exchanger.Answer, *exchanger.RelayFailure) {
	return r.sender.Send(ctx, req, o)
}
