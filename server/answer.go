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

// maxAnswerBytes bounds responses that are not streams.
const maxAnswerBytes = 32 << 20

// Headers that are forwarded to upstreams and to callers. All others are dropped.
var (
	requestHeaders  = []string{"Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match", "Traceparent"}
	responseHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location"}
)

func selectRequestHeaders(from http.Header) http.Header {
	out := make(http.Header, len(requestHeaders)+2)
	copyHeaders(out, from, requestHeaders)
	return out
}

func copyHeaders(to, from http.Header, names []string) {
	for _, n := range names {
		if v := from.Get(n); v != "" {
			to.Set(n, v)
		}
	}
}

// forwardServiceCall sends a call to a plain service and its response to the caller.
func (d *delivery) forwardServiceCall(ctx context.Context, a *forwarder.Attempt, first func()) *forwarder.Failure {
	resp, fail := d.server.opts.Forwarder.Open(ctx, a)
	if fail != nil {
		return fail
	}
	defer resp.Close()
	body, fail := resp.ReadAll(maxAnswerBytes)
	if fail != nil {
		return fail
	}
	first()
	d.startAnswer(resp)
	copyHeaders(d.x.writer.Header(), resp.Header(), responseHeaders)
	d.writeAnswer(resp.Status(), body)
	return nil
}

// relayResponse relays a response that rejects the request.
func (d *delivery) relayResponse(resp *forwarder.Response) *forwarder.Failure {
	body, fail := resp.ReadAll(maxAnswerBytes)
	if fail != nil {
		return fail
	}
	d.startAnswer(resp)
	copyHeaders(d.x.writer.Header(), resp.Header(), responseHeaders)
	d.writeAnswer(resp.Status(), body)
	return nil
}

// forwardJSON forwards a response that is not a stream.
func (d *delivery) forwardJSON(resp *forwarder.Response, nonce string, first func()) *forwarder.Failure {
	body, fail := resp.ReadAll(maxAnswerBytes)
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
	d.startAnswer(resp)
	d.recordUsage(c.Usage)
	d.outcome.Tokens = c.Usage.CompletionTokens
	d.recordText(&c.Choices[0])
	d.x.writer.Header().Set("Content-Type", "application/json")
	d.writeAnswer(http.StatusOK, body)
	return nil
}

// recordText stores the text of a response that is not a stream.
func (d *delivery) recordText(c *wire.Choice) {
	text := c.Text
	if c.Message != nil {
		text = c.Message.Content
	}
	d.sentText = append(d.sentText, forwarder.EscapeText(text)...)
}

// startAnswer records the time to the first token and sets the response headers.
func (d *delivery) startAnswer(resp *forwarder.Response) {
	if d.outcome.FirstToken == 0 {
		d.outcome.FirstToken = d.server.opts.Timer.Now().Sub(d.x.Start)
	}
	d.x.writer.Header().Set(HeaderUpstream, d.outcome.Upstream)
	if v := resp.Version(); v != "" {
		d.x.writer.Header().Set(wire.HeaderVersion, v)
		d.version = v
	}
}

// recordUsage stores the token counts that an upstream reported.
func (d *delivery) recordUsage(u *wire.Usage) {
	d.outcome.Prompt = u.PromptTokens
	d.outcome.Cached = u.PromptDetails.CachedTokens
}

// writeAnswer writes a response that is not a stream to the caller.
func (d *delivery) writeAnswer(status int, body []byte) {
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
	d             *delivery
	control       *http.ResponseController
	first         func()
	nonce         string // nonce is that of the attempt.
	publicNonce   string // publicNonce is that of the first attempt, which callers see.
	writer        http.ResponseWriter
	buf           []byte
	deadlineSetAt time.Time // deadlineSetAt is when the write deadline was last set.
}

// writeTimeout bounds the time that a caller may take to read buffered data.
const writeTimeout = 30 * time.Second

// forwardStream forwards a stream of events.
func (d *delivery) forwardStream(resp *forwarder.Response, attemptNonce string, first func()) *forwarder.Failure {
	resumed := d.outcome.written
	if !resumed {
		d.startAnswer(resp)
		h := d.x.writer.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
	} else if resp.Version() != d.version {
		return &forwarder.Failure{Cause: forwarder.CauseMalformed, Ran: forwarder.RanYes, Detail: "another weight version answered"}
	}
	sink := &callerSink{
		d:           d,
		control:     http.NewResponseController(d.x.writer),
		first:       first,
		nonce:       attemptNonce,
		publicNonce: nonce(d.x.ID, 1),
		writer:      d.x.writer,
	}
	if fail := resp.Stream(sink); fail != nil {
		_ = sink.Flush() // events received before the failure still go to the caller
		return fail
	}
	return sink.finish()
}

// Event implements forwarder.Sink.
func (c *callerSink) Event(e forwarder.Event) error {
	d := c.d
	if e.Text != "" {
		c.first()
		d.outcome.Tokens++
		d.sentText = append(d.sentText, e.Text...)
	}
	data, ok := c.rewrite(e)
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

// flushBytes is the buffer size from which events are flushed before all are read.
const flushBytes = 16 << 10

// Flush implements forwarder.Sink.
func (c *callerSink) Flush() error {
	if len(c.buf) == 0 {
		return nil
	}
	if now := c.d.server.opts.Timer.Now(); now.Sub(c.deadlineSetAt) > writeTimeout/4 {
		c.deadlineSetAt = now
		_ = c.control.SetWriteDeadline(now.Add(writeTimeout))
	}
	_, err := c.writer.Write(c.buf)
	c.buf = c.buf[:0]
	if err != nil {
		return err
	}
	return c.control.Flush()
}

// rewrite returns an event as the caller sees it: with the nonce of the first
// attempt, and with token counts only if requested and summed over all attempts.
func (c *callerSink) rewrite(e forwarder.Event) (string, bool) {
	data := e.Data
	if c.nonce != c.publicNonce {
		data = strings.Replace(data, c.nonce, c.publicNonce, 1)
	}
	if e.Usage == nil {
		return data, true
	}
	c.d.recordUsage(e.Usage)
	options := c.d.x.Call.Prompt.StreamOptions
	if options == nil || !options.IncludeUsage {
		return "", false
	}
	if c.nonce == c.publicNonce {
		return data, true
	}
	var chunk wire.Chunk
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return "", false
	}
	earlier := c.d.outcome.Tokens - chunk.Usage.CompletionTokens
	chunk.Usage.CompletionTokens += earlier
	chunk.Usage.PromptTokens -= earlier
	rewritten, err := json.Marshal(chunk)
	return string(rewritten), err == nil
}

// finish writes the end marker of a complete stream.
func (c *callerSink) finish() *forwarder.Failure {
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
