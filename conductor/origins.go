// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/tracker"
)

// originsInterval is the least time between two messages about streams to one host.
const originsInterval = 2 * time.Millisecond

// signalOrigins signals that the registrar has messages for other hosts.
func (h *Host) signalOrigins() {
	select {
	case h.originsDue <- struct{}{}:
	default:
	}
}

// sendOrigins sends the registrar's messages. They do not pass through the control loop, as a caller may take up its
// stream within milliseconds.
func (h *Host) sendOrigins() {
	for {
		select {
		case <-h.originsDue:
			for _, m := range h.registrar.Take() {
				h.messenger.Send(m.To, m.Address, &messenger.Message{Origins: &m.Message})
			}
			pause(h.ctx, originsInterval)
		case <-h.ctx.Done():
			return
		}
	}
}

// originHosts returns the known hosts. The live ones that serve callers keep records of streams.
func (h *Host) originHosts() []registrar.Host {
	serving, uncontacted := h.serving.Load(), *h.uncontacted.Load()
	var out []registrar.Host
	for _, r := range *h.hosts.Load() {
		keeps := r.State == tracker.HostLive && !uncontacted[r.Host] && (serving.All || serving.Active[r.Host])
		out = append(out, registrar.Host{Name: r.Host, Address: r.Peers, AvailabilityZone: r.AvailabilityZone, Keeps: keeps && r.Peers != ""})
	}
	return out
}
