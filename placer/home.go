// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "slices"

// home tells that a request may be served, and its context kept, in an availability zone.
func (p *Placer) home(ask *Ask, zone string) bool {
	for _, regions := range ask.Homes {
		if len(regions) > 0 && !slices.Contains(regions, p.opts.Regions[zone]) {
			return false
		}
	}
	return true
}
