// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package verifier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTransportReturnsOnlyAnswers guards against clients of package http that take what is no answer for one.
func TestTransportReturnsOnlyAnswers(t *testing.T) {
	for text, want := range map[string]error{
		"HTTP/1.1 200 OK|Content-Length: 2||ok":           nil,
		"HTTP/1.1 000 None|Content-Length: 2||ok":         ErrStatus,
		"HTTP/1.1 600 High|Content-Length: 2||ok":         ErrStatus,
		"HTTP/1.1 200 OK|Content-Length : 2||ok and more": ErrName,
		"HTTP/1.1 200 OK|X Id: 1|Content-Length: 2||ok":   ErrName,
		"HTTP/1.1 101 Switching|Upgrade: x||":             ErrSwitching,
		"HTTP/1.9 200 OK|Content-Length: 2||ok":           ErrVersion,
	} {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
				_, _ = io.WriteString(server, strings.ReplaceAll(text, "|", "\r\n"))
			}
		}()
		c := http.Client{Transport: Transport{&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return client, nil }}}}
		resp, err := c.Get("http://server/")
		if err == nil {
			_ = resp.Body.Close()
		}
		assert.Equal(t, err == nil, want == nil, "%s: %v", text, err)
		if want != nil {
			assert.ErrorIs(t, err, want, "%s", text)
		}
	}
}
