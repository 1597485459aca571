// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package publisher

import (
	"sync"

	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/router"
)

// Instruments are what this host has measured of one upstream. They outlive
// snapshots.
type Instruments struct {
	Meter   router.Meter
	Breaker retrier.Breaker
}

// Registry holds the instruments of all upstreams by name. It is safe for
// concurrent use. The zero value is ready.
type Registry struct {
	mu    sync.Mutex
	items map[string]*Instruments
}

// Get returns the instruments of an upstream, new ones if it has none.
func (r *Registry) Get(name string) *Instruments {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil {
		r.items = make(map[string]*Instruments)
	}
	in := r.items[name]
	if in == nil {
		in = &Instruments{}
		r.items[name] = in
	}
	return in
}

// Retain forgets the upstreams for which keep is false.
func (r *Registry) Retain(keep func(name string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.items {
		if !keep(n) {
			delete(r.items, n)
		}
	}
}
