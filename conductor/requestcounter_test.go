// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLateBodyCountsAsRunning guards against a body that is read after the host takes requests again and counts as a header.
func TestLateBodyCountsAsRunning(t *testing.T) {
	var c requestCounter
	begun, counted := make(chan struct{}), make(chan [2]int64, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		_, _ = io.ReadAll(r.Body)
		counted <- [2]int64{c.arriving.Load(), c.running.Load()}
	})}
	c.watch(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(countingListener{Listener: l, requests: &c}) }()
	defer func() { _ = server.Close() }()
	c.refusing.Store(true)
	conn, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
	assert.NilError(t, err)
	<-begun
	c.refusing.Store(false)
	_, err = io.WriteString(conn, "ab")
	assert.NilError(t, err)
	assert.Equal(t, <-counted, [2]int64{0, 1})
}

// TestClosingHostSeesEachRequestThatItTakes guards against a request that begins as the host stops taking requests, and that
// the host neither refuses nor waits for.
func TestClosingHostSeesEachRequestThatItTakes(t *testing.T) {
	const rounds = 20_000
	counters, connections := make([]requestCounter, rounds), make([]connection, rounds)
	var round atomic.Int64
	begun := make(chan struct{})
	go func() {
		defer close(begun)
		for i := range rounds {
			for round.Load() < int64(i+1) {
				runtime.Gosched()
			}
			connections[i].begin(phaseRunning)
		}
	}()
	seen := make([]bool, rounds)
	for i := range rounds {
		c := &counters[i]
		connections[i].requests = c
		round.Store(int64(i + 1))
		for range i % 64 {
			_ = round.Load() // meets begin at another step in each round
		}
		c.refusing.Store(true)
		seen[i] = c.running.Load() > 0
	}
	<-begun
	for i := range rounds {
		assert.Assert(t, seen[i] || connections[i].phase == phaseNone, "round %d", i)
	}
}
