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

// EngineOptions configure an Engine.
type EngineOptions struct {
	Name          string
	Models        []wire.LoadedModel
	Slots         int     // maximum number of running requests; default 8
	PrefillRate   float64 // tokens per second; 0 takes no time
	TokenInterval time.Duration
	CacheBlocks   int           // capacity of the prefix cache; default 4096
	LinkRate      float64       // blocks per second of the link to the store; 0 takes no time
	LoadTime      time.Duration // time to load the weights of a model version
	ChecksFencing bool          // reject orders with a fencing number below the highest one seen
}

// Engine emulates a model engine. The generated text is a function of the
// prompt: a caller can verify an answer, and a stream that is resumed with its
// text so far appended to the prompt continues unchanged.
type Engine struct {
	opts        EngineOptions
	incarnation uint64
	cache       *cache
	batch       *batch
	orders      *orders

	leaving atomic.Bool
	fault   atomic.Pointer[EngineFault]

	mu         sync.Mutex
	executions map[string]int // number of executions by nonce
	total      int
}

// EngineFault selects the faults that an upstream injects.
type EngineFault struct {
	Down       bool          // close every connection without an answer
	Slow       time.Duration // delay of the first byte
	CutAfter   int           // number of tokens after which each stream is cut; 0 for never
	WrongNonce bool          // answer with the nonce of another attempt
	NoMarker   bool          // end streams without the end marker
	LoseAnswer bool          // run the request, then drop the connection
	Refuse     bool          // answer 503 and report that the request did not run
	StaleLoad  time.Duration // has no effect
}

var incarnationCounter atomic.Uint64

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
		incarnation: uint64(time.Now().UnixNano()) + incarnationCounter.Add(1),
		cache:       newCache(opts.CacheBlocks),
		batch:       newBatch(opts.Slots),
		executions:  make(map[string]int),
	}
	e.orders = newOrders(opts, e.cache)
	e.fault.Store(&EngineFault{})
	return e
}

// SetFault replaces the injected faults.
func (e *Engine) SetFault(f EngineFault) { e.fault.Store(&f) }

// SetLeaving sets whether the engine reports the state Leaving.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Executions returns how many times the attempt with a nonce ran.
func (e *Engine) Executions(nonce string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executions[nonce]
}

// Total returns the number of requests that ran.
func (e *Engine) Total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.total
}

// BadReads returns the number of reads of segments that were freed, not sealed
// or of another generation.
func (e *Engine) BadReads() int { return e.cache.badReads() }

// ClearCache evicts all blocks from accelerator memory.
func (e *Engine) ClearCache() { e.cache.clear() }

// PeakLoads returns the largest number of model versions that were loading at
// the same time.
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
	writeJSON(w, e.loadReport())
}

func (e *Engine) loadReport() wire.LoadReport {
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

// maxCachedAnswerBytes bounds the part of an answer that is cached after its prompt.
const maxCachedAnswerBytes = 16 << 10

// letters is the alphabet of generated tokens.
const letters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"

// generator derives each token from a hash of all text before it.
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
	if g.text.Len() < maxCachedAnswerBytes {
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
	x := &execution{
		engine: e, req: &req, fault: f, nonce: r.Header.Get(wire.HeaderNonce), version: version, chat: chat,
	}
	x.serve(w, r)
}

func (e *Engine) countExecution(nonce string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions[nonce]++
	e.total++
}
