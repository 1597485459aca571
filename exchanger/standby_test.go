// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
)

// silenceSystem is an Exchanger with a manual clock, whose Sender answers the first attempt with primary and others
// with beside.
type silenceSystem struct {
	clock  *timer.Manual
	placer *placer.Placer
	x      *Exchanger

	mu      sync.Mutex
	primary *pausingAnswer
	beside  func(ctx context.Context) Answer
	sent    []string // sent are the upstreams in the order of the attempts.
}

func newSilenceSystem(kind matcher.Kind) *silenceSystem {
	s := &silenceSystem{clock: timer.NewManual(time.Now())}
	view := testView("Idempotent")
	view.Table = matcher.New(matcher.Parts{
		Routes: []matcher.Route{{
			Name: "r", Host: "h", PathPrefix: "/r/", Kind: kind, Resumable: true, MaxAttempts: 2,
			Timeout: 30 * time.Second, Services: []matcher.Share{{Service: "s", Weight: 1}},
		}},
		Services:   []matcher.Service{{Name: "s"}},
		Workspaces: []matcher.Workspace{{Name: "w", Keys: []string{"key"}}},
	})
	var views atomic.Pointer[follower.View]
	views.Store(view)
	s.placer = placer.New(placer.Options{})
	s.placer.Update(view)
	budget := retrier.NewSharedBudgets(retrier.Allowance{Share: 1, Slack: 100})
	s.x = New(Options{Views: &views, Placer: s.placer, Sender: s, Budget: budget, Timer: s.clock})
	return s
}

// Send implements Sender.
func (s *silenceSystem) Send(ctx context.Context, _ *Request, o *SendOptions) (Answer, *forwarder.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, o.Upstream.ID)
	if len(s.sent) == 1 {
		s.primary.ctx = ctx
		return s.primary, nil
	}
	return s.beside(ctx), nil
}

// handle processes one request.
func (s *silenceSystem) handle(w Responder) Outcome {
	return s.handleContext(context.Background(), w)
}

// handleContext is handle with the caller's context.
func (s *silenceSystem) handleContext(ctx context.Context, w Responder) Outcome {
	return s.x.Handle(ctx, &Request{ID: "1", Start: s.clock.Now(), Method: "GET", Host: "h", Path: "/r/x", Key: "key"}, w)
}

// pass lets time pass, in which silent upstreams are looked for.
func (s *silenceSystem) pass(d time.Duration) {
	const interval = 100 * time.Millisecond
	for range d / interval {
		s.clock.Advance(interval)
		s.placer.Watch(s.clock.Now())
	}
}

// suspicions returns how often an upstream was taken for silent.
func (s *silenceSystem) suspicions() uint64 { return s.placer.Suspicions() }

// pausingAnswer is an answer that calls pause between two parts of its body.
type pausingAnswer struct {
	ctx    context.Context
	parts  []string
	pause  func()
	part   int
	offset int
}

func (a *pausingAnswer) Status() int                { return 200 }
func (a *pausingAnswer) Framing() forwarder.Framing { return forwarder.FramingChunks }
func (a *pausingAnswer) Close()                     {}
func (a *pausingAnswer) Read(b []byte) (int, error) {
	if a.part == len(a.parts) {
		return 0, io.EOF
	}
	if a.part > 0 && a.offset == 0 {
		a.pause()
		if a.ctx.Err() != nil {
			return 0, a.ctx.Err()
		}
	}
	n := copy(b, a.parts[a.part][a.offset:])
	if a.offset += n; a.offset == len(a.parts[a.part]) {
		a.part, a.offset = a.part+1, 0
	}
	return n, nil
}

// attemptTime is how long an attempt beside the primary one may take to end it.
const attemptTime = 300 * time.Millisecond

// awaitEnd waits until the primary attempt is ended by another one, for up to attemptTime.
func (s *silenceSystem) awaitEnd() {
	select {
	case <-s.primary.ctx.Done():
	case <-time.After(attemptTime):
	}
}

// TestLongAnswerIsNotReplaced guards against an answer that is broken off because its upstream paused: once the
// caller has a part of an answer that cannot be resumed, no other upstream's answer can go on in its place.
func TestLongAnswerIsNotReplaced(t *testing.T) {
	s := newSilenceSystem(matcher.KindIdempotent)
	long := strings.Repeat("a", maxBufferedBytes+1)
	s.primary = &pausingAnswer{parts: []string{long, "the rest"}, pause: func() {
		s.pass(5 * time.Second)
		s.awaitEnd()
	}}
	s.beside = func(context.Context) Answer { return &fakeAnswer{status: 200, body: "another answer", end: io.EOF} }
	caller := &recorder{}
	s.handle(caller)
	assert.Assert(t, !caller.aborted, "the answer was broken off")
	assert.Equal(t, caller.body.Len(), len(long)+len("the rest"))
	assert.Equal(t, len(s.sent), 1, "the request was sent to another upstream")
	assert.Assert(t, s.suspicions() > 0, "the pause was not noticed, so that nothing is shown")
}

// slowCaller is a recorder that takes long for each part of the body.
type slowCaller struct {
	recorder
	wait func()
}

func (c *slowCaller) Write(b []byte) error {
	c.wait()
	return c.recorder.Write(b)
}

// TestSlowCallers checks that the time in which a caller does not read is no silence of its upstream, which could
// not send anything, and that the request is sent to no other upstream.
func TestSlowCallers(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  matcher.Kind
		parts []string
	}{
		{"stream", matcher.KindStream, []string{events(0, 2), events(2, 4)}},
		{"answer", matcher.KindIdempotent, []string{"whole"}},
		{"long answer", matcher.KindIdempotent, []string{strings.Repeat("a", maxBufferedBytes+1), "the rest"}},
		{"long answer at most once", matcher.KindOnce, []string{strings.Repeat("a", maxBufferedBytes+1), "the rest"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSilenceSystem(c.kind)
			s.primary = &pausingAnswer{parts: c.parts, pause: func() {
				s.pass(200 * time.Millisecond)
				s.awaitEnd()
			}}
			s.beside = func(context.Context) Answer { return &fakeAnswer{status: 200, body: events(0, 4), end: io.EOF} }
			caller := &slowCaller{wait: func() { s.pass(5 * time.Second) }}
			s.handle(caller)
			assert.Assert(t, !caller.aborted, "the answer was broken off")
			assert.Equal(t, caller.body.String(), strings.Join(c.parts, ""))
			assert.Equal(t, s.suspicions(), uint64(0), "the upstream was taken for silent")
			assert.Equal(t, len(s.sent), 1, "the request was sent to another upstream")
		})
	}
}

// TestSlowAnswers checks that an upstream that sends an answer in small parts is not silent.
func TestSlowAnswers(t *testing.T) {
	for _, size := range []int{1, maxBufferedBytes + 1} {
		s := newSilenceSystem(matcher.KindIdempotent)
		s.primary = &pausingAnswer{pause: func() { s.pass(400 * time.Millisecond) }}
		for range 10 {
			s.primary.parts = append(s.primary.parts, strings.Repeat("a", size))
		}
		s.beside = func(context.Context) Answer { return &fakeAnswer{status: 200, body: "another answer", end: io.EOF} }
		caller := &recorder{}
		s.handle(caller)
		assert.Equal(t, caller.body.Len(), 10*size)
		assert.Equal(t, s.suspicions(), uint64(0), "the upstream was taken for silent")
		assert.Equal(t, len(s.sent), 1, "the request was sent to another upstream")
	}
}

// TestStreamIsContinuedByStreamsOnly guards against an answer of another kind in the middle of a stream.
func TestStreamIsContinuedByStreamsOnly(t *testing.T) {
	s := newSilenceSystem(matcher.KindStream)
	s.primary = &pausingAnswer{parts: []string{events(0, 2), events(2, 4)}, pause: func() {
		s.pass(5 * time.Second)
		s.awaitEnd()
	}}
	s.beside = func(context.Context) Answer { return &fakeAnswer{status: 404, body: "not here", end: io.EOF} }
	caller := &recorder{}
	s.handle(caller)
	assert.Assert(t, !caller.aborted, "the stream was broken off")
	assert.Equal(t, caller.heads, 1)
	assert.Equal(t, caller.body.String(), events(0, 4))
	assert.Equal(t, len(s.sent), 2, "no other upstream was asked, so that nothing is shown")
}

// endingAnswer is an answer that calls end after its body and then sends nothing until its attempt is canceled, or for
// attemptTime.
type endingAnswer struct {
	fakeAnswer
	ctx      context.Context
	end      func()
	canceled bool
}

func (a *endingAnswer) Read(b []byte) (int, error) {
	if a.body != "" {
		n := copy(b, a.body)
		a.body = a.body[n:]
		return n, nil
	}
	a.end()
	select {
	case <-a.ctx.Done():
		a.canceled = true
	case <-time.After(attemptTime):
	}
	return 0, errCut
}

// TestTakeoverEndsWithRequest checks that an attempt that has taken the place of another one ends with its request.
func TestTakeoverEndsWithRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(s *silenceSystem, leave func())
		want Reason
	}{
		{"the caller leaves", func(_ *silenceSystem, leave func()) { leave() }, ReasonCallerGone},
		{"the deadline passes", func(s *silenceSystem, _ func()) { s.clock.Advance(time.Minute) }, ReasonDeadline},
		{"the host has to end", func(s *silenceSystem, _ func()) { s.x.Stop() }, ReasonStopped},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSilenceSystem(matcher.KindStream)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			s.primary = &pausingAnswer{parts: []string{events(0, 2), events(2, 4)}, pause: func() {
				s.pass(5 * time.Second)
				s.awaitEnd()
			}}
			var second *endingAnswer
			s.beside = func(ctx context.Context) Answer {
				second = &endingAnswer{fakeAnswer: fakeAnswer{status: 200, body: events(2, 3)}, ctx: ctx, end: func() { c.end(s, leave) }}
				return second
			}
			caller := &recorder{}
			o := s.handleContext(ctx, caller)
			assert.Assert(t, second.canceled, "the attempt went on")
			assert.Equal(t, o.Reason, c.want)
			assert.Assert(t, caller.aborted)
			assert.Equal(t, caller.body.String(), events(0, 3))
		})
	}
}
