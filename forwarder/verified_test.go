// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// TestOddAnswersAreNone guards against a caller that gets what is no answer, or the bytes that follow it, as an answer.
func TestOddAnswersAreNone(t *testing.T) {
	text, err := os.ReadFile("testdata/odd.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name   string
		Text   string // Text is what the upstream sends; | stands for the end of a line.
		Answer bool   // Answer reports that it is an answer.
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		for _, confirmed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/confirmed=%t", c.Name, confirmed), func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				assert.NilError(t, err)
				defer func() { _ = l.Close() }()
				go answerRaw(l, strings.ReplaceAll(c.Text, "|", "\r\n"))
				p := NewPool(PoolOptions{})
				reply, fail := p.Do(t.Context(), &Call{Address: l.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"), Confirmed: confirmed})
				if fail == nil {
					defer reply.Close()
					_, err = io.ReadAll(reply)
				}
				assert.Equal(t, fail == nil && err == nil, c.Answer, "%+v %v", fail, err)
				if c.Answer || fail == nil {
					return
				}
				assert.Assert(t, fail.Ran == RanUnknown || confirmed && fail.Ran == RanNo, "%+v", fail)
				assert.Equal(t, len(p.idle[l.Addr().String()]), 0)
			})
		}
	}
}

// answerRaw reads a request on one connection, sends a text and closes it.
func answerRaw(l net.Listener, text string) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if req.Header.Get("Expect") == "" {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(conn, text)
}
