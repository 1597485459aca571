// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"time"

	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/tracker"
	"amaranthgate.example/amaranthgate/updater"
)

func (h *Host) newPlacer() *placer.Placer {
	s := h.opts.Settings
	opts := placer.Options{
		Host:             s.Host,
		Epoch:            uint64(h.started.UnixNano()),
		Waiting:          func() int { return h.exchanger.Waiting() },
		AvailabilityZone: s.AvailabilityZone,
		Regions:          s.Platform.Regions,
		HoldFull:         s.Platform.Enabled(loader.MechanismPlainQueue),
		FetchPricing:     s.Platform.Enabled(loader.MechanismFetchPricing),
		OnInvalidLinks:   h.logInvalidLinks,
		Seed:             uint64(h.opts.Timer.Now().UnixNano()),
		WeightsWithin:    s.Platform.WeightsWithin.Std(),
		Cold:             placer.ColdLimit{Overage: s.Platform.ColdOverage, Slack: s.Platform.ColdSlack},
		RateLimits:       h.throttler,
		OnUrgent:         h.requestReport,
		StatedLoad:       s.Platform.Enabled(loader.MechanismStatedLoad),
		OnFirst:          func(took, estimate time.Duration) { h.counters.firstToken(took, estimate) },
		OnRoom:           h.signalCapacity,
		OnLending:        h.signalLending,
	}
	if h.contention.arbiter != nil {
		opts.Order, opts.Began = h.contention.arbiter, h.contention.began
	}
	return placer.New(opts)
}

// self returns this host's own record at its start.
func (h *Host) self() tracker.HostRecord {
	s := h.opts.Settings
	return tracker.HostRecord{
		Host:             s.Host,
		Incarnation:      uint64(h.opts.Timer.Now().UnixNano()),
		State:            tracker.HostLive,
		AvailabilityZone: s.AvailabilityZone,
		LinkMbps:         s.Platform.LinkMbps,
		Cores:            s.Platform.Cores,
		Peers:            advertised(s.Peers),
		Callers:          advertised(s.Callers),
	}
}

func (h *Host) newNode(self tracker.HostRecord) *Node {
	s := h.opts.Settings
	return NewNode(NodeOptions{
		Self:    self,
		Decoder: h.opts.Store,
		Timing:  h.opts.Timing,

		FirstStart:   s.Platform.FirstStart,
		Busy:         h.placer.InFlight,
		Placements:   h.placer.Placements,
		Brittle:      h.placer,
		StoreReports: h.placer.StoreReports,
		Quarantine:   h.quarantine,
		Throttler:    h.throttler,
		Arbiter:      h.contention.arbiter,
		Updater: updater.Options{
			Host:        s.Host,
			Term:        h.opts.Timing.LeaseTerm,
			HandoverGap: s.Platform.Lease.Std(),
			Margin:      h.opts.Timing.LeaseMargin,
			AtOnce:      s.Platform.LoadsAtOnce,
			Share:       s.Platform.LoadsShare,
			Restarted:   !s.Platform.FirstStart,
			Seed:        self.Incarnation,
		},
	})
}

// advertised returns the address at which others reach an endpoint.
func advertised(e loader.Endpoint) string {
	if e.Advertise != "" {
		return e.Advertise
	}
	return e.Listen
}
