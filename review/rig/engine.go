// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/internal/freeport"
)

// engineOptions configure an engine.
type engineOptions struct {
	id      string
	service string
	zone    string
	model   string
	slots   int
	work    time.Duration // work is the time that a request takes.
	load    time.Duration // load is the time that new weights take.
	seed    uint64
	record  *recorder
}

// engine is a stand-in of a model server that takes orders to load weights. It lets running requests finish first.
type engine struct {
	opts     engineOptions
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	idle     *sync.Cond // idle is signaled when a request ends.
	rng      *rand.Rand
	version  uint64
	busy     bool
	running  int
	entries  int     // entries counts the entries written.
	accepted int     // accepted is the number of orders accepted.
	late     float64 // late is the share of orders that get no answer and are carried out later.
	refused  int     // refused counts requests for another version.
	ran      int
}

// Orders without an answer are carried out after a time drawn between these.
const (
	minLateness = 2 * time.Second
	maxLateness = 12 * time.Second
)

func startEngine(opts engineOptions) (*engine, error) {
	l, err := freeport.Listen()
	if err != nil {
		return nil, err
	}
	e := &engine{opts: opts, listener: l, rng: rand.New(rand.NewPCG(opts.seed, 5)), version: 1}
	e.idle = sync.NewCond(&e.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }() // it ends with close
	return e, nil
}

func (e *engine) close() { _ = e.server.Close() }

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": e.opts.model, "version": e.version, "adapters": []string{}}}
}

// entry returns the engine's registry entry.
func (e *engine) entry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entries++
	b, err := json.Marshal(map[string]any{
		"service": e.opts.service, "address": e.listener.Addr().String(), "zone": e.opts.zone, "version": "v1", "slots": e.opts.slots,
		"state": "ready", "cold_remaining_ms": 0, "stage": "colocated", "sequence": e.entries, "models": e.models(),
	})
	if err != nil {
		panic("rig: encode entry: " + err.Error())
	}
	return b
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{ // a caller that has left asks again
		"stage": "colocated", "models": e.models(), "busy": e.busy, "sequence": e.accepted, "queued": 0, "running": e.running,
		"kv_used": 0, "kv_total": engineTokens, "handles": 0,
	})
}

// setLate sets the share of orders that get no answer and are carried out later.
func (e *engine) setLate(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.late = share
}

// order takes an order to load weights.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version  uint64 `json:"version"`
		Holder   string `json:"holder"`
		Expected *int   `json:"expected"`
	}
	switch {
	case json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "":
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get(names.ExpectInstance) != "" && r.Header.Get(names.ExpectInstance) != e.opts.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if after, late := e.lateness(); late {
		e.opts.record.add("engine %s  order of %s for version %d  no answer, carried out in %.1f s", e.opts.id, o.Holder, o.Version, after.Seconds())
		time.AfterFunc(after, func() {
			status := e.carryOut(o.Version, o.Expected)
			e.opts.record.add("engine %s  late order for version %d  carried out: %d", e.opts.id, o.Version, status)
		})
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	status := e.carryOut(o.Version, o.Expected)
	e.opts.record.add("engine %s  order of %s for version %d  answers %d", e.opts.id, o.Holder, o.Version, status)
	w.WriteHeader(status)
}

// lateness draws whether an order gets no answer, and when it is carried out then.
func (e *engine) lateness() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.late == 0 || e.rng.Float64() >= e.late {
		return 0, false
	}
	return minLateness + time.Duration(e.rng.Float64()*float64(maxLateness-minLateness)), true
}

// carryOut begins to load weights and returns the status of the answer.
func (e *engine) carryOut(version uint64, expected *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.busy, expected != nil && *expected != e.accepted:
		return http.StatusConflict
	case e.version == version:
		return http.StatusOK
	}
	e.busy = true
	e.accepted++
	go e.renew(version)
	return http.StatusAccepted
}

// renew loads weights once the running requests have ended.
func (e *engine) renew(version uint64) {
	e.mu.Lock()
	for e.running > 0 {
		e.idle.Wait()
	}
	e.mu.Unlock()
	time.Sleep(e.opts.load)
	e.mu.Lock()
	before := e.version
	e.version, e.busy = version, false
	e.mu.Unlock()
	e.opts.record.add("engine %s  has version %d after %d", e.opts.id, version, before)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if status := e.begin(r); status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set(names.NotExecuted, "1")
		}
		w.WriteHeader(status)
		return
	}
	time.Sleep(e.opts.work)
	e.mu.Lock()
	e.running--
	e.idle.Broadcast()
	e.mu.Unlock()
	w.Header().Set(names.Signature, "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = fmt.Fprintf(w, "id: 1\ndata: %s\n\n", id) // the caller may have left
}

// begin begins a request, or returns the status with which it is not run.
func (e *engine) begin(r *http.Request) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get(names.ExpectVersion)
	switch {
	case r.Header.Get(names.ExpectInstance) != e.opts.id:
		return http.StatusMisdirectedRequest
	case expected != "" && expected != strconv.FormatUint(e.version, 10):
		e.refused++
		return http.StatusMisdirectedRequest
	case e.busy || e.running >= e.opts.slots:
		return http.StatusServiceUnavailable
	}
	e.running++
	e.ran++
	return 0
}

// state returns the version, and how many requests were refused for it and ran so far.
func (e *engine) state() (version uint64, refused, ran int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.refused, e.ran
}
