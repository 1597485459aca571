// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestResetBesideUploadIsNoEnd guards against a body without a length that is reset and delivered as whole, as the goroutine that
// writes the request gets the error.
func TestResetBesideUploadIsNoEnd(t *testing.T) {
	const plays = 30
	for name, upload := range map[string]int{"small": 1, "medium": 300 << 10, "large": 8 << 20} {
		t.Run(name, func(t *testing.T) {
			whole := 0
			for range plays {
				if resetBeside(t, upload) == nil {
					whole++
				}
			}
			assert.Equal(t, whole, 0, "of %d", plays)
		})
	}
}

// resetBeside sends a request to an upstream that answers at once without a length, and resets the connection while the body is
// being written. It returns the error at the end of the answer.
func resetBeside(t *testing.T, upload int) error {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	begun := make(chan struct{})
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("part of the body ", 100))
		<-begun // so that a part of the answer has been read
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	p := NewPool(PoolOptions{})
	reply, fail := p.Do(t.Context(), &Call{Address: l.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("x"), upload)})
	assert.Assert(t, fail == nil, "%+v", fail)
	defer reply.Close()
	close(begun)
	_, err = io.ReadAll(reply)
	return err
}

// TestOrderlyEndBesideUploadIsWhole guards against an answer that is taken for broken off since the upstream does not read the whole
// request.
func TestOrderlyEndBesideUploadIsWhole(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	held := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		held <- conn
	}()
	p := NewPool(PoolOptions{})
	reply, fail := p.Do(t.Context(), &Call{Address: l.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20)})
	assert.Assert(t, fail == nil, "%+v", fail)
	body, err := io.ReadAll(reply)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	reply.Close()
	_ = (<-held).Close()
}
