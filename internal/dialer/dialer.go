// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package dialer opens TCP connections that detect a dead network path.
//
// When the network drops all packets of a connection, neither side sees an error
// until the kernel's default timeouts of many minutes. Connections made here fail
// when sent data or keep-alive probes stay unacknowledged, or the peer's receive
// window stays closed, for Options.UserTimeout. The kernel counts no probes then:
// Linux ignores the number of keep-alive probes if TCP_USER_TIMEOUT is set.
//
// # Usage
//
//	d := dialer.New(dialer.Options{Timeout: time.Second})
//	conn, err := d.DialContext(ctx, "tcp4", "10.0.0.2:7100")
//	transport := &http.Transport{DialContext: d.DialContext}
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is the default of Options.UserTimeout. It allows three retransmissions, so
// that moderate packet loss ends few connections.
const UserTimeout = 1500 * time.Millisecond

const (
	// probeInterval is the idle time before the first keep-alive probe and between
	// probes. The kernel accepts no less than a second.
	probeInterval = time.Second
	probeCount    = 2 // probeCount applies on systems without TCP_USER_TIMEOUT.
)

// Options configure a dialer.
type Options struct {
	Timeout time.Duration // Timeout limits connection attempts; 0 for no limit.
	// UserTimeout limits how long sent data or probes may stay unacknowledged; default UserTimeout. A
	// connection on which a broken request cannot be repeated needs one longer than the pauses of a sound peer.
	UserTimeout time.Duration
	Source      net.IP // Source is the IP address of connections; nil means that the system selects one.
}

// New returns a dialer.
func New(opts Options) *net.Dialer {
	if opts.UserTimeout == 0 {
		opts.UserTimeout = UserTimeout
	}
	d := &net.Dialer{
		Timeout:         opts.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return setUserTimeout(c, opts.UserTimeout)
		},
	}
	if opts.Source != nil {
		d.LocalAddr = &net.TCPAddr{IP: opts.Source}
	}
	return d
}

// setUserTimeout sets TCP_USER_TIMEOUT on a connection.
func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
