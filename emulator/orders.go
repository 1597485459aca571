// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/internal/wire"
)

// orders executes the orders that an engine receives.
type orders struct {
	opts  EngineOptions
	cache *cache

	mu      sync.Mutex
	fencing uint64
	role    string
	models  []wire.LoadedModel
	loading int
	peak    int // largest value of loading

	accepted []wire.Order
}

func newOrders(opts EngineOptions, c *cache) *orders {
	return &orders{opts: opts, cache: c, models: append([]wire.LoadedModel(nil), opts.Models...)}
}

// Orders returns the orders that the engine accepted.
func (e *Engine) Orders() []wire.Order {
	e.orders.mu.Lock()
	defer e.orders.mu.Unlock()
	return append([]wire.Order(nil), e.orders.accepted...)
}

func (o *orders) peakLoads() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peak
}

func (o *orders) loaded() []wire.LoadedModel {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]wire.LoadedModel(nil), o.models...)
}

func (o *orders) currentRole() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.role
}

// version returns the loaded version that serves a request for a model. An
// empty want selects the newest.
func (o *orders) version(model, want string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.models) - 1; i >= 0; i-- {
		m := o.models[i]
		if m.Name == model && m.Adapter == "" && !m.Loading && (want == "" || m.Version == want) {
			return m.Version, true
		}
	}
	return "", false
}

func (o *orders) serve(w http.ResponseWriter, r *http.Request) {
	var ord wire.Order
	if err := json.NewDecoder(r.Body).Decode(&ord); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, o.accept(ord))
}

func (o *orders) accept(ord wire.Order) wire.OrderAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.opts.ChecksFencing && ord.Fencing < o.fencing {
		return wire.OrderAnswer{Fencing: o.fencing, Reason: "an order with a higher fencing number was seen"}
	}
	o.fencing = max(o.fencing, ord.Fencing)
	o.accepted = append(o.accepted, ord)
	switch ord.Kind {
	case wire.OrderLoad:
		o.load(ord)
	case wire.OrderUnload:
		o.unload(ord)
	case wire.OrderExport:
		if name := o.cache.export(ord); name != "" {
			o.runAfter(o.linkTime(len(ord.Blocks)), func() { o.cache.seal(name) })
		}
	case wire.OrderImport:
		o.runAfter(o.linkTime(o.cache.importSize(ord.Segments)), func() { o.cache.importSegments(ord.Segments) })
	case wire.OrderRole:
		o.role = ord.Role
	case wire.OrderFree:
		o.cache.free(ord.Segments)
	default:
		return wire.OrderAnswer{Fencing: o.fencing, Reason: "unknown order"}
	}
	return wire.OrderAnswer{Accepted: true, Fencing: o.fencing}
}

func (o *orders) linkTime(blocks int) time.Duration {
	if o.opts.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(blocks) / o.opts.LinkRate * float64(time.Second))
}

// runAfter calls f after d, or at once if d is not positive.
func (o *orders) runAfter(d time.Duration, f func()) {
	if d <= 0 {
		f()
		return
	}
	time.AfterFunc(d, f)
}

func (o *orders) indexOf(ord wire.Order) int {
	for i, m := range o.models {
		if m.Name == ord.Model && m.Version == ord.Version && m.Adapter == ord.Adapter {
			return i
		}
	}
	return -1
}

func (o *orders) load(ord wire.Order) {
	if o.indexOf(ord) >= 0 {
		return
	}
	o.models = append(o.models, wire.LoadedModel{
		Name: ord.Model, Version: ord.Version, Adapter: ord.Adapter, Loading: true,
	})
	o.loading++
	o.peak = max(o.peak, o.loading)
	time.AfterFunc(o.opts.LoadTime, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.loading--
		if i := o.indexOf(ord); i >= 0 {
			o.models[i].Loading = false
		}
	})
}

func (o *orders) unload(ord wire.Order) {
	if i := o.indexOf(ord); i >= 0 {
		o.models = append(o.models[:i], o.models[i+1:]...)
	}
}
