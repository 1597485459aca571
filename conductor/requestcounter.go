// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// requestCounter counts the requests of servers from the end of their headers until their answers have been written to
// the connection, so that a host does not end while a body is being read or an answer is being written. The zero value
// is ready to use.
type requestCounter struct{ n atomic.Int64 }

// open returns the number of requests.
func (c *requestCounter) open() int64 { return c.n.Load() }

// connection is a connection of a server that counts its request.
type connection struct {
	*net.TCPConn
	counted atomic.Bool // counted reports whether it has a request that is counted.
}

// countingListener accepts connections that count their requests.
type countingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: conn.(*net.TCPConn)}, nil
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// watch makes a server count its requests. Its listener must be a countingListener.
func (c *requestCounter) watch(s *http.Server) {
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateIdle, http.StateClosed, http.StateHijacked:
			if conn.(*connection).counted.Swap(false) {
				c.n.Add(-1)
			}
		}
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(*connection); ok && !conn.counted.Swap(true) {
			c.n.Add(1)
		}
		next.ServeHTTP(w, r)
	})
}
