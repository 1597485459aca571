// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
	"amaranthgate.example/amaranthgate/scheduler"
)

// poolSet holds the state of pools that is kept across snapshots.
type poolSet struct {
	server *Server

	mu    sync.Mutex
	pools map[string]*poolState
}

// poolState is the admission gate and the router of one pool.
type poolState struct {
	name   string
	gate   *scheduler.Gate
	mu     sync.Mutex // mu guards router.
	router *router.Router
}

// poolName returns the key of the pool of an exchange.
func poolName(x *Exchange) string {
	if x.Call.Service != nil {
		return "service " + x.Call.Service.Name
	}
	return "model " + x.Call.Prompt.Model
}

func (p *poolSet) get(name string) *poolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.pools[name]
	if st == nil {
		st = &poolState{name: name, router: router.New(rand.New(rand.NewPCG(p.server.opts.Seed, router.NameHash(name))))}
		st.gate = scheduler.NewGate(func(it *scheduler.Item, granted int) bool {
			return p.server.hasCapacity(name, it.Rank, granted)
		})
		p.pools[name] = st
	}
	return st
}

// all returns every pool.
func (p *poolSet) all() []*poolState {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*poolState, 0, len(p.pools))
	for _, st := range p.pools {
		out = append(out, st)
	}
	return out
}

// currentPool returns the pool with a name of poolName in the latest snapshot.
func (s *Server) currentPool(name string) *publisher.Pool {
	snap := s.opts.Publisher.Load()
	const model, service = "model ", "service "
	if len(name) > len(service) && name[:len(service)] == service {
		return snap.Services[name[len(service):]]
	}
	return snap.Engines[name[len(model):]]
}

// hasCapacity reports whether a request of a rank may start without using slots
// reserved for more urgent classes.
func (s *Server) hasCapacity(pool string, rank, granted int) bool {
	p := s.currentPool(pool)
	if p == nil {
		return true // forward refuses the request
	}
	requests, slots := router.OccupancyWithout(p.Targets, p.ReservedAbove(rank))
	if slots == 0 {
		return true
	}
	return requests+float64(granted) < slots*overcommitFactor
}

// overcommitFactor is the share of slots that may be in use before requests queue.
// More than 1 keeps engines busy in spite of the lag of load reports.
const overcommitFactor = 1.1

// minServiceTime returns a lower bound of the time that a request takes once started.
func (s *Server) minServiceTime(x *Exchange) time.Duration {
	if x.Call.Prompt == nil || x.Pool == nil || len(x.Pool.Targets) == 0 {
		return 0
	}
	rate := x.Pool.Targets[0].PrefillRate
	if rate <= 0 {
		return 0
	}
	uncached := max(0, x.Routing.Tokens-x.Routing.Known)
	return time.Duration(float64(uncached) / rate * float64(time.Second))
}

// retryAfter returns the estimated time until the requests queued before x have
// finished.
func (s *Server) retryAfter(x *Exchange) time.Duration {
	if x.Pool == nil || len(x.Pool.Targets) == 0 {
		return time.Second
	}
	requests, slots := router.Occupancy(x.Pool.Targets)
	meanSeconds := x.Pool.Targets[0].Meter.MeanSeconds()
	waiting := float64(s.pools.get(poolName(x)).gate.Waiting())
	seconds := meanSeconds * (1 + (max(0, requests-slots)+waiting)/max(1, slots))
	return max(time.Second, time.Duration(seconds*float64(time.Second)))
}

// Waiting returns the number of queued requests by pool.
func (s *Server) Waiting() map[string]int {
	out := make(map[string]int)
	for _, p := range s.pools.all() {
		out[p.name] = p.gate.Waiting()
	}
	return out
}
