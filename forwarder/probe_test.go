// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestRefuses checks that a closed address refuses, and that the connection of a probe
// is reused by the next call.
func TestRefuses(t *testing.T) {
	p := NewPool(PoolOptions{})
	s := newPoolServer(t, []poolAnswer{{Text: "200 OK|Content-Length: 0||"}})
	address := s.listener.Addr().String()
	assert.Assert(t, !p.Refuses(address))
	reply, fail := p.Do(t.Context(), &Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	assert.Assert(t, fail == nil)
	reply.Close()
	assert.Equal(t, int(s.count.Load()), 1)

	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address = closed.Addr().String()
	assert.NilError(t, closed.Close())
	assert.Assert(t, p.Refuses(address))
}

// TestTerminated checks that an open idle connection makes a probe unnecessary, and that the
// address is probed once the connection is closed.
func TestTerminated(t *testing.T) {
	p := NewPool(PoolOptions{})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.Assert(t, !p.Terminated(address)) // opens a connection
	assert.Assert(t, !p.Terminated(address))
	assert.Equal(t, p.Opened.Load(), uint64(1))
	conn, err := l.Accept()
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	assert.Assert(t, !p.Terminated(address))
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.Terminated(address) {
			return poll.Success()
		}
		return poll.Continue("the close has not arrived")
	})
}
