// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"amaranthgate.example/amaranthgate/timer"
)

// Bounds of what is read on a connection before the body of an answer. An upstream in trouble may send bytes
// without end, and a host has little memory. Sound upstreams pause for up to 2 s.
const (
	// maxHeadBytes bounds a status line with its header, and the interim answers before it.
	maxHeadBytes = 64 << 10
	// maxInterimAnswers bounds those answers.
	maxInterimAnswers = 16
	// maxForeignBytes bounds the body of an answer to another request.
	maxForeignBytes = 1 << 20
	// arrivalTime bounds the time in which either arrives from its first byte on, if it does in more than minArrivals
	// parts: a host that was suspended meanwhile finds few.
	arrivalTime = 5 * time.Second
	minArrivals = 16
)

// Errors of answers that exceed the bounds.
var (
	errTooLong = errors.New("forwarder: what came before the body of an answer was too long")
	errInterim = errors.New("forwarder: received only interim answers")
	errTooSlow = errors.New("forwarder: what came before the body of an answer took too long to arrive")
)

// boundedReader reads from a connection within bounds that are set for one part of what arrives at a time.
type boundedReader struct {
	conn  net.Conn
	timer timer.System

	bounded  bool
	left     int       // left is the number of bytes that may still arrive while bounded is set.
	first    time.Time // first is when the first of them arrived; zero before.
	arrivals int       // arrivals is the number of parts in which they arrived.
	exceeded error     // exceeded is one of the errors above once a bound has been exceeded.
}

// bound sets the number of bytes that may arrive from now on, beyond those that are buffered.
func (r *boundedReader) bound(bytes int) {
	r.bounded, r.left, r.first, r.arrivals = true, bytes, time.Time{}, 0
}

// unbound ends the bounds.
func (r *boundedReader) unbound() { r.bounded = false }

// Read reads from the connection.
func (r *boundedReader) Read(b []byte) (int, error) {
	if !r.bounded {
		return r.conn.Read(b)
	}
	if r.left == 0 {
		r.exceeded = errTooLong
		return 0, r.exceeded
	}
	n, err := r.conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	r.arrivals++
	now := r.timer.Now()
	if r.first.IsZero() {
		r.first = now
	}
	if r.arrivals > minArrivals && now.Sub(r.first) > arrivalTime {
		r.exceeded = errTooSlow
		return 0, r.exceeded
	}
	return n, err
}
