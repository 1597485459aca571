// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRefuses: a process that has ended refuses; one that is there is asked once, and the
// connection serves the next call.
func TestRefuses(t *testing.T) {
	p := NewPool(PoolOptions{})
	s := newPoolServer(t, []poolAnswer{{Text: "200 OK|Content-Length: 0||"}})
	address := s.listener.Addr().String()
	assert.Assert(t, !p.Refuses(address))
	reply, fail := p.Do(t.Context(), &Call{Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	assert.Assert(t, fail == nil)
	reply.Close()
	assert.Equal(t, int(s.count.Load()), 1)

	gone, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address = gone.Addr().String()
	assert.NilError(t, gone.Close())
	assert.Assert(t, p.Refuses(address))
}
