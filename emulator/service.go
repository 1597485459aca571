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

// Service emulates a plain service. It answers each call with the received
// body and counts the executions.
type Service struct {
	incarnation uint64
	leaving     atomic.Bool
	fault       atomic.Pointer[EngineFault]
	running     atomic.Int64

	mu         sync.Mutex
	executions map[string]int // number of executions by body
}

// NewService returns a service without executions.
func NewService() *Service {
	s := &Service{
		incarnation: uint64(time.Now().UnixNano()) + incarnationCounter.Add(1),
		executions:  make(map[string]int),
	}
	s.fault.Store(&EngineFault{})
	return s
}

// SetFault replaces the injected faults.
func (s *Service) SetFault(f EngineFault) { s.fault.Store(&f) }

// SetLeaving sets whether the service reports the state Leaving.
func (s *Service) SetLeaving(leaving bool) { s.leaving.Store(leaving) }

// Executions returns how many times a call with a body ran.
func (s *Service) Executions(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[body]
}

// Runs returns the number of executions by body.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executions))
	for k, v := range s.executions {
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
	s.executions[string(body)]++
	s.mu.Unlock()
	sleep(r.Context(), f.Slow)
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	nonce := r.Header.Get(wire.HeaderNonce)
	if f.WrongNonce {
		nonce = "another-" + nonce
	}
	w.Header().Set(wire.HeaderNonce, nonce)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"Path\":%q,\"Received\":%q}\n", r.URL.Path, body)
}
