// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package dialer opens TCP connections that detect a dead network path early.
//
// When the network drops all packets of a connection, neither side sees an error
// until the kernel's default timeouts of many minutes. Connections made here fail
// when sent data or keep-alive probes stay unacknowledged for UserTimeout.
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
	// UserTimeout limits how long sent data or probes may stay unacknowledged. It
	// allows three retransmissions, so that moderate packet loss ends few connections.
	UserTimeout = 1500 * time.Millisecond
	// probeInterval is the idle time before the first keep-alive probe and between
	// probes. The kernel accepts no less than a second.
	probeInterval = time.Second
	probeCount    = 2
)

// New returns a dialer whose connection attempts fail after timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a connection.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
