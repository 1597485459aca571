// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// allowedIn reports whether a request may be served, and its context stored, in an availability
// zone.
func (p *Placer) allowedIn(req *PlacementRequest, zone string) bool {
	for _, regions := range req.Regions {
		if len(regions) > 0 && !slices.Contains(regions, p.opts.Regions[zone]) {
			return false
		}
	}
	return true
}
