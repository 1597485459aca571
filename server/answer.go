// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/wire"
)

// maxAnswerBytes bounds answers that are not streams.
const maxAnswerBytes = 32 << 20

// forwardable are the headers that callers and plain services pass through the
// system. All others end here.
var (
	forwardableUp   = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match", "Traceparent"}
	forwardableDown = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location"}
)

func forwardedHeader(from http.Header) http.Header {
	out := make(http.Header, len(forwardableUp)+2)
	copyHeaders(out, from, forwardableUp)
	return out
}

func copyHeaders(to, from http.Header, names []string) {
	for _, n := range names {
		if v := from.Get(n); v != "" {
			to.Set(n, v)
		}
	}
}

// call carries one call of a plain service.
func (d *delivery) call(ctx context.Context, a *forwarder.Attempt, first func()) *forwarder.Failure {
	resp, fail := d.server.opts.Forwarder.Open(ctx, a)
	if fail != nil {
		return fail
	}
	defer resp.Close()
	body, fail := resp.Whole(maxAnswerBytes)
	if fail != nil {
		return fail
	}
	first()
	d.begin(resp)
	copyHeaders(d.x.writer.Header(), resp.Header(), forwardableDown)
	d.finish(resp.Status(), body)
	return nil
}

// passOn gives the caller an upstream's word that the request is wrong.
func (d *delivery) passOn(resp *forwarder.Response) *forwarder.Failure {
	body, fail := resp.Whole(maxAnswerBytes)
	if fail != nil {
		return fail
	}
	d.begin(resp)
	copyHeaders(d.x.writer.Header(), resp.Header(), forwardableDown)
	d.finish(resp.Status(), body)
	return nil
}

// whole carries an answer that is not a stream.
func (d *delivery) whole(resp *forwarder.Response, nonce string, first func()) *forwarder.Failure {
	body, fail := resp.Whole(maxAnswerBytes)
	if fail != nil {
		return fail
	}
	first()
	var c wire.Chunk
	if err := json.Unmarshal(body, &c); err != nil {
		return &forwarder.Failure{Cause: forwarder.CauseMalformed, Ran: forwarder.RanYes, Detail: "the answer is not JSON"}
	}
	if c.ID != nonce {
		d.server.opts.Forwarder.Crossed.Add(1)
		return &forwarder.Failure{Cause: forwarder.CauseCrossed, Ran: forwarder.RanYes, Detail: "the answer names another attempt"}
	}
	if c.Usage == nil || len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return &forwarder.Failure{Cause: forwarder.CauseCut, Ran: forwarder.RanYes, Detail: "the answer has no end"}
	}
	d.begin(resp)
	d.count(c.Usage)
	d.outcome.Tokens = c.Usage.CompletionTokens
	d.keepText(&c.Choices[0])
	d.x.writer.Header().Set("Content-Type", "application/json")
	d.finish(http.StatusOK, body)
	return nil
}

// keepText notes the text of a whole answer.
func (d *delivery) keepText(c *wire.Choice) {
	text := c.Text
	if c.Message != nil {
		text = c.Message.Content
	}
	d.text = append(d.text, forwarder.EscapeText(text)...)
}

// begin notes that an answer has come from an upstream.
func (d *delivery) begin(resp *forwarder.Response) {
	if d.outcome.FirstToken == 0 {
		d.outcome.FirstToken = d.server.opts.Timer.Now().Sub(d.x.Start)
	}
	d.x.writer.Header().Set(HeaderUpstream, d.outcome.Upstream)
	if v := resp.Version(); v != "" {
		d.x.writer.Header().Set(wire.HeaderVersion, v)
		d.version = v
	}
}

// count takes token numbers over from an upstream's count.
func (d *delivery) count(u *wire.Usage) {
	d.outcome.Prompt = u.PromptTokens
	d.outcome.Cached = u.PromptDetails.CachedTokens
}

// finish writes a whole answer to the caller.
func (d *delivery) finish(status int, body []byte) {
	d.outcome.Status = status
	d.outcome.Ran = forwarder.RanYes
	d.outcome.complete = true
	d.outcome.written = true
	d.x.writer.WriteHeader(status)
	if _, err := d.x.writer.Write(body); err != nil {
		d.outcome.Reason = ReasonCallerGone
	}
}

// callerSink writes the events of a stream to the caller.
type callerSink struct {
	d       *delivery
	control *http.ResponseController
	first   func()
	nonce   string // nonce is the attempt's; callers see that of the first.
	public  string
	writer  http.ResponseWriter
	buf     []byte
	bounded time.Time // bounded is when the write deadline was last set.
}

// writeTimeout bounds the time that a caller may take to read what was sent.
const writeTimeout = 30 * time.Second

// stream carries a stream of events.
func (d *delivery) stream(resp *forwarder.Response, attemptNonce string, first func()) *forwarder.Failure {
	resumed := d.outcome.written
	if !resumed {
		d.begin(resp)
		h := d.x.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	} else if resp.Version() != d.version {
		return &forwarder.Failure{Cause: forwarder.CauseMalformed, Ran: forwarder.RanYes, Detail: "another weight version answered"}
	}
	sink := &callerSink{
		d:       d,
		control: http.NewResponseController(d.x.writer),
		first:   first,
		nonce:   attemptNonce,
		public:  nonce(d.x.ID, 1),
		writer:  d.x.writer,
	}
	if fail := resp.Stream(sink); fail != nil {
		_ = sink.Flush() // what came is the caller's; the rest is continued or missing
		return fail
	}
	return sink.end()
}

// Event implements forwarder.Sink.
func (c *callerSink) Event(e forwarder.Event) error {
	d := c.d
	if e.Text != "" {
		c.first()
		d.outcome.Tokens++
		d.text = append(d.text, e.Text...)
	}
	data, ok := c.visible(e)
	if !ok {
		return nil
	}
	if !d.outcome.written {
		d.outcome.written = true
		d.outcome.FirstToken = d.server.opts.Timer.Now().Sub(d.x.Start)
	}
	c.buf = append(c.buf, "data: "...)
	c.buf = append(c.buf, data...)
	c.buf = append(c.buf, "\n\n"...)
	if len(c.buf) > flushBytes {
		return c.Flush()
	}
	return nil
}

// flushBytes is the size at which events are passed on although more are there.
const flushBytes = 16 << 10

// Flush implements forwarder.Sink.
func (c *callerSink) Flush() error {
	if len(c.buf) == 0 {
		return nil
	}
	if now := c.d.server.opts.Timer.Now(); now.Sub(c.bounded) > writeTimeout/4 {
		c.bounded = now
		_ = c.control.SetWriteDeadline(now.Add(writeTimeout))
	}
	_, err := c.writer.Write(c.buf)
	c.buf = c.buf[:0]
	if err != nil {
		return err
	}
	return c.control.Flush()
}

// visible returns an event as the caller may see it: under the first attempt's
// nonce, with token counts only if asked for and as if there was one attempt.
func (c *callerSink) visible(e forwarder.Event) (string, bool) {
	data := e.Data
	if c.nonce != c.public {
		data = strings.Replace(data, c.nonce, c.public, 1)
	}
	if e.Usage == nil {
		return data, true
	}
	c.d.count(e.Usage)
	asked := c.d.x.Call.Prompt.StreamOptions
	if asked == nil || !asked.IncludeUsage {
		return "", false
	}
	if c.nonce == c.public {
		return data, true
	}
	var chunk wire.Chunk
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return "", false
	}
	before := c.d.outcome.Tokens - chunk.Usage.CompletionTokens
	chunk.Usage.CompletionTokens += before
	chunk.Usage.PromptTokens -= before
	fixed, err := json.Marshal(chunk)
	return string(fixed), err == nil
}

// end writes the end marker of a whole stream.
func (c *callerSink) end() *forwarder.Failure {
	d := c.d
	d.outcome.Status = http.StatusOK
	d.outcome.Ran = forwarder.RanYes
	d.outcome.complete = true
	c.buf = append(c.buf, "data: [DONE]\n\n"...)
	if err := c.Flush(); err != nil {
		d.outcome.Reason = ReasonCallerGone
	}
	d.outcome.written = true
	return nil
}
