// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package emulator

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthgate.example/amaranthgate/internal/wire"
)

// Service is a stand-in for a plain service. It answers each call with the
// body it got and keeps a record of what it ran.
type Service struct {
	incarnation uint64
	leaving     atomic.Bool
	fault       atomic.Pointer[EngineFault]
	running     atomic.Int64

	mu   sync.Mutex
	runs map[string]int // runs counts executions by body.
}

// NewService returns a service that has run nothing.
func NewService() *Service {
	s := &Service{incarnation: uint64(time.Now().UnixNano()) + engineIncarnation.Add(1), runs: make(map[string]int)}
	s.fault.Store(&EngineFault{})
	return s
}

// SetFault replaces what goes wrong.
func (s *Service) SetFault(f EngineFault) { s.fault.Store(&f) }

// SetLeaving tells whether the service says that it is leaving.
func (s *Service) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Executions returns how often a call with a body ran.
func (s *Service) Executions(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Runs returns a copy of the executions by body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, v := range s.runs {
		out[k] = v
	}
	return out
}

// Handler serves the service over HTTP.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		state := wire.LoadLive
		if s.leaving.Load() {
			state = wire.LoadLeaving
		}
		writeJSON(w, wire.LoadReport{Incarnation: s.incarnation, State: state, Running: int(s.running.Load())})
	})
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	f := s.fault.Load()
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	if f.Refuse {
		w.Header().Set(wire.HeaderRan, "no")
		http.Error(w, "service is full", http.StatusServiceUnavailable)
		return
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxPromptBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	sleep(r.Context(), f.Slow)
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	nonce := r.Header.Get(wire.HeaderNonce)
	if f.Cross {
		nonce = "another-" + nonce
	}
	w.Header().Set(wire.HeaderNonce, nonce)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"Path\":%q,\"Received\":%q}\n", r.URL.Path, body)
}
