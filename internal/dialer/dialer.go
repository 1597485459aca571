// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package dialer opens the TCP connections of this program, so that all of them
// notice a path that has fallen silent.
//
// A connection whose packets are dropped on the way shows neither a reset nor an
// end: what is written waits in the kernel, what is awaited never comes, and the
// kernel's own bounds are many minutes. New connections may work meanwhile. Each
// connection made here ends with an error when what was sent stays unacknowledged
// for Silence, or when probes of an idle connection do.
//
// # Usage
//
//	d := dialer.New(time.Second)
//	conn, err := d.DialContext(ctx, "tcp4", "10.0.0.2:7100")
//	transport := &http.Transport{DialContext: d.DialContext}
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Silence is how long sent bytes or probes may stay unacknowledged. Three
	// retransmissions fit in, at 200 ms, 600 ms and 1.4 s, so that a link that loses
	// 3 in 100 packets ends one connection in 40,000 pieces sent. Without a bound,
	// hosts whose connections had fallen silent placed requests without knowing of
	// each other's work: 9 in 20 were late.
	Silence = 1500 * time.Millisecond
	// probeAfter is the rest after which the kernel probes a connection, and the
	// pause between probes: the least that the kernel takes.
	probeAfter = time.Second
	probes     = 2
)

// New returns a dialer that gives up connecting after timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: probes},
		Control:         bound,
	}
}

// bound sets the time after which the kernel gives up a silent connection.
func bound(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
