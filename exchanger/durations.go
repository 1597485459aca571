// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"sync"
	"time"
)

const (
	// durationsSpan is the number of requests of a route after which longer ones before them are forgotten.
	durationsSpan = 256
	// maxDurationRoutes bounds the number of routes that are tracked.
	maxDurationRoutes = 4096
)

// Durations tracks how long answered requests of each route last. The zero value is ready to use. It is safe for concurrent
// use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*durationRange
}

// durationRange is the longest of the last requests of a route, between durationsSpan and twice as many.
type durationRange struct {
	current, previous time.Duration
	count             int // count is the number of requests in current.
}

// Record records an answered request.
func (d *Durations) Record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil || len(d.routes) >= maxDurationRoutes {
		d.routes = make(map[string]*durationRange)
	}
	r := d.routes[route]
	if r == nil {
		r = &durationRange{}
		d.routes[route] = r
	}
	if r.count == durationsSpan {
		r.previous, r.current, r.count = r.current, 0, 0
	}
	r.current = max(r.current, took)
	r.count++
}

// Longest returns the longest of the last requests of a route; false if there was none.
func (d *Durations) Longest(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.routes[route]
	if r == nil {
		return 0, false
	}
	return max(r.current, r.previous), true
}
