// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/duration"
	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// endlessCase is a case in testdata/endless.jsonc.
type endlessCase struct {
	Name  string
	Start string // Start is sent once, with | for line ends.
	Again string // Again is sent without end.
	Pause duration.Duration
	Cause Cause
}

// endlessTime bounds a call of which nothing else ends the answer.
const endlessTime = 20 * time.Second

// maxEndlessBytes bounds what a call allocates.
const maxEndlessBytes = 1 << 20

// TestEndlessAnswersAreCutOff guards against bytes without end before the body of an answer that fill the host's memory,
// or that are read until the caller's deadline.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	text, err := os.ReadFile("testdata/endless.jsonc")
	assert.NilError(t, err)
	var cases []endlessCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.play(t) })
	}
}

func (c *endlessCase) play(t *testing.T) {
	if c.Pause > 0 {
		t.Parallel()
	}
	address, sent := c.serve(t)
	p := NewPool(PoolOptions{})
	ctx, cancel := context.WithTimeout(t.Context(), endlessTime)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, fail := p.Do(ctx, &Call{
		Address: address, Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, ID: "a",
		Accept: func(h http.Header) bool { return h.Get("X-Id") == "a" },
	})
	runtime.ReadMemStats(&after)
	assert.Assert(t, fail != nil)
	t.Logf("%s after %d bytes sent, %d allocated: %s", fail.Cause, sent.Load(), after.TotalAlloc-before.TotalAlloc, fail.Detail)
	assert.Equal(t, fail.Cause, c.Cause)
	assert.Equal(t, fail.Ran, RanUnknown)
	assert.NilError(t, ctx.Err())
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxEndlessBytes)
	assert.Equal(t, len(p.open), 0, "the connection is kept")
}

// serve sends the bytes of the case on each connection until that is closed, and returns the address and the number of
// bytes sent.
func (c *endlessCase) serve(t *testing.T) (string, *atomic.Int64) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	sent := &atomic.Int64{}
	start, again := []byte(strings.ReplaceAll(c.Start, "|", "\r\n")), []byte(strings.ReplaceAll(c.Again, "|", "\r\n"))
	if c.Pause == 0 {
		again = bytes.Repeat(again, 1+(16<<10)/len(again))
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, err := conn.Write(start)
				for err == nil {
					var n int
					n, err = conn.Write(again)
					sent.Add(int64(n))
					time.Sleep(c.Pause.Std())
				}
			}()
		}
	}()
	return l.Addr().String(), sent
}
