// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"amaranthgate.example/amaranthgate/reserver"
)

const (
	// headByteCost and headLineCost are what a byte and a line of a head take until its request has ended, in bytes: as they
	// arrive, decoded, and as they are sent on.
	headByteCost = 8
	headLineCost = 384
)

// refusalText is the answer to a caller for whose head there is no memory.
var refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " +
	strconv.FormatFloat(reserver.MinStall.Seconds(), 'f', 3, 64) + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// headMeter counts the bytes and lines of the head of a request. The zero value is ready to use.
type headMeter struct {
	line  int  // line is the length of the line that is being read, without its end.
	begun bool // begun reports that a line that is not empty has been read.
	whole bool // whole reports that the empty line after the head has been read.
}

// cost returns what the part of the head in b takes; what follows the head takes nothing.
func (m *headMeter) cost(b []byte) (cost int64) {
	for len(b) > 0 && !m.whole {
		part, rest, ended := bytes.Cut(b, []byte{'\n'})
		m.line += len(bytes.TrimSuffix(part, []byte{'\r'}))
		cost += int64(len(b)-len(rest)) * headByteCost
		if ended {
			cost += headLineCost
			m.whole = m.begun && m.line == 0
			m.begun = m.begun || m.line > 0
			m.line = 0
		}
		b = rest
	}
	return cost
}

// open opens the claim of a connection, and reports whether there is room for it.
func (c *connection) open(b *reserver.Budget) bool {
	c.claim = b.Open(time.Now(), func(e reserver.Eviction) {
		if e != reserver.EvictedStalled {
			_ = c.TCPConn.Close()
			return
		}
		c.stalled.Store(true)
		_ = c.TCPConn.SetReadDeadline(past)
	})
	return c.claim != nil
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// SetReadDeadline implements net.Conn. Reads of a request that lost its memory fail at once.
func (c *connection) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if c.stalled.Load() { // read after the deadline is set, as it may be set at the same time
		return c.TCPConn.SetReadDeadline(past)
	}
	return err
}

// reserveHead reserves memory for a part of a head, and reports whether there is room. A body that is read by the handler of a
// request is reserved there, and what the server reads of it after the handler is thrown away.
func (c *connection) reserveHead(b []byte) bool {
	if c.claim == nil {
		return true
	}
	c.mu.Lock()
	inHead, cost := !c.processing && !c.answered, int64(0)
	if inHead {
		cost = c.head.cost(b)
	}
	c.mu.Unlock()
	if !inHead {
		return true
	}
	now := time.Now()
	if len(b) > 0 {
		c.claim.Begin(now)
		c.claim.Arrived(now, len(b))
	}
	return cost == 0 && !c.claim.Evicted() || cost > 0 && c.claim.Grow(now, cost)
}

// refuse answers a caller whose head is not read to its end, and returns the error of the read.
func (c *connection) refuse() error {
	c.refused.Store(true)
	if !c.claim.Evicted() || c.stalled.Load() {
		_, _ = io.WriteString(c.TCPConn, refusalText) // a caller that has left reads nothing
		c.setAnswered(true)
	}
	return os.ErrDeadlineExceeded
}

// headRead notes that the head of a request has been read.
func (c *connection) headRead(r *http.Request) {
	if c.claim == nil {
		return
	}
	if r.ContentLength == 0 {
		c.claim.Run()
	} else {
		c.claim.ReadBody(time.Now())
	}
}

// rests notes that the last request has been answered.
func (c *connection) rests() {
	if c.claim == nil {
		return
	}
	c.mu.Lock()
	c.head = headMeter{}
	c.mu.Unlock()
	c.claim.Rest(time.Now())
}

// lingers notes that the connection is only read until its caller closes it.
func (c *connection) lingers() {
	if c.claim != nil {
		c.claim.Linger(time.Now())
	}
}

// release gives back all that the connection holds.
func (c *connection) release() {
	if c.claim != nil {
		c.claim.Close()
	}
}

// Reservation is the memory that a request reserves as its body arrives. The zero value has no bound.
type Reservation struct{ claim *reserver.Claim }

// Reservation returns that of a request with the given context.
func (h *Host) Reservation(ctx context.Context) Reservation {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		return Reservation{c.claim}
	}
	return Reservation{}
}

// Grow reserves bytes, and reports false if there is no room: the request is to be refused.
func (r Reservation) Grow(bytes int64) bool { return r.claim == nil || r.claim.Grow(time.Now(), bytes) }

// Arrived notes that bytes of the body have arrived.
func (r Reservation) Arrived(bytes int) {
	if r.claim != nil {
		r.claim.Arrived(time.Now(), bytes)
	}
}

// Run notes that the whole body has arrived: its request loses its memory to no other from now on.
func (r Reservation) Run() {
	if r.claim != nil {
		r.claim.Run()
	}
}

// Evicted reports whether the request lost its memory to another one as its body stalled.
func (r Reservation) Evicted() bool { return r.claim != nil && r.claim.Evicted() }
