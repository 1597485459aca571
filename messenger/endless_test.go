// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package messenger

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
)

// maxHandshakeBytes bounds what one handshake allocates.
const maxHandshakeBytes = 1 << 20

// TestEndlessHandshakesAreCutOff guards against an address of a host at which bytes without end answer the handshake and
// fill the memory.
func TestEndlessHandshakesAreCutOff(t *testing.T) {
	text, err := os.ReadFile("testdata/endless.jsonc")
	assert.NilError(t, err)
	var cases []struct{ Name, Start, Again string }
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			lines := strings.NewReplacer("|", "\r\n")
			address, closed := answerWithoutEnd(t, []byte(lines.Replace(c.Start)), bytes.Repeat([]byte(lines.Replace(c.Again)), 1000))
			m := testMessenger(t, "a", func(string, string) {})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			m.Send("b", address, &Message{Echo: true})
			<-closed
			runtime.ReadMemStats(&after)
			t.Logf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
			assert.Assert(t, after.TotalAlloc-before.TotalAlloc < maxHandshakeBytes)
		})
	}
}

// answerWithoutEnd answers each request with start, and again without end. It returns the address, and a channel that gets a
// value when the other side has closed a connection.
func answerWithoutEnd(t *testing.T, start, again []byte) (address string, closed <-chan struct{}) {
	ends := make(chan struct{}, 8)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
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
				for _, err := conn.Write(start); err == nil; _, err = conn.Write(again) {
				}
				ends <- struct{}{}
			}()
		}
	}()
	return l.Addr().String(), ends
}
