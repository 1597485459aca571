// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an engine, as in the configuration and the sheet.
const (
	modelName     = "m0"
	engineTokens  = 71982
	prefillPerMs  = 36.7
	streamEvents  = 4
	eventInterval = 10 * time.Millisecond
)

// engine is a model server that keeps the parts of prompts that it has read.
type engine struct {
	rec     *record
	id      string
	address string
	store   *cacheStore
	events  int // events is the length of a stream.

	mu     sync.Mutex
	kept   []prompted // kept are the parts in order of use, least recently used first.
	closer func()

	reading sync.Mutex // reading is held while a prompt is read.
}

// prompted is a part of a prompt.
type prompted struct {
	key    partKey
	tokens int
}

func newEngine(rec *record, id string, store *cacheStore) (*engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{rec: rec, id: id, address: l.Addr().String(), store: store, events: streamEvents}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["report"], e.serveReport)
	mux.HandleFunc("POST "+names["order"], func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", e.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	e.closer = func() { _ = server.Close() }
	go func() { _ = server.Serve(l) }()
	return e, nil
}

// entry returns the engine's entry in the platform's store.
func (e *engine) entry() []byte {
	b, _ := json.Marshal(map[string]any{ // only strings and numbers
		"service": "llm-pool", "address": e.address, "zone": "zone-1", "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "models": []map[string]any{{"name": modelName, "version": 1}},
	})
	return b
}

func (e *engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]any{"stage": "colocated", "models": []map[string]any{{"name": modelName, "version": 1}},
		"busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": engineTokens, "handles": 0})
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	h := r.Header
	if expected := h.Get(names["instance"]); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if v := h.Get(names["weights"]); v != "" && v != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := h.Get(names["id"])
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.rec.arrived(id, e.id)
	e.read(id, h)
	e.rec.ran(id, e.id)
	w.Header().Set(names["id"], id)
	w.Header().Set(names["seal"], "seal."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := 1; i <= e.events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		_ = control.Flush()
		time.Sleep(eventInterval)
	}
}

// read reads a prompt: parts that the engine keeps, then what a store has, then the rest. What is named for it is
// saved afterwards.
func (e *engine) read(id string, h http.Header) {
	prompt := parsePrompt(h.Get(names["salt"]), h.Get(names["parts"]))
	fetch, save := split(h.Get(names["fetch"]), len(prompt)), split(h.Get(names["save"]), len(prompt))
	until, _ := strconv.ParseInt(h.Get(names["until"]), 10, 64)
	missing := e.missing(prompt)
	for len(missing) > 0 {
		address, _, _ := strings.Cut(fetch[len(prompt)-len(missing)], "/")
		if address != e.store.address || !e.store.fetch(id, missing[0].key, until) {
			break
		}
		missing = missing[1:]
	}
	tokens := 0
	for _, p := range missing {
		tokens += p.tokens
	}
	e.reading.Lock()
	time.Sleep(time.Duration(float64(tokens) / prefillPerMs * float64(time.Millisecond)))
	e.reading.Unlock()
	e.keep(prompt)
	for i, p := range prompt {
		if save[i] == e.store.address {
			e.store.save(p.key, p.tokens)
		}
	}
}

// missing returns the parts from the first one on that the engine does not keep.
func (e *engine) missing(prompt []prompted) []prompted {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, p := range prompt {
		if !slices.Contains(e.kept, p) {
			return prompt[i:]
		}
	}
	return nil
}

// keep marks parts as used; the least recently used ones yield.
func (e *engine) keep(prompt []prompted) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range prompt {
		e.kept = append(slices.DeleteFunc(e.kept, func(o prompted) bool { return o == p }), p)
	}
	total := 0
	for _, p := range e.kept {
		total += p.tokens
	}
	for total > engineTokens {
		total -= e.kept[0].tokens
		e.kept = e.kept[1:]
	}
}

func parsePrompt(salt, text string) []prompted {
	var out []prompted
	for _, field := range strings.Split(text, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(field), ":")
		tokens, _ := strconv.Atoi(count)
		out = append(out, prompted{partKey{salt, id}, tokens})
	}
	return out
}

// split returns the addresses of a header, one for each part of a prompt.
func split(text string, n int) []string {
	out := make([]string, n)
	fields := strings.Split(text, ",")
	for i := range out {
		switch {
		case len(fields) == 1:
			out[i] = strings.TrimSpace(fields[0])
		case i < len(fields):
			out[i] = strings.TrimSpace(fields[i])
		}
	}
	return out
}
