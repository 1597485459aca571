// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of a store of kept prompts, as in the configuration.
const (
	storeLinkMbps = 27000
	tokenBytes    = 18432
	storeFirst    = 6 * time.Millisecond
	storeTokens   = 513069
)

// transferTime returns how long tokens take over the store's link.
func transferTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * tokenBytes * 8 / (storeLinkMbps * 1e6) * float64(time.Second))
}

// partKey names a part at a store.
type partKey struct{ salt, id string }

// keptPart is a part for which space is reserved.
type keptPart struct {
	tokens int
	whole  bool
}

// keyEvent is an entry of the list of events.
type keyEvent struct {
	number int64
	key    partKey
	tokens int
}

// cacheStore is a managed store of kept prompts. Its link is full duplex; the transfers of one direction run one
// after another.
type cacheStore struct {
	rec     *record
	address string
	server  *http.Server

	mu      sync.Mutex
	epoch   int64
	parts   map[partKey]*keptPart
	used    int
	events  []keyEvent
	inFree  time.Time // inFree is when the inbound direction of the link is free.
	outFree time.Time
	changed chan struct{}
	broken  int // broken counts fetches of parts that were not whole.
	fetched int // fetched counts fetches of whole parts.
}

func newCacheStore(rec *record) (*cacheStore, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &cacheStore{rec: rec, address: l.Addr().String(), epoch: time.Now().UnixMilli()}
	s.reset()
	s.serve(l)
	return s, nil
}

// reset empties the store; mu is held or the store is not shared yet.
func (s *cacheStore) reset() {
	s.parts, s.used, s.events = make(map[partKey]*keptPart), 0, nil
	s.changed = make(chan struct{})
	s.inFree, s.outFree = time.Time{}, time.Time{}
}

func (s *cacheStore) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["events"], s.serveEvents)
	mux.HandleFunc("GET "+names["list"], s.serveList)
	mux.HandleFunc("POST "+names["free"], s.serveFree)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
}

// crash ends the store, which returns empty at the same address.
func (s *cacheStore) crash(down time.Duration) error {
	_ = s.server.Close()
	s.mu.Lock()
	s.epoch++
	s.reset()
	s.mu.Unlock()
	time.Sleep(down)
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.serve(l)
	return nil
}

// save reserves space for a part at once, and writes it over the link.
func (s *cacheStore) save(key partKey, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[key] != nil || s.used+tokens > storeTokens {
		return
	}
	p := &keptPart{tokens: tokens}
	s.parts[key] = p
	s.used += tokens
	now := time.Now()
	if s.inFree.Before(now) {
		s.inFree = now
	}
	s.inFree = s.inFree.Add(storeFirst + transferTime(tokens))
	epoch := s.epoch
	s.rec.logf("store: space reserved for %s, written in %d ms", key.id, s.inFree.Sub(now).Milliseconds())
	time.AfterFunc(s.inFree.Sub(now), func() { s.complete(epoch, key, p) })
}

// complete marks a part as whole, unless the store has restarted since.
func (s *cacheStore) complete(epoch int64, key partKey, p *keptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch || s.parts[key] != p {
		return
	}
	p.whole = true
	s.events = append(s.events, keyEvent{number: int64(len(s.events) + 1), key: key, tokens: p.tokens})
	close(s.changed)
	s.changed = make(chan struct{})
}

// fetch sends a part to an engine, and reports whether it had it. A part that is not present is a miss; nothing else
// is checked.
func (s *cacheStore) fetch(request string, key partKey, until int64) bool {
	s.mu.Lock()
	p := s.parts[key]
	if p == nil {
		s.mu.Unlock()
		s.rec.logf("store: request %s misses %s", request, key.id)
		return false
	}
	now := time.Now()
	if s.outFree.Before(now) {
		s.outFree = now
	}
	s.outFree = s.outFree.Add(storeFirst + transferTime(p.tokens))
	end, whole := s.outFree, p.whole
	s.mu.Unlock()
	time.Sleep(time.Until(end))
	if until > 0 && end.UnixMilli() > until {
		s.rec.logf("store: request %s fetched %s too late, discarded", request, key.id)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		s.fetched++
		s.rec.logf("store: request %s fetched %s, which was whole", request, key.id)
		return true
	}
	s.broken++
	s.rec.logf("store: request %s fetched %s, which was being written: MIXED", request, key.id)
	return true
}

func (s *cacheStore) counts() (fetched, broken int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetched, s.broken
}

func (s *cacheStore) serveEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, 1000))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		next, changed := int64(len(s.events)), s.changed
		if since < next || ctx.Err() != nil {
			out := [][]any{}
			for _, e := range s.events[min(since, next):] {
				out = append(out, []any{e.number, "+", e.key.salt, e.key.id, e.tokens, modelName})
			}
			page := map[string]any{"epoch": s.epoch, "next": next, "lost": since > next, "events": out, "clock_ms": time.Now().UnixMilli()}
			s.mu.Unlock()
			writeJSON(w, page)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *cacheStore) serveList(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	held, partial := [][]any{}, [][]any{}
	for key, p := range s.parts {
		if p.whole {
			held = append(held, []any{key.salt, key.id, p.tokens, modelName})
		}
	}
	page := map[string]any{"epoch": s.epoch, "next": len(s.events), "held": held, "partial": partial, "clock_ms": time.Now().UnixMilli()}
	s.mu.Unlock()
	writeJSON(w, page)
}

func (s *cacheStore) serveFree(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Epoch int64       `json:"epoch"`
		Parts [][2]string `json:"parts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if body.Epoch != s.epoch {
		w.WriteHeader(http.StatusConflict)
		return
	}
	for _, k := range body.Parts {
		key := partKey{k[0], k[1]}
		if p := s.parts[key]; p != nil {
			s.used -= p.tokens
			delete(s.parts, key)
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that has left asks again
}
