// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
)

// BenchmarkPool measures requests in a row on kept connections, and the connections that they open.
func BenchmarkPool(b *testing.B) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for in := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
						return
					}
				}
			}()
		}
	}()
	p := NewPool(PoolOptions{})
	for i := 0; b.Loop(); i++ {
		reply, fail := p.Do(context.Background(), &Call{
			Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Once: true, ID: strconv.Itoa(i),
		})
		if fail != nil {
			b.Fatal(fail.Detail)
		}
		_, _ = io.Copy(io.Discard, reply)
		reply.Close()
	}
	b.ReportMetric(float64(p.Opened.Load())/float64(b.N), "conns/op")
}
