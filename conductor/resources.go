// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"runtime/debug"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
)

// closeGone closes idle connections to upstreams that are gone since an earlier view.
func closeGone(pool *forwarder.Pool, earlier, view *follower.View) {
	_, gone := view.Upstreams.Since(earlier.Upstreams)
	for _, u := range gone {
		pool.Forget(u.Address)
	}
}

const (
	// activeGCPercent and standbyGCPercent are garbage collector targets. Standby hosts allocate
	// little, so a smaller heap costs them little time. At 100%, 985 of them took 27 GB in all.
	activeGCPercent  = 100
	standbyGCPercent = 50
)

// tuneGC sets the garbage collector's target percentage.
func (h *Host) tuneGC(s activator.Selection) {
	percent := activeGCPercent
	if !s.All && !s.Active[h.opts.Settings.Host] {
		percent = standbyGCPercent
	}
	if percent != h.gcPercent {
		h.gcPercent = percent
		debug.SetGCPercent(percent)
	}
}
