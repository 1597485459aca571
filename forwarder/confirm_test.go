// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// confirmCase is a case of testdata/confirm.jsonc.
type confirmCase struct {
	Name   string
	Length int    // Length is that of the body of the call.
	First  string // First is written once the header has arrived, with | for line ends.
	Second string // Second is written once the body has arrived; the connection is closed before the body if it is empty.
	Stalls bool   // Stalls leaves the connection open without anything but First.
	Status int    // Status is that of the answer; 0 for a failure.
	Cause  Cause  // Cause is that of the failure.
	Ran    Ran
	Sent   bool // Sent reports whether the body is sent.
}

// confirmTimeout bounds the wait of a call for its confirmation.
const confirmTimeout = 300 * time.Millisecond

// TestLostBeforeConfirmationHasNotRun guards against calls that are said to have run perhaps, although the server ended the
// connection before it asked for the body.
func TestLostBeforeConfirmationHasNotRun(t *testing.T) {
	text, err := os.ReadFile("testdata/confirm.jsonc")
	assert.NilError(t, err)
	var cases []confirmCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, c.run)
	}
}

func (c *confirmCase) run(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	received := make(chan string, 1)
	go func() { received <- c.serve(l) }()
	body := strings.Repeat("b", c.Length)
	reply, fail := NewPool(PoolOptions{DialTimeout: confirmTimeout}).Do(context.Background(), &Call{
		Address: l.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body),
		ID: "1", Accept: func(h http.Header) bool { return h.Get("X-Id") != "other" }, Once: true, Confirmed: true,
	})
	switch {
	case c.Status == 0:
		assert.Assert(t, fail != nil)
		assert.Equal(t, fail.Cause, c.Cause)
		assert.Equal(t, fail.Ran, c.Ran)
	default:
		assert.Assert(t, fail == nil, "%v", fail)
		assert.Equal(t, reply.Status, c.Status)
		_, err = io.Copy(io.Discard, reply)
		assert.NilError(t, err)
		reply.Close()
	}
	got := <-received
	if !c.Sent {
		assert.Equal(t, got, "")
		return
	}
	assert.Equal(t, got, "whole:"+body)
}

// serve serves one connection, and returns the body if it arrived.
func (c *confirmCase) serve(l net.Listener) string {
	conn, err := l.Accept()
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil || req.Header.Get("Expect") != "100-continue" {
		return "no call that waits"
	}
	lines := strings.NewReplacer("|", "\r\n")
	_, _ = lines.WriteString(conn, c.First) // the client may have closed the connection
	if c.Second == "" && c.Status == 0 && !c.Sent && !c.Stalls {
		return ""
	}
	body, err := io.ReadAll(req.Body)
	if err != nil { // the client has closed the connection
		return string(body)
	}
	_, _ = lines.WriteString(conn, c.Second)
	return "whole:" + string(body)
}
