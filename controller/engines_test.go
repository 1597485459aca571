// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/internal/wire"
)

// simEngine is a simulated engine.
type simEngine struct {
	checksFencing bool
	fencing       uint64
	models        []wire.LoadedModel
}

const (
	simLoadTime         = 5 * time.Second
	simLoadPollInterval = 500 * time.Millisecond
)

// addEngines adds engines to the first document. Every second one ignores fencing
// numbers.
func (s *simulation) addEngines(n int) {
	for i := range n {
		s.engines[fmt.Sprintf("engine-%d", i)] = &simEngine{checksFencing: i%2 == 0, models: []wire.LoadedModel{{Name: "m", Version: "v1"}}}
	}
}

// upstreams returns the engines as upstreams of the document.
func (s *simulation) upstreams() []configurer.Upstream {
	var out []configurer.Upstream
	for i := range len(s.engines) {
		name := fmt.Sprintf("engine-%d", i)
		out = append(out, configurer.Upstream{
			Name: name, Kind: configurer.KindEngine, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), AvailabilityZone: "zone",
			Models: []string{"m"}, WeightStore: "store", Slots: 8, ChecksFencing: s.engines[name].checksFencing,
			PrefillRate: 1000, LinkRate: 1e9, BytesPerToken: 1000,
		})
	}
	return out
}

// publishNext publishes a model's next version.
func (s *simulation) publishNext(host, id, version string) {
	h := s.hosts[host]
	h.runIn(h.generation, func() {
		cfg := h.node.Configuration()
		next := *cfg.Document()
		next.Models = []configurer.Model{{Name: "m", Version: next.Models[0].Version, Next: version}}
		d, err := configurer.NewDelta(id, host, cfg.Revision(), cfg.Document(), &next)
		if err != nil {
			s.violation("delta: %v", err)
			return
		}
		h.handle(ChangePublished{Delta: d})
	})
}

// pollLoads polls the load of the watched engines.
func (h *simHost) pollLoads(generation int) {
	h.sim.after(simLoadPollInterval, func() {
		h.runIn(generation, func() {
			for _, u := range h.node.Watched() {
				e := h.sim.engines[u.Name]
				rep := wire.LoadReport{Incarnation: 1, State: wire.LoadLive, Models: append([]wire.LoadedModel(nil), e.models...)}
				h.later(2*simHop, func() { h.handle(LoadReported{Upstream: u.Name, Report: &rep}) })
			}
			h.pollLoads(generation)
		})
	})
}

// issue delivers an order unless its lease has expired.
func (h *simHost) issue(a SendOrder) {
	s := h.sim
	h.later(simHop, func() {
		if !s.now.Before(a.Until) {
			return
		}
		s.after(simHop+time.Duration(s.rng.IntN(300))*time.Millisecond, func() {
			ans := s.engines[a.Upstream].order(s, a.Order)
			h.later(simHop, func() { h.handle(OrderDone{Upstream: a.Upstream, Order: a.Order, Answer: &ans}) })
		})
	})
}

func (e *simEngine) order(s *simulation, o wire.Order) wire.OrderAnswer {
	if e.checksFencing && o.Fencing < e.fencing {
		return wire.OrderAnswer{Fencing: e.fencing}
	}
	e.fencing = max(e.fencing, o.Fencing)
	m := wire.LoadedModel{Name: o.Model, Version: o.Version, Loading: true}
	for _, have := range e.models {
		if have.Version == o.Version {
			return wire.OrderAnswer{Accepted: true, Fencing: e.fencing}
		}
	}
	if o.Kind == wire.OrderLoad {
		e.models = append(e.models, m)
		s.countLoads()
		s.after(simLoadTime, func() {
			for i := range e.models {
				if e.models[i].Version == o.Version {
					e.models[i].Loading = false
				}
			}
		})
	}
	return wire.OrderAnswer{Accepted: true, Fencing: e.fencing}
}

// countLoads checks that no more engines load concurrently than the document allows.
func (s *simulation) countLoads() {
	n := 0
	for _, e := range s.engines {
		for _, m := range e.models {
			if m.Loading {
				n++
			}
		}
	}
	s.peakLoads = max(s.peakLoads, n)
	if n > simDocument().Loads.AtOnce {
		s.violation("%d engines load concurrently", n)
	}
}
