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

// poolSet holds what must outlive snapshots for each pool.
type poolSet struct {
	server *Server

	mu    sync.Mutex
	pools map[string]*poolState
}

// poolState is the gate and the router of one pool.
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
			return p.server.room(name, it.Rank, granted)
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

// currentPool returns the pool of a name in the newest snapshot.
func (s *Server) currentPool(name string) *publisher.Pool {
	snap := s.opts.Publisher.Load()
	const model, service = "model ", "service "
	if len(name) > len(service) && name[:len(service)] == service {
		return snap.Services[name[len(service):]]
	}
	return snap.Engines[name[len(model):]]
}

// room reports whether a request of a rank may start: whether the pool's
// requests leave free what is reserved for more urgent classes.
func (s *Server) room(pool string, rank, granted int) bool {
	p := s.currentPool(pool)
	if p == nil {
		return true // forward refuses it with the right reason
	}
	requests, slots := router.OccupancyWithout(p.Targets, p.ReservedFrom(rank))
	if slots == 0 {
		return true
	}
	return requests+float64(granted) < slots*overcommit
}

// overcommit is the part of the slots that may be in use before requests wait
// here. Slightly more than the slots keeps engines busy over the lag of load
// reports.
const overcommit = 1.1

// leastTime returns the least time that a request takes from its start.
func (s *Server) leastTime(x *Exchange) time.Duration {
	if x.Call.Prompt == nil || x.Pool == nil || len(x.Pool.Targets) == 0 {
		return 0
	}
	rate := x.Pool.Targets[0].PrefillRate
	if rate <= 0 {
		return 0
	}
	fresh := max(0, x.Routing.Tokens-x.Routing.Known)
	return time.Duration(float64(fresh) / rate * float64(time.Second))
}

// retryAfter advises a caller that met a full pool: the time in which the
// requests before it should have ended.
func (s *Server) retryAfter(x *Exchange) time.Duration {
	if x.Pool == nil || len(x.Pool.Targets) == 0 {
		return time.Second
	}
	requests, slots := router.Occupancy(x.Pool.Targets)
	hold := x.Pool.Targets[0].Meter.MeanSeconds()
	waiting := float64(s.pools.get(poolName(x)).gate.Waiting())
	seconds := hold * (1 + (max(0, requests-slots)+waiting)/max(1, slots))
	return max(time.Second, time.Duration(seconds*float64(time.Second)))
}

// Waiting returns the number of waiting requests by pool.
func (s *Server) Waiting() map[string]int {
	out := make(map[string]int)
	for _, p := range s.pools.all() {
		out[p.name] = p.gate.Waiting()
	}
	return out
}
