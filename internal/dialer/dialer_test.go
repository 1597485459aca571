// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package dialer

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestSilentPathsAreNoticed checks the socket options that make the kernel end a
// dead connection. Tests lack the privileges to drop packets.
func TestSilentPathsAreNoticed(t *testing.T) {
	checkTimeout(t, Options{Timeout: time.Second}, UserTimeout)
	checkTimeout(t, Options{UserTimeout: 4 * time.Second}, 4*time.Second)
}

func checkTimeout(t *testing.T, opts Options, want time.Duration) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	conn, err := New(opts).DialContext(context.Background(), "tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		for _, c := range []struct{ option, want int }{
			{unix.TCP_USER_TIMEOUT, int(want.Milliseconds())},
			{unix.TCP_KEEPIDLE, int(probeInterval.Seconds())},
			{unix.TCP_KEEPINTVL, int(probeInterval.Seconds())},
			{unix.TCP_KEEPCNT, probeCount},
		} {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, c.option)
			assert.NilError(t, err)
			assert.Equal(t, got, c.want)
		}
	}))
}

func TestSource(t *testing.T) {
	source := net.IPv4(127, 0, 0, 2)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	conn, err := New(Options{Source: source}).DialContext(context.Background(), "tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	accepted, err := l.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	assert.Assert(t, accepted.RemoteAddr().(*net.TCPAddr).IP.Equal(source))
}
