// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package messenger

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/freeport"
)

// TestHostThatConnectsIsDialledAtOnce guards against changes that wait for a backoff after a cut has ended.
func TestHostThatConnectsIsDialledAtOnce(t *testing.T) {
	addresses, err := freeport.Addresses(2)
	assert.NilError(t, err)
	connected := make(chan string, 8)
	a := testMessenger(t, "a", func(host, _ string) { connected <- host })
	serve(t, a, addresses[0])
	a.Send("b", addresses[1], &Message{Echo: true}) // nobody listens there yet; the next attempt is in an hour
	waitUntil(t, func() bool { return a.Traffic().Dropped > 0 })
	b := testMessenger(t, "b", func(string, string) {})
	serve(t, b, addresses[1])
	b.Send("a", addresses[0], &Message{Echo: true})
	select {
	case host := <-connected:
		assert.Equal(t, host, "b")
	case <-time.After(time.Minute):
		t.Fatal("the host was not dialled")
	}
}

// TestFlushedMessagesArrive guards against messages that a host has queued and does not send as it ends.
func TestFlushedMessagesArrive(t *testing.T) {
	const messages = 200
	address, err := freeport.Addresses(1)
	assert.NilError(t, err)
	var received atomic.Int64
	b := New(Options{Self: Hello{Host: "b", Incarnation: 1}, Secret: []byte("secret"), Receive: func(string, *Message) { received.Add(1) },
		OnConnect: func(string, string) {}, Log: zerolog.Nop()})
	t.Cleanup(b.Close)
	serve(t, b, address[0])
	a := testMessenger(t, "a", func(string, string) {})
	for range messages {
		a.Send("b", address[0], &Message{Echo: true})
	}
	a.Flush(t.Context())
	a.Close()
	waitUntil(t, func() bool { return received.Load() == messages })
}

// testMessenger returns a messenger that waits for an hour after a failed attempt to dial.
func testMessenger(t *testing.T, name string, onConnect func(host, address string)) *Messenger {
	m := New(Options{Self: Hello{Host: name, Incarnation: 1}, Secret: []byte("secret"), Receive: func(string, *Message) {},
		OnConnect: onConnect, Log: zerolog.Nop(), InitialBackoff: time.Hour, MaxBackoff: time.Hour})
	t.Cleanup(m.Close)
	return m
}

// serve accepts connections of other hosts at an address.
func serve(t *testing.T, m *Messenger, address string) {
	l, err := net.Listen("tcp4", address)
	assert.NilError(t, err)
	server := &http.Server{Handler: m.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "it never held")
	}
}
