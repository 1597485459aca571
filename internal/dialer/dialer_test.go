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

// TestSilentPathsAreNoticed: the kernel is told to give up connections whose
// packets vanish. Dropping packets needs rights that tests do not have, so what
// the kernel was told is read back.
func TestSilentPathsAreNoticed(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	conn, err := New(time.Second).DialContext(context.Background(), "tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		for _, c := range []struct{ option, want int }{
			{unix.TCP_USER_TIMEOUT, int(Silence.Milliseconds())},
			{unix.TCP_KEEPIDLE, int(probeAfter.Seconds())},
			{unix.TCP_KEEPINTVL, int(probeAfter.Seconds())},
			{unix.TCP_KEEPCNT, probes},
		} {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, c.option)
			assert.NilError(t, err)
			assert.Equal(t, got, c.want)
		}
	}))
}
