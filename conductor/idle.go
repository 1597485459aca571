// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
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
