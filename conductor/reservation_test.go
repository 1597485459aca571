// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/reserver"
)

// serveWithin starts a server whose connections reserve from a budget, and returns its address.
func serveWithin(t *testing.T, b *reserver.Budget, h http.HandlerFunc) string {
	t.Helper()
	return serveOn(t, countingListener{budget: b}, h)
}

// serveOn is serveWithin with the options of a listener.
func serveOn(t *testing.T, options countingListener, h http.HandlerFunc) string {
	t.Helper()
	requests := &requestCounter{}
	server := &http.Server{Handler: h}
	requests.watch(server)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	options.Listener, options.requests = l, requests
	go func() { _ = server.Serve(options) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// TestRefusedHeadIsNotReadOn guards against a request that is made of what follows the part of a head that was thrown away, and
// against a second answer to it.
func TestRefusedHeadIsNotReadOn(t *testing.T) {
	b := reserver.New(reserver.Options{Bytes: 100_000})
	address := serveWithin(t, b, func(_ http.ResponseWriter, r *http.Request) { t.Errorf("a request was read: %v", r.Header) })
	for _, end := range []string{"", "a line that has not arrived who"} {
		conn, err := net.Dial("tcp4", address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		for _, part := range []string{
			"POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: 1\r\n", 10) + end,
			strings.Repeat("a: 1\r\n", 600),
			"b: 1\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		} {
			_, err = io.WriteString(conn, part)
			assert.NilError(t, err)
			time.Sleep(20 * time.Millisecond) // so that the parts are read one by one
		}
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		answer, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, string(answer), refusalText)
	}
}

// TestStalledBodyIsRefusedOnce guards against a second answer to a request that lost its memory, as the server reads the rest of the
// body after its handler.
func TestStalledBodyIsRefusedOnce(t *testing.T) {
	b := reserver.New(reserver.Options{Bytes: 50_000})
	address := serveWithin(t, b, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err != nil)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	conn, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n0123456789")
	assert.NilError(t, err)
	eventually := func(what string, holds func() bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if holds() {
				return poll.Success()
			}
			return poll.Continue("%s", what)
		}, poll.WithTimeout(30*time.Second), poll.WithDelay(reserver.MinStall/4))
	}
	eventually("the body is read", func() bool { return b.Stats().Connections[reserver.PhaseBody] == 1 })
	other := b.Open(time.Now(), func(reserver.Eviction) {})
	eventually("the body has stalled", func() bool { return other.Grow(time.Now(), 49_000) })
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(answer), "HTTP/1.1"), 1, "%s", answer)
}

// TestUnreadAnswerEnds guards against an answer that a caller never reads and that a host holds for good, and against one that is cut
// since it is read slowly.
func TestUnreadAnswerEnds(t *testing.T) {
	const length = 16 << 20
	ended := make(chan error, 2)
	address := serveOn(t, countingListener{unread: 2 * time.Second}, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, length))
		ended <- err
	})
	ask := func() net.Conn {
		conn, err := net.Dial("tcp4", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		return conn
	}
	ask()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(30 * time.Second):
		t.Fatal("the answer is still held")
	}
	slow, read := ask(), int64(0)
	for {
		n, err := io.CopyN(io.Discard, slow, 1<<20)
		read += n
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		time.Sleep(150 * time.Millisecond)
	}
	assert.NilError(t, <-ended)
	assert.Assert(t, read > length, "%d", read)
}

// TestHeadCosts checks what parts of heads take.
func TestHeadCosts(t *testing.T) {
	text, err := os.ReadFile("testdata/headcosts.jsonc")
	assert.NilError(t, err)
	var cases []struct {
		Name         string
		Parts        []string
		Bytes, Lines int64
	}
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var m headMeter
			cost := int64(0)
			for _, part := range c.Parts {
				cost += m.cost([]byte(strings.ReplaceAll(part, "|", "\r\n")))
			}
			assert.Equal(t, cost, c.Bytes*headByteCost+c.Lines*headLineCost)
		})
	}
}

// TestLargestBodyFindsRoom guards against a body that is within the limits and refused for want of room in calm.
func TestLargestBodyFindsRoom(t *testing.T) {
	for _, memory := range []int{16, 88, 134, 536} {
		b := newBudgets(loader.Limits{MemoryMB: memory, Descriptors: 4100})[listenerCallers]
		c := b.Open(time.Now(), func(reserver.Eviction) {})
		for size := int64(4 << 10); ; size *= bufferFactor {
			assert.Assert(t, c.Grow(time.Now(), size), "%d MB, %d bytes", memory, size)
			if size >= largestBody(b)/bufferFactor {
				break
			}
		}
	}
}

// TestSharesLeaveRoomForTheHost guards against listeners whose connections together take what the host needs itself.
func TestSharesLeaveRoomForTheHost(t *testing.T) {
	const rounding = 1e-9 // rounding is that of sums in any order
	var sum share
	for _, s := range shares {
		sum.bytes += s.bytes
		sum.connections += s.connections
		sum.open += s.open
	}
	assert.Assert(t, sum.bytes+sum.open < collectorShare && sum.connections <= 0.75+rounding, "%+v", sum)
	for name, b := range newBudgets(loader.Limits{MemoryMB: 160, Descriptors: 4100}) {
		conns := 0
		for b.Open(time.Now(), func(reserver.Eviction) {}) != nil && b.Stats().Evicted[reserver.EvictedConnections] == 0 {
			conns++
		}
		if name == listenerPeers {
			assert.Assert(t, conns >= 984, "%d", conns) // as many other hosts as in the largest fleet may connect at once
		}
		assert.Assert(t, conns > 20, "%s", name)
	}
}
