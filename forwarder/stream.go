// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forwarder

import (
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/tmaxmax/go-sse"

	"amaranthgate.example/amaranthgate/internal/wire"
)

// maxEventBytes limits one event of a stream.
const maxEventBytes = 1 << 20

// endMarker is the data of the event that ends a stream.
const endMarker = "[DONE]"

// Event is one event of a stream.
type Event struct {
	Data  string
	Text  string // Text is the text that the event adds, escaped as in a JSON string.
	Usage *wire.Usage
	Last  bool // Last reports whether the event has a finish reason.
}

// Sink receives the events of a stream in order. An error means that the caller
// left, and ends the stream.
type Sink interface {
	// Event receives one event, which may be buffered until Flush.
	Event(e Event) error
	// Flush sends the buffered events. It is called before each read from the
	// upstream, so that events which arrived together are sent together.
	Flush() error
}

// Stream sends the events of an answer to sink as they arrive. It returns nil if
// the stream is complete.
func (r *Response) Stream(sink Sink) *Failure {
	s := streamState{nonce: r.attempt.Nonce}
	body := &watchedBody{body: r.reply, response: r, sink: sink}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if sinkErr := (errSink{}); errors.As(err, &sinkErr) {
			return &Failure{Cause: CauseCallerGone, Ran: RanYes, Detail: sinkErr.Error()}
		}
		if err != nil {
			return r.readFailure(err)
		}
		if ev.Data == endMarker {
			return s.check()
		}
		e, fail := s.add(ev.Data)
		if fail != nil {
			if fail.Cause == CauseCrossed {
				r.forwarder.Crossed.Add(1)
			}
			return fail
		}
		if err := sink.Event(e); err != nil {
			return &Failure{Cause: CauseCallerGone, Ran: RanYes, Detail: err.Error()}
		}
	}
	// The body ended without the end marker. The finish reason and the token count
	// are enough to show that the stream is complete.
	if fail := s.check(); fail != nil {
		return r.readFailure(io.ErrUnexpectedEOF)
	}
	return nil
}

// errSink is an error of the sink.
type errSink struct{ error }

// watchedBody flushes the sink before each read and resets the watchdog after it.
type watchedBody struct {
	body     io.Reader
	response *Response
	sink     Sink
}

func (w *watchedBody) Read(p []byte) (int, error) {
	if err := w.sink.Flush(); err != nil {
		return 0, errSink{err}
	}
	n, err := w.body.Read(p)
	if n > 0 {
		w.response.watchdog.reset(w.response.attempt.Interval)
	}
	return n, err
}

// streamState has what is needed to check that a stream is complete.
type streamState struct {
	nonce    string
	chunks   int  // chunks is the number of events that added text.
	finished bool // finished reports whether a finish reason was received.
	usage    *wire.Usage
}

// add decodes an event and updates the state.
func (s *streamState) add(data string) (Event, *Failure) {
	e, ok := scanEvent(data, s.nonce)
	if !ok {
		var fail *Failure
		if e, fail = parseEvent(data, s.nonce); fail != nil {
			return e, fail
		}
	}
	if e.Text != "" {
		s.chunks++
	}
	s.finished = s.finished || e.Last
	if e.Usage != nil {
		s.usage = e.Usage
	}
	return e, nil
}

// check returns a Failure unless the stream is complete.
func (s *streamState) check() *Failure {
	switch {
	case !s.finished:
		return &Failure{Cause: CauseCut, Ran: RanYes, Detail: "the stream has no finish reason"}
	case s.usage == nil:
		return &Failure{Cause: CauseCut, Ran: RanYes, Detail: "the stream has no token count"}
	case s.usage.CompletionTokens < s.chunks || s.chunks == 0 && s.usage.CompletionTokens > 0:
		return &Failure{Cause: CauseCut, Ran: RanYes, Detail: "the token count does not fit"}
	}
	return nil
}

// scanEvent decodes the usual form of an event that only adds text, without parsing
// all of its JSON. It returns false for any other event.
func scanEvent(data, nonce string) (Event, bool) {
	const head = `{"id":"`
	if !strings.HasPrefix(data, head) || !strings.HasPrefix(data[len(head):], nonce) {
		return Event{}, false
	}
	text, rest, ok := stringAfter(data, `"text":"`)
	if !ok {
		text, rest, ok = stringAfter(data, `"content":"`)
	}
	if !ok || strings.Contains(rest, `"text":"`) || strings.Contains(rest, `"content":"`) {
		return Event{}, false
	}
	if !strings.Contains(rest, `"finish_reason":null`) || strings.Contains(rest, `"usage":{`) {
		return Event{}, false
	}
	return Event{Data: data, Text: text}, true
}

// stringAfter returns the contents of the JSON string that begins after prefix, and
// the data that follows it.
func stringAfter(data, prefix string) (contents, after string, ok bool) {
	i := strings.Index(data, prefix)
	if i < 0 {
		return "", "", false
	}
	rest := data[i+len(prefix):]
	for j := 0; j < len(rest); j++ {
		switch rest[j] {
		case '\\':
			j++
		case '"':
			return rest[:j], rest[j+1:], true
		}
	}
	return "", "", false
}

func parseEvent(data, nonce string) (Event, *Failure) {
	var c wire.Chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return Event{}, &Failure{Cause: CauseMalformed, Ran: RanYes, Detail: "an event is not JSON"}
	}
	if c.ID != nonce {
		return Event{}, &Failure{Cause: CauseCrossed, Ran: RanYes, Detail: "an event names another attempt"}
	}
	e := Event{Data: data, Usage: c.Usage}
	for _, ch := range c.Choices {
		text := ch.Text
		if ch.Delta != nil {
			text = ch.Delta.Content
		}
		e.Text += EscapeText(text)
		e.Last = e.Last || ch.FinishReason != nil
	}
	return e, nil
}

// EscapeText returns text escaped as in a JSON string, without the quotes.
func EscapeText(text string) string {
	if text == "" {
		return ""
	}
	b, err := json.Marshal(text)
	if err != nil {
		panic("forwarder: " + err.Error())
	}
	return string(b[1 : len(b)-1])
}

// UnescapeText reverses EscapeText. It returns false if escaped is not valid.
func UnescapeText(escaped string) (string, bool) {
	var s string
	err := json.Unmarshal([]byte(`"`+escaped+`"`), &s)
	return s, err == nil
}
