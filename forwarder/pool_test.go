// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

type poolAnswer struct {
	Text  string // Text is an answer with | for line ends.
	Raw   string // Raw is written before Text unchanged.
	Late  string // Late is an answer written before Text.
	Extra string // Extra is an answer written after Text.
	After string
}

type poolWant struct {
	ID      string // ID is that of the request; its index by default.
	Status  int
	Body    string
	Framing Framing // Framing is not checked if it is empty.
	Cut     bool
	Cause   Cause
	Ran     Ran
}

type poolCase struct {
	Name        string
	Answers     []poolAnswer
	Want        []poolWant
	Connections int
}

// poolServer sends the answers of a case on each connection and counts connections.
type poolServer struct {
	listener net.Listener
	answers  []poolAnswer
	count    atomic.Int32
	written  atomic.Int32 // written counts answers that were written with their Extra.
}

func newPoolServer(t *testing.T, answers []poolAnswer) *poolServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &poolServer{listener: l, answers: answers}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.count.Add(1)
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *poolServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, a := range s.answers {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		format := func(text string) string {
			if text == "" {
				return ""
			}
			text = strings.ReplaceAll("HTTP/1.1 "+text, "|", "\r\n")
			return strings.ReplaceAll(text, "{id}", req.Header.Get("X-Id"))
		}
		_, _ = io.WriteString(c, a.Raw+format(a.Late)+format(a.Text)+format(a.Extra))
		if a.After == "reset" {
			_ = c.SetLinger(0)
		}
		if a.After == "reset" || a.After == "close" {
			_ = c.Close()
			s.written.Add(1)
			return
		}
		s.written.Add(1)
	}
	_, _ = io.Copy(io.Discard, r) // keeps the connection open
}

func TestPool(t *testing.T) {
	text, err := os.ReadFile("testdata/pool.jsonc")
	assert.NilError(t, err)
	var cases []poolCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			s := newPoolServer(t, c.Answers)
			p := NewPool(PoolOptions{})
			for i, want := range c.Want {
				checkCall(t, p, s, cmp.Or(want.ID, strconv.Itoa(i)), want)
			}
			assert.Equal(t, int(s.count.Load()), c.Connections)
		})
	}
}

func checkCall(t *testing.T, p *Pool, s *poolServer, id string, want poolWant) {
	t.Helper()
	answered := s.written.Load()
	reply, fail := p.Do(context.Background(), &Call{
		Address: s.listener.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h",
		Header: http.Header{"X-Id": {id}}, Body: []byte("body"), ID: id,
		Accept: func(h http.Header) bool { return h.Get("X-Id") == id },
	})
	if want.Cause != "" {
		assert.Assert(t, fail != nil)
		assert.Equal(t, fail.Cause, want.Cause)
		assert.Equal(t, fail.Ran, want.Ran)
		return
	}
	assert.Assert(t, fail == nil, "%v", fail)
	assert.Equal(t, reply.Status, want.Status)
	if want.Framing != "" {
		assert.Equal(t, reply.Framing, want.Framing)
	}
	body, err := io.ReadAll(reply)
	assert.Equal(t, err != nil, want.Cut, "%v", err)
	if want.Body != "" {
		assert.Equal(t, string(body), want.Body)
	}
	// Wait for Extra to be written before the connection is reused.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.written.Load() > answered {
			return poll.Success()
		}
		return poll.Continue("answer not written")
	})
	reply.Close()
}

// TestPoolEndsOldConnections checks that a connection is closed once it has carried as many requests as it knows.
func TestPoolEndsOldConnections(t *testing.T) {
	const calls = maxIdentities + 1
	s := newPoolServer(t, slices.Repeat([]poolAnswer{{Text: "200 OK|X-Id: {id}|Content-Length: 2||ok"}}, calls))
	p := NewPool(PoolOptions{})
	for i := range calls {
		checkCall(t, p, s, strconv.Itoa(i), poolWant{Status: http.StatusOK})
	}
	assert.Equal(t, int(s.count.Load()), 2)
}

// TestPoolNotConnected checks that a request without a connection is reported as not
// run.
func TestPoolNotConnected(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, fail := NewPool(PoolOptions{}).Do(context.Background(), &Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	assert.Equal(t, fail.Cause, CauseConnect)
	assert.Equal(t, fail.Ran, RanNo)
}

// TestPoolCap checks that a pool at its connection limit reports a request as not run,
// and reuses an idle connection.
func TestPoolCap(t *testing.T) {
	s := newPoolServer(t, []poolAnswer{{Text: "200 OK|Content-Length: 0||"}, {Text: "200 OK|Content-Length: 0||"}})
	p := NewPool(PoolOptions{})
	address := s.listener.Addr().String()
	p.SetHosts(3)
	call := &Call{Address: address, MaxConns: 5, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
	first, fail := p.Do(context.Background(), call)
	assert.Assert(t, fail == nil)
	_, fail = p.Do(context.Background(), call)
	assert.Equal(t, fail.Ran, RanNo)
	_, err := io.ReadAll(first)
	assert.NilError(t, err)
	first.Close()
	second, fail := p.Do(context.Background(), call)
	assert.Assert(t, fail == nil)
	second.Close()
	assert.Equal(t, int(s.count.Load()), 1)
}

// TestPoolEarlyAnswer checks that no request is sent within the unsent body of another
// one that the upstream answered early.
func TestPoolEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	body := bytes.Repeat([]byte("b"), 8<<20)
	got := make(chan int, 2)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				n, _ := io.Copy(io.Discard, req.Body)
				got <- int(n)
				if _, err = http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	p := NewPool(PoolOptions{})
	call := &Call{Address: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body}
	reply, fail := p.Do(context.Background(), call)
	assert.Assert(t, fail == nil)
	assert.Equal(t, reply.Status, http.StatusBadRequest)
	_, err = io.ReadAll(reply)
	assert.NilError(t, err)
	reply.Close()
	if n := <-got; n != len(body) {
		// The body was aborted, so the connection must not be reused.
		assert.Equal(t, len(p.idle[call.Address]), 0)
	}
}

// TestAloneCallsKeepLimits guards against calls without a limit that end the limit of connections to their address.
func TestAloneCallsKeepLimits(t *testing.T) {
	answers := []poolAnswer{{Text: "200 OK|Content-Length: 0||"}, {Text: "200 OK|Content-Length: 0||"}}
	s := newPoolServer(t, answers)
	p := NewPool(PoolOptions{})
	address := s.listener.Addr().String()
	for _, call := range []Call{{MaxConns: 5}, {Alone: true}, {Alone: true}} {
		call.Address, call.Method, call.Target, call.Host, call.Header = address, http.MethodGet, "/", "h", http.Header{}
		reply, fail := p.Do(t.Context(), &call)
		assert.Assert(t, fail == nil)
		_, err := io.ReadAll(reply)
		assert.NilError(t, err)
		reply.Close()
	}
	assert.Equal(t, p.maxConns[address], 5)
	assert.Equal(t, int(s.count.Load()), 3, "a call that is alone uses a connection of its own")
	assert.Equal(t, p.open[address], 1)
}
