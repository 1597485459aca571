// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/internal/wire"
)

const (
	defaultTokens  = 16
	maxPromptBytes = 16 << 20
)

// EngineOptions set up an engine.
type EngineOptions struct {
	Name          string
	Models        []wire.LoadedModel
	Slots         int           // Slots is the number of requests in a batch; default 8.
	PrefillRate   float64       // PrefillRate is in tokens per second; 0 takes no time.
	TokenInterval time.Duration // TokenInterval is the time between tokens.
	CacheBlocks   int           // CacheBlocks is the size of the prefix cache; default 4096.
	LinkRate      float64       // LinkRate is of the link to the store, in blocks per second; 0 takes no time.
	LoadTime      time.Duration // LoadTime is the time to load weights.
	ChecksFencing bool
}

// Engine is a stand-in for a model engine. Its text is a function of the
// prompt, so that a caller can tell whether an answer is its own and whole,
// and a stream that is continued from its text so far goes on as before.
type Engine struct {
	opts        EngineOptions
	incarnation uint64
	cache       *cache
	batch       *batch
	orders      *orders

	leaving atomic.Bool
	fault   atomic.Pointer[EngineFault]

	mu     sync.Mutex
	record map[string]int // record counts executions by nonce.
	total  int
}

// EngineFault is what goes wrong at an upstream now.
type EngineFault struct {
	Down       bool          // Down refuses every call.
	Slow       time.Duration // Slow delays the first byte.
	CutAfter   int           // CutAfter cuts each stream after as many tokens.
	Cross      bool          // Cross answers with another attempt's nonce.
	NoMarker   bool          // NoMarker ends streams without their end marker.
	LoseAnswer bool          // LoseAnswer runs the request and drops the connection.
	Refuse     bool          // Refuse answers 503 and says that nothing ran.
	StaleLoad  time.Duration // StaleLoad answers questions for load with an old report.
}

var engineIncarnation atomic.Uint64

// NewEngine returns an engine with empty caches.
func NewEngine(opts EngineOptions) *Engine {
	if opts.Slots == 0 {
		opts.Slots = 8
	}
	if opts.CacheBlocks == 0 {
		opts.CacheBlocks = 4096
	}
	e := &Engine{
		opts:        opts,
		incarnation: uint64(time.Now().UnixNano()) + engineIncarnation.Add(1),
		cache:       newCache(opts.CacheBlocks),
		batch:       newBatch(opts.Slots),
		record:      make(map[string]int),
	}
	e.orders = newOrders(opts, e.cache)
	e.fault.Store(&EngineFault{})
	return e
}

// SetFault replaces what goes wrong.
func (e *Engine) SetFault(f EngineFault) { e.fault.Store(&f) }

// SetLeaving tells whether the engine says that it is leaving.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Executions returns how often the attempt with a nonce ran.
func (e *Engine) Executions(nonce string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record[nonce]
}

// Total returns the number of requests that ran.
func (e *Engine) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// BadReads returns how many reads met a block that was freed or not sealed.
func (e *Engine) BadReads() int { return e.cache.badReads() }

// ClearCache drops all that is in accelerator memory.
func (e *Engine) ClearCache() { e.cache.clear() }

// PeakLoads returns the largest number of versions that loaded at once.
func (e *Engine) PeakLoads() int { return e.orders.peakLoads() }

// Models returns the model versions that are loaded or loading.
func (e *Engine) Models() []wire.LoadedModel { return e.orders.loaded() }

// Handler serves the engine over HTTP.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.cache.serveEvents(e.incarnation))
	mux.HandleFunc("GET /cache/segments", e.cache.serveSegments(e.incarnation))
	mux.HandleFunc("POST /orders", e.orders.serve)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.fault.Load().Down {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.load())
}

func (e *Engine) load() wire.LoadReport {
	running, waiting, tokens := e.batch.counts()
	state := wire.LoadLive
	if e.leaving.Load() {
		state = wire.LoadLeaving
	}
	return wire.LoadReport{
		Incarnation:   e.incarnation,
		State:         state,
		Running:       running,
		Waiting:       waiting,
		WaitingTokens: tokens,
		Models:        e.orders.loaded(),
		Role:          e.orders.currentRole(),
	}
}

// Answer returns the tokens that an engine generates for a prompt.
func Answer(prompt string, n int) []string {
	g := newGenerator(prompt)
	out := make([]string, n)
	for i := range out {
		out[i] = g.next()
	}
	return out
}

// maxCachedAnswer bounds the part of an answer that is cached behind its prompt.
const maxCachedAnswer = 16 << 10

// letters are those of generated tokens, which are as long as a token of a
// prompt.
const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"

// generator makes each token from the whole text before it.
type generator struct {
	hash *xxhash.Digest
	text strings.Builder
}

func newGenerator(prompt string) *generator {
	g := &generator{hash: xxhash.New()}
	_, _ = g.hash.WriteString(prompt)
	return g
}

func (g *generator) next() string {
	sum := g.hash.Sum64()
	t := string([]byte{letters[sum&63], letters[sum>>6&63], letters[sum>>12&63], ' '})
	_, _ = g.hash.WriteString(t)
	if g.text.Len() < maxCachedAnswer {
		g.text.WriteString(t)
	}
	return t
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	f := e.fault.Load()
	if f.Refuse {
		w.Header().Set(wire.HeaderRan, "no")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "engine is full", http.StatusServiceUnavailable)
		return
	}
	var req wire.CompletionRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPromptBytes)).Decode(&req); err != nil {
		w.Header().Set(wire.HeaderRan, "no")
		http.Error(w, "bad request: "+err.Error(), http.StatusBadRequest)
		return
	}
	version, ok := e.orders.version(req.Model, req.Version)
	if !ok {
		w.Header().Set(wire.HeaderRan, "no")
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultTokens
	}
	run := &run{engine: e, req: &req, fault: f, nonce: r.Header.Get(wire.HeaderNonce), version: version, chat: chat}
	run.serve(w, r)
}

func (e *Engine) note(nonce string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.record[nonce]++
	e.total++
}
