// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestGoneHostsAreForgotten: a host that has ended is forgotten by all others after a while.
func TestGoneHostsAreForgotten(t *testing.T) {
	for _, hosts := range []int{3, 8, 30} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := newCluster(hosts)
			c.run(5 * time.Second)
			last := c.nodes[hosts-1]
			last.down = true
			c.run(2 * DefaultTiming().ForgetAfter)
			for _, s := range c.nodes[:hosts-1] {
				_, known := s.node.hosts.Lookup(last.name)
				assert.Assert(t, !known, s.name)
			}
		})
	}
}
