// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"amaranthgate.example/amaranthgate/reserver"
)

// requestCounter counts the requests of servers from their first bytes until their answers have been written to the
// connection, so that a host does not end while a request is being read or an answer is being written. The zero value
// is ready to use.
type requestCounter struct {
	arriving  atomic.Int64 // arriving counts requests whose header is being read.
	running   atomic.Int64 // running counts those that are processed, or whose body is read or answer written.
	lingering atomic.Int64 // lingering counts connections that are read until their callers have closed them.
	refusing  atomic.Bool  // refusing reports that requests that begin are not counted, as the host refuses them.
}

// open returns the number of requests. Requests only move on to phases that are read later.
func (c *requestCounter) open() int64 {
	return c.arriving.Load() + c.running.Load() + c.lingering.Load()
}

// counter returns the counter of a phase; nil for phaseNone.
func (c *requestCounter) counter(p phase) *atomic.Int64 {
	switch p {
	case phaseArriving:
		return &c.arriving
	case phaseRunning:
		return &c.running
	case phaseLingering:
		return &c.lingering
	}
	return nil
}

// phase is what a connection is counted as.
type phase string

// Values of phase.
const (
	phaseNone      phase = ""
	phaseArriving  phase = "Arriving"
	phaseRunning   phase = "Running"
	phaseLingering phase = "Lingering"
)

const (
	// lingerTime is how long a caller whose answer has been written must have sent nothing before its connection is closed.
	lingerTime = time.Second
	// maxLinger and maxLingerBytes bound for how long a connection whose answer has been written is read, and how much.
	maxLinger      = 10 * time.Second
	maxLingerBytes = 16 << 20
	// unreadBytes is the part of an answer that a caller must read in the time for unread answers.
	unreadBytes = 32 << 10
	// lingerBufferBytes is the size of the buffer for what is thrown away.
	lingerBufferBytes = 4096
)

// connection is a connection of a server that counts its request and reserves what it holds.
type connection struct {
	*net.TCPConn
	requests *requestCounter
	claim    *reserver.Claim // claim is nil if nothing bounds what the connection holds.
	unread   time.Duration   // unread is how long unreadBytes of an answer may stay unread; 0 for no limit.
	writing  atomic.Bool     // writing reports that a part of the answer is being written.
	stalled  atomic.Bool     // stalled reports that the request lost its memory to another one.
	refused  atomic.Bool     // refused reports that a part of a head was thrown away, so that nothing more is read.

	mu         sync.Mutex
	phase      phase
	ended      bool // ended reports that no request begins any more: it is closed, or the handler has taken it over.
	answered   bool // answered reports that the request has been processed, and that no other has begun.
	processing bool // processing reports that the request is being processed.
	http10     bool // http10 reports a request of HTTP/1.0, whose answer may end with the close of the connection.
	head       headMeter
}

// Read implements net.Conn. Line ends, which some callers send behind a body, begin no request. A caller for whose head there is
// no memory is refused.
func (c *connection) Read(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, os.ErrDeadlineExceeded // what follows would be taken for the rest of what has been thrown away
	}
	n, err := c.TCPConn.Read(b)
	if len(bytes.TrimLeft(b[:n], "\r\n")) > 0 {
		c.begin(phaseArriving)
	}
	if !c.reserveHead(b[:n]) {
		return 0, c.refuse()
	}
	return n, err
}

// Write implements net.Conn. The refusal of a head is the only answer to it.
func (c *connection) Write(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	c.writing.Store(true)
	defer c.writing.Store(false)
	if c.unread == 0 {
		return c.TCPConn.Write(b)
	}
	written := 0
	for written < len(b) {
		if err := c.SetWriteDeadline(time.Now().Add(c.unread)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(b[written:min(len(b), written+unreadBytes)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements net.Conn. It does not block. What has been received but not read makes a close reset the connection,
// by which a caller that has sent more than its request loses the part of its answer that is still under way. So the
// rest is read before. An answer that is incomplete ends with a reset if only that tells it from a whole one.
func (c *connection) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processing || c.writing.Load() {
		if c.http10 {
			_ = c.SetLinger(0)
		}
		c.release()
		return c.TCPConn.Close()
	}
	answered := c.answered
	c.answered = false
	if !answered || c.CloseWrite() != nil {
		c.release()
		return c.TCPConn.Close()
	}
	c.lingers()
	if c.phase != phaseNone {
		c.setPhase(phaseLingering)
		time.AfterFunc(lingerTime, func() { c.end(false) })
	}
	go c.linger()
	return nil
}

// linger reads what the caller still sends, and closes the connection.
func (c *connection) linger() {
	defer c.end(false)
	defer c.release()
	defer func() { _ = c.TCPConn.Close() }()
	buf, length := make([]byte, lingerBufferBytes), 0
	for last := time.Now().Add(maxLinger); length < maxLingerBytes && time.Now().Before(last); {
		_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
		n, err := c.TCPConn.Read(buf)
		if err != nil {
			return // the caller has closed the connection, or sent nothing for lingerTime
		}
		length += n
	}
}

// begin counts a request as being in a phase from now on.
func (c *connection) begin(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.processing {
		p = phaseRunning
	}
	switch {
	case c.ended:
	case c.phase == phaseArriving:
		c.setPhase(p)
	case c.phase == phaseNone:
		c.setPhase(p)
		if c.requests.refusing.Load() { // read after the request is counted: it is seen to be in progress, or is refused
			c.setPhase(phaseNone)
		}
	}
}

// end counts the request as ended. No other begins on the connection if last is set.
func (c *connection) end(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || last
	c.setPhase(phaseNone)
}

// setPhase changes the phase; c.mu is held.
func (c *connection) setPhase(p phase) {
	if n := c.requests.counter(p); n != nil {
		n.Add(1)
	}
	if n := c.requests.counter(c.phase); n != nil {
		n.Add(-1)
	}
	c.phase = p
}

// process notes that a request is processed from now on, until the returned function is called.
func (c *connection) process(r *http.Request) func() {
	c.setProcessing(true, !r.ProtoAtLeast(1, 1))
	c.headRead(r)
	c.begin(phaseRunning)
	return func() { c.setProcessing(false, !r.ProtoAtLeast(1, 1)) }
}

// setProcessing notes whether a request is being processed.
func (c *connection) setProcessing(processing, http10 bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processing, c.http10 = processing, http10
}

// changed notes a change of the server's state of the connection.
func (c *connection) changed(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.setAnswered(false)
		c.end(false)
		c.rests()
	case http.StateHijacked:
		c.end(true)
		c.release()
	case http.StateClosed:
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ended = true; c.phase != phaseLingering {
			c.setPhase(phaseNone)
		}
	}
}

// setAnswered notes whether the last request has been processed.
func (c *connection) setAnswered(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = answered && !c.ended
}

// countingListener accepts connections that count their requests, and closes those for which there is no room.
type countingListener struct {
	net.Listener
	requests *requestCounter
	budget   *reserver.Budget // budget is nil if nothing bounds the connections.
	unread   time.Duration    // unread is that of the connections.
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{TCPConn: conn.(*net.TCPConn), requests: l.requests, unread: l.unread}
		if l.budget == nil || c.open(l.budget) {
			return c, nil
		}
		_ = conn.Close()
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// watch makes a server count its requests. Its listener must be a countingListener.
func (c *requestCounter) watch(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) { conn.(*connection).changed(state) }
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		defer conn.process(r)()
		next.ServeHTTP(w, r)
		conn.setAnswered(true)
	})
}
