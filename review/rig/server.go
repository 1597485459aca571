// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/internal/freeport"
)

// serverOptions configure a server.
type serverOptions struct {
	id      string
	service string
	zone    string
	slots   int
	queue   int           // queue is the number of requests that wait for a slot; others are refused.
	work    time.Duration // work is the time that a request takes.
	seed    uint64
	record  *recorder
}

// server is a stand-in of a plain server. It serves one request at a time on a connection, and refuses what it has no
// room for as not run.
type server struct {
	opts     serverOptions
	listener net.Listener
	running  chan struct{} // running has an item for each running request.

	mu        sync.Mutex
	rng       *rand.Rand
	waiting   int
	sequence  int
	runs      map[string]int // runs counts the runs of each request.
	repeating float64        // repeating is the share of answers of which a second copy is sent late.
	repeated  int            // repeated counts these copies.
	refused   int            // refused counts the requests that were refused as not run.
}

func startServer(opts serverOptions) (*server, error) {
	l, err := freeport.Listen()
	if err != nil {
		return nil, err
	}
	s := &server{opts: opts, listener: l, running: make(chan struct{}, opts.slots),
		rng: rand.New(rand.NewPCG(opts.seed, 1)), runs: make(map[string]int)}
	go s.accept()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// entry returns the server's registry entry.
func (s *server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	b, err := json.Marshal(map[string]any{
		"service": s.opts.service, "address": s.address(), "zone": s.opts.zone, "version": "v1", "slots": s.opts.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": s.sequence,
	})
	if err != nil {
		panic("rig: encode entry: " + err.Error())
	}
	return b
}

// setRepeating sets the share of answers of which a second copy arrives where the next answer on the connection is
// expected.
func (s *server) setRepeating(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeating = share
}

// repeats draws whether an answer is sent a second time.
func (s *server) repeats() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeating > 0 && s.rng.Float64() < s.repeating
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve serves the requests of a connection.
func (s *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var again []byte   // again is the answer of which a second copy is to be sent.
	var againTo string // againTo is the request that it answered.
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(names.RequestID)
		if again != nil {
			s.mu.Lock()
			s.repeated++
			s.mu.Unlock()
			s.opts.record.add("server %s  request %s  arrives; a second copy of the answer to %s is sent: %.12s", s.opts.id, id, againTo, again)
			if _, err := c.Write(again); err != nil {
				return
			}
			again = nil
		}
		answer := s.answer(r, id)
		if s.repeats() {
			again, againTo = answer, id
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// answer runs a request, or refuses it, and returns the bytes of the answer.
func (s *server) answer(r *http.Request, id string) []byte {
	if r.Header.Get(names.ExpectInstance) != s.opts.id {
		s.opts.record.add("server %s  request %s  answers 421, not run", s.opts.id, id)
		return encodeAnswer(http.StatusMisdirectedRequest, id, "", "")
	}
	if !s.enter() {
		s.opts.record.add("server %s  request %s  answers 503, not run", s.opts.id, id)
		return encodeAnswer(http.StatusServiceUnavailable, id, names.NotExecuted+": 1\r\n", "")
	}
	defer func() { <-s.running }()
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.opts.record.add("server %s  request %s  runs", s.opts.id, id)
	time.Sleep(s.opts.work)
	return encodeAnswer(http.StatusOK, id, names.Signature+": seal-"+id+"\r\n", "done "+id)
}

// enter waits for a slot; it returns false if there is no room to wait.
func (s *server) enter() bool {
	select {
	case s.running <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.opts.queue {
		s.refused++
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.running <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}

func encodeAnswer(status int, id, header, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status),
		names.RequestID, id, header, len(body), body)
	return b.Bytes()
}
