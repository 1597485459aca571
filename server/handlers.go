// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"sort"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/indexer"
	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/publisher"
	"amaranthgate.example/amaranthgate/router"
)

// completions handles requests to generate text.
func (s *Server) completions(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.serve(w, r, Call{Chat: chat, Method: r.Method, Path: r.URL.Path})
	}
}

// service handles calls of plain services.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	path := "/" + r.PathValue("rest")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.serve(w, r, Call{Service: &configurer.Service{Name: r.PathValue("service")}, Method: r.Method, Path: path})
}

// resolve finds the model or the service and its pool.
func (s *Server) resolve(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) Outcome {
		if x.Call.Service != nil {
			return s.resolveService(ctx, x, next)
		}
		body, prompt, err := parsePrompt(x.Call.Body, x.Call.Chat)
		if err != nil {
			return refuse(http.StatusBadRequest, ReasonBadRequest, err.Error())
		}
		m, ok := x.Snapshot.Document.Model(prompt.Model)
		if !ok {
			return refuse(http.StatusNotFound, ReasonUnknownModel, "")
		}
		x.Call.Prompt = prompt
		x.body = body
		x.Repeatable = x.request.Header.Get(HeaderRepeatable) != "false"
		x.Pool = lookupPool(x.Snapshot.Engines, m.Name)
		s.setRouting(x, m)
		return next(ctx, x)
	}
}

func lookupPool(pools map[string]*publisher.Pool, name string) *publisher.Pool {
	if p := pools[name]; p != nil {
		return p
	}
	return &publisher.Pool{}
}

func (s *Server) resolveService(ctx context.Context, x *Exchange, next Handler) Outcome {
	svc, ok := x.Snapshot.Document.Service(x.Call.Service.Name)
	if !ok {
		return refuse(http.StatusNotFound, ReasonUnknownService, "")
	}
	x.Call.Service = &svc
	x.Repeatable = svc.Repeatable
	if v := x.request.Header.Get(HeaderRepeatable); v != "" {
		x.Repeatable = v == "true"
	}
	x.Pool = lookupPool(x.Snapshot.Services, svc.Name)
	x.Routing = router.Request{Key: router.NameHash(x.ID), Weights: x.weights()}
	return next(ctx, x)
}

// weights returns the routing weights of the exchange's class.
func (x *Exchange) weights() configurer.RoutingWeights {
	if x.Class.Routing != nil {
		return *x.Class.Routing
	}
	return x.Snapshot.Document.Routing
}

// routingKeyBytes is the length of the prefix of a prompt that its routing key is
// computed from.
const routingKeyBytes = indexer.BlockBytes

// setRouting sets the routing request of a prompt.
func (s *Server) setRouting(x *Exchange, m configurer.Model) {
	text := x.Call.Prompt.PromptText()
	salt := s.salt(x.Workspace.Name, m.Name, m.Version)
	x.chain = indexer.NewChain(salt, text)
	x.Routing = router.Request{
		Key:     router.NameHash(salt + text[:min(len(text), routingKeyBytes)]),
		Tokens:  (len(text) + indexer.BytesPerToken - 1) / indexer.BytesPerToken,
		Weights: x.weights(),
	}
	if s.opts.CacheIndex != nil {
		s.opts.CacheIndex.Lookup(s.opts.Timer.Now(), x.Workspace.Name, x.Pool, x.chain, &x.Routing)
	}
}

// AddressAnswer is the body of the answer to GET /v1/addresses.
type AddressAnswer struct {
	Addresses  []publisher.Address // Addresses are in order of preference.
	TimeToLive duration.Duration   // TimeToLive is how long the answer may be cached.
}

// addresses returns the hosts that a caller should use: those of its availability
// zone first, in a random order weighted by spare capacity.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	snap := s.opts.Publisher.Load()
	zone := r.URL.Query().Get("AvailabilityZone")
	list := make([]publisher.Address, len(snap.Addresses))
	copy(list, snap.Addresses)
	keys := make(map[string]float64, len(list))
	s.rngMu.Lock()
	for _, a := range list {
		// Weighted random order (Efraimidis and Spirakis, 2006).
		keys[a.Host] = math.Pow(s.rng.Float64(), 1/max(a.Weight, 1e-3))
	}
	s.rngMu.Unlock()
	sort.Slice(list, func(i, j int) bool {
		if sameZone := list[i].AvailabilityZone == zone; sameZone != (list[j].AvailabilityZone == zone) {
			return sameZone
		}
		return keys[list[i].Host] > keys[list[j].Host]
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(AddressAnswer{Addresses: list, TimeToLive: duration.Duration(s.opts.AddressTTL)})
}

// Health is the body of the answer to GET /v1/health.
type Health struct {
	Ready    bool
	Leaving  bool
	Revision uint64
	Open     int
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	snap := s.opts.Publisher.Load()
	h := Health{Ready: snap.Ready, Leaving: s.draining.Load(), Revision: snap.Revision, Open: s.Open()}
	w.Header().Set("Content-Type", "application/json")
	if !h.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h)
}
