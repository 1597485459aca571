// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"sync"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/logger"
)

// notices is what upstreams last said of themselves to this host. The zero value is ready to use.
type notices struct {
	mu    sync.Mutex
	rates map[string]float64 // rates are declared rate limits, by instance.
}

// changed records a declared rate limit and reports whether it differs from the last one.
func (n *notices) changed(instance string, perSecond float64) (before float64, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before = n.rates[instance]
	if before == perSecond {
		return before, false
	}
	if n.rates == nil {
		n.rates = make(map[string]float64)
	}
	n.rates[instance] = perSecond
	return before, true
}

// notice handles what an upstream says of itself in an answer.
func (h *Host) notice(n exchanger.Notice) {
	instance := n.Upstream.InstanceID()
	if n.Rate.Malformed != "" {
		h.log.StateChange().Str("Upstream", instance).Str("Value", n.Rate.Malformed).Msg(logger.RateLimitMalformed)
		return
	}
	if before, changed := h.notices.changed(instance, n.Rate.PerSecond); changed {
		h.log.StateChange().Str("Upstream", instance).Float64("Before", before).Float64("PerSecond", n.Rate.PerSecond).
			Msg(logger.RateLimitChanged)
	}
}
