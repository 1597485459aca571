// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package publisher

import (
	"sync"

	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/router"
)

// Instruments holds this host's measurements of one upstream. They outlive snapshots.
type Instruments struct {
	Meter   router.Meter
	Breaker retrier.Breaker
}

// Registry holds the instruments of all upstreams by name. It is safe for concurrent use. The zero
// value is empty.
type Registry struct {
	mu          sync.Mutex
	instruments map[string]*Instruments
}

// Get returns the instruments of an upstream. It creates them if there are none.
func (r *Registry) Get(name string) *Instruments {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.instruments == nil {
		r.instruments = make(map[string]*Instruments)
	}
	in := r.instruments[name]
	if in == nil {
		in = &Instruments{}
		r.instruments[name] = in
	}
	return in
}

// Retain removes the upstreams for which keep returns false.
func (r *Registry) Retain(keep func(name string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.instruments {
		if !keep(n) {
			delete(r.instruments, n)
		}
	}
}
