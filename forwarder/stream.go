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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// endMarker is the data of the event that ends a stream.
const endMarker = "[DONE]"

// Event is one event of an answer.
type Event struct {
	Data  string
	Text  string // Text is the text that the event adds, still escaped as JSON.
	Usage *wire.Usage
	Last  bool // Last tells that the event gives a finish reason.
}

// Sink takes the events of a stream in order. An error ends the stream: the
// caller is gone.
type Sink interface {
	// Event takes one event, which may be held back until Flush.
	Event(e Event) error
	// Flush passes on what is held back. It is called before each wait for the
	// upstream, so that events that came together leave together.
	Flush() error
}

// Stream passes the events of an answer on as they come. It returns nil if the
// stream was whole.
func (r *Response) Stream(sink Sink) *Failure {
	s := streamState{nonce: r.attempt.Nonce}
	body := &watchedBody{body: r.reply, response: r, sink: sink}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if gone := (errSink{}); errors.As(err, &gone) {
			return &Failure{Cause: CauseCaller, Ran: RanYes, Detail: gone.Error()}
		}
		if err != nil {
			return r.failure(err)
		}
		if ev.Data == endMarker {
			return s.end()
		}
		e, fail := s.next(ev.Data)
		if fail != nil {
			if fail.Cause == CauseCrossed {
				r.forwarder.Crossed.Add(1)
			}
			return fail
		}
		if err := sink.Event(e); err != nil {
			return &Failure{Cause: CauseCaller, Ran: RanYes, Detail: err.Error()}
		}
	}
	// The body ended as HTTP says it must, but without the marker. The finish
	// reason and the count prove as much as the marker does.
	if fail := s.end(); fail != nil {
		return r.failure(io.ErrUnexpectedEOF)
	}
	return nil
}

// errSink says that the caller is gone.
type errSink struct{ error }

// watchedBody restarts the silence timer with each read, and flushes the sink
// before it.
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
		w.response.watch.reset(w.response.attempt.Interval)
	}
	return n, err
}

// streamState is what must be known to tell whether a stream is whole.
type streamState struct {
	nonce  string
	chunks int // chunks is the number of events that added text.
	last   bool
	usage  *wire.Usage
}

func (s *streamState) next(data string) (Event, *Failure) {
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
	s.last = s.last || e.Last
	if e.Usage != nil {
		s.usage = e.Usage
	}
	return e, nil
}

// end tells whether a stream whose marker came is whole.
func (s *streamState) end() *Failure {
	switch {
	case !s.last:
		return &Failure{Cause: CauseCut, Ran: RanYes, Detail: "the stream has no finish reason"}
	case s.usage == nil:
		return &Failure{Cause: CauseCut, Ran: RanYes, Detail: "the stream has no token count"}
	case s.usage.CompletionTokens < s.chunks || s.chunks == 0 && s.usage.CompletionTokens > 0:
		return &Failure{Cause: CauseCut, Ran: RanYes, Detail: "the token count does not fit"}
	}
	return nil
}

// scanEvent reads the usual form of an event that only adds text, without a
// full parse. It reports false for anything else.
func scanEvent(data, nonce string) (Event, bool) {
	const head = `{"id":"`
	if !strings.HasPrefix(data, head) || !strings.HasPrefix(data[len(head):], nonce) {
		return Event{}, false
	}
	text, rest, ok := between(data, `"text":"`)
	if !ok {
		text, rest, ok = between(data, `"content":"`)
	}
	if !ok || strings.Contains(rest, `"text":"`) || strings.Contains(rest, `"content":"`) {
		return Event{}, false
	}
	if !strings.Contains(rest, `"finish_reason":null`) || strings.Contains(rest, `"usage":{`) {
		return Event{}, false
	}
	return Event{Data: data, Text: text}, true
}

// between returns the inside of the JSON string that begins after a mark, and
// what follows it.
func between(data, mark string) (inside, after string, ok bool) {
	i := strings.Index(data, mark)
	if i < 0 {
		return "", "", false
	}
	rest := data[i+len(mark):]
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

// EscapeText returns text as it stands inside a JSON string.
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

// UnescapeText turns the text of events into plain text.
func UnescapeText(escaped string) (string, bool) {
	var s string
	err := json.Unmarshal([]byte(`"`+escaped+`"`), &s)
	return s, err == nil
}
