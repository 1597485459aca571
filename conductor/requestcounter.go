// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// requestCounter counts the requests of servers from their first bytes until their answers have been written to the
// connection, so that a host does not end while a request is being read or an answer is being written. The zero value
// is ready to use.
type requestCounter struct{ n atomic.Int64 }

// open returns the number of requests.
func (c *requestCounter) open() int64 { return c.n.Load() }

const (
	// lingerTime is how long a caller whose answer has been written must have sent nothing before its connection is closed.
	lingerTime = time.Second
	// maxLinger bounds how long a connection whose answer has been written is read.
	maxLinger = 10 * time.Second
	// lingerBytes is the size of the buffer for what is thrown away.
	lingerBytes = 4096
)

// connection is a connection of a server that counts its request.
type connection struct {
	*net.TCPConn
	requests *requestCounter
	counted  atomic.Bool // counted reports whether it has a request that is counted.
	answered atomic.Bool // answered reports that the request has been processed, and that no other has begun.
	lingers  atomic.Bool // lingers reports that the connection is closed once its caller has closed it.
	old      atomic.Bool // old reports that the caller may take the close of the connection as the end of its answer.
	running  atomic.Bool // running reports that the request is being processed.
	ended    atomic.Bool // ended reports that no request begins any more: it is closed, or the handler has taken it over.
	writing  atomic.Bool // writing reports that a part of the answer is being written.
}

// Read implements net.Conn. Line ends, which some callers send behind a body, begin no request.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if len(bytes.TrimLeft(b[:n], "\r\n")) > 0 {
		c.begin()
	}
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(b []byte) (int, error) {
	c.writing.Store(true)
	defer c.writing.Store(false)
	return c.TCPConn.Write(b)
}

// incomplete reports whether a part of the answer is still to be written.
func (c *connection) incomplete() bool { return c.running.Load() || c.writing.Load() }

// Close implements net.Conn. It does not block. What has been received but not read makes a close reset the connection,
// by which a caller that has sent more than its request loses the part of its answer that is still under way. So the
// rest is read before. An answer that is incomplete ends with a reset if only that tells it from a whole one.
func (c *connection) Close() error {
	if c.incomplete() {
		if c.old.Load() {
			_ = c.SetLinger(0)
		}
		return c.TCPConn.Close()
	}
	if !c.answered.Swap(false) || c.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	c.lingers.Store(true)
	go func() {
		defer c.end()
		defer func() { _ = c.TCPConn.Close() }()
		buf := make([]byte, lingerBytes)
		for end := time.Now().Add(maxLinger); time.Now().Before(end); {
			_ = c.SetReadDeadline(time.Now().Add(lingerTime))
			if _, err := c.TCPConn.Read(buf); err != nil {
				return // the caller has closed the connection, or sent nothing for lingerTime
			}
		}
	}()
	return nil
}

// begin counts a request, unless it is counted.
func (c *connection) begin() {
	if c.ended.Load() || c.counted.Swap(true) {
		return
	}
	c.requests.n.Add(1)
	if c.ended.Load() { // meanwhile
		c.end()
	}
}

// end counts the request as ended.
func (c *connection) end() {
	if c.counted.Swap(false) {
		c.requests.n.Add(-1)
	}
}

// countingListener accepts connections that count their requests.
type countingListener struct {
	net.Listener
	requests *requestCounter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: conn.(*net.TCPConn), requests: l.requests}, nil
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// watch makes a server count its requests. Its listener must be a countingListener.
func (c *requestCounter) watch(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		tracked := conn.(*connection)
		switch state {
		case http.StateIdle:
			tracked.answered.Store(false)
			tracked.end()
		case http.StateHijacked:
			tracked.ended.Store(true)
			tracked.end()
		case http.StateClosed:
			tracked.ended.Store(true)
			if !tracked.lingers.Load() {
				tracked.end()
			}
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connectionKey{}).(*connection)
		if ok {
			conn.begin() // it may have been read with the one before
			conn.old.Store(!r.ProtoAtLeast(1, 1))
			conn.running.Store(true)
			defer conn.running.Store(false)
		}
		next.ServeHTTP(w, r)
		if ok {
			conn.answered.Store(!conn.ended.Load())
		}
	})
}
