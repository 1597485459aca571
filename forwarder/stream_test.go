// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/internal/wire"
)

// streamCase is a stream sent by an upstream and the expected result of reading it.
type streamCase struct {
	Name  string
	Lines []string
	Cut   bool // Cut aborts the body.
	Cause Cause
	Text  string
}

func TestStreams(t *testing.T) {
	text, err := os.ReadFile("testdata/streams.jsonc")
	assert.NilError(t, err)
	var file struct{ Cases []streamCase }
	_, faults := strictjson.Decode(text, &file)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range file.Cases {
		t.Run(c.Name, func(t *testing.T) {
			got, fail := readStream(t, c)
			cause := Cause("")
			if fail != nil {
				cause = fail.Cause
			}
			assert.Equal(t, cause, c.Cause)
			assert.Equal(t, got, c.Text)
		})
	}
}

// textSink collects the text of a stream.
type textSink struct{ text strings.Builder }

func (s *textSink) Event(e Event) error {
	text, ok := UnescapeText(e.Text)
	if !ok {
		return io.ErrUnexpectedEOF
	}
	s.text.WriteString(text)
	return nil
}

func (s *textSink) Flush() error { return nil }

// readStream reads the stream of a case from a test server.
func readStream(t *testing.T, c streamCase) (string, *Failure) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderNonce, r.Header.Get(wire.HeaderNonce))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, l := range c.Lines {
			fmt.Fprintf(w, "data: %s\n\n", l)
		}
		if c.Cut {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}))
	defer up.Close()
	resp, fail := New(Options{}).Open(t.Context(), &Attempt{
		Address: up.Listener.Addr().String(), Method: http.MethodPost, Path: "/", Body: []byte("{}"),
		Nonce: "N-01", FirstToken: time.Minute, Interval: time.Minute,
	})
	assert.Assert(t, fail == nil, "%+v", fail)
	defer resp.Close()
	sink := &textSink{}
	fail = resp.Stream(sink)
	return sink.text.String(), fail
}

// TestScanAgreesWithParse checks scanEvent against parseEvent.
func TestScanAgreesWithParse(t *testing.T) {
	for _, text := range []string{"a", `quo"te`, `back\slash`, "new\nline", "ünïcode", `","text":"x`, `finish_reason":null`} {
		c := wire.Chunk{ID: "N-01", Object: "text_completion", Choices: []wire.Choice{{Text: text}}}
		b, err := json.Marshal(c)
		assert.NilError(t, err)
		full, fail := parseEvent(string(b), "N-01")
		assert.Assert(t, fail == nil)
		if fast, ok := scanEvent(string(b), "N-01"); ok {
			assert.Equal(t, fast.Text, full.Text)
		}
		plain, ok := UnescapeText(full.Text)
		assert.Assert(t, ok)
		assert.Equal(t, plain, text)
	}
}

// repeatedEvent is a body that repeats one event.
type repeatedEvent struct {
	event []byte
	left  int
}

func (e *repeatedEvent) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	e.left--
	return copy(p, e.event), nil
}

func (e *repeatedEvent) Close() error { return nil }

// BenchmarkStream reads one event per iteration.
func BenchmarkStream(b *testing.B) {
	event := []byte("data: {\"id\":\"N-01\",\"object\":\"text_completion\",\"model\":\"gate-small\",\"choices\":[{\"index\":0,\"text\":\"wabc \",\"finish_reason\":null}]}\n\n")
	ctx, cancel := context.WithCancelCause(b.Context())
	defer cancel(nil)
	r := &Response{
		forwarder: New(Options{}),
		attempt:   &Attempt{Nonce: "N-01", Interval: time.Minute},
		ctx:       ctx, cancel: cancel, watchdog: newWatchdog(time.Minute, cancel),
		reply: &Reply{response: &http.Response{Body: &repeatedEvent{event: event, left: b.N}}},
	}
	b.ReportAllocs()
	r.Stream(discard{})
}

type discard struct{}

func (discard) Event(Event) error { return nil }
func (discard) Flush() error      { return nil }
