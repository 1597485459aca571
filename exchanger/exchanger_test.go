// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/strictjson"
	"amaranthgate.example/amaranthgate/matcher"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
)

type attemptCase struct {
	Name      string
	Route     string
	Key       string
	Upstreams []string
	NoBudget  bool
	Want      string
	Sent      int
	Events    string
}

// scriptedSender ends each attempt as scripted.
type scriptedSender struct {
	script []string
	sent   int
}

var errCut = errors.New("cut")

func (s *scriptedSender) Send(ctx context.Context, _ *Request, d *SendOptions) (Answer, *forwarder.Failure) {
	do := s.script[s.sent]
	s.sent++
	verb, arg, _ := strings.Cut(do, " ")
	n, _ := strconv.Atoi(arg)
	from, _ := strconv.Atoi(d.LastEvent)
	switch verb {
	case "ok":
		return &fakeAnswer{status: 200, body: "whole", end: io.EOF}, nil
	case "500":
		return &fakeAnswer{status: 500, body: "failed", end: io.EOF}, nil
	case "404":
		return &fakeAnswer{status: 404, body: "not found", end: io.EOF}, nil
	case "events":
		return &fakeAnswer{status: 200, body: events(from, n), end: io.EOF}, nil
	case "cut":
		if arg == "" {
			return &fakeAnswer{status: 200, body: "who", end: errCut}, nil
		}
		return &fakeAnswer{status: 200, body: events(from, n) + "id: 99\nda", end: errCut}, nil
	case "notrun":
		return nil, &forwarder.Failure{Cause: forwarder.CauseRefused, Ran: forwarder.RanNo}
	case "unreached":
		return nil, &forwarder.Failure{Cause: forwarder.CauseConnect, Ran: forwarder.RanNo}
	case "ended":
		return nil, &forwarder.Failure{Cause: forwarder.CauseConnect, Ran: forwarder.RanNo, NoListener: true}
	case "unconfirmed":
		return nil, &forwarder.Failure{Cause: forwarder.CauseLost, Ran: forwarder.RanNo}
	case "lost":
		return nil, &forwarder.Failure{Cause: forwarder.CauseLost, Ran: forwarder.RanUnknown}
	case "hang":
		<-ctx.Done()
		return nil, &forwarder.Failure{Cause: forwarder.CauseCallerGone, Ran: forwarder.RanUnknown}
	}
	panic("unknown attempt " + do)
}

func events(from, to int) string {
	var b strings.Builder
	for i := from + 1; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

type fakeAnswer struct {
	status   int
	body     string
	end      error
	closed   bool
	unframed bool
	until    <-chan struct{} // until delays the end of the body until it is closed; optional.
}

func (a *fakeAnswer) Status() int { return a.status }
func (a *fakeAnswer) Close()      { a.closed = true }
func (a *fakeAnswer) Framing() forwarder.Framing {
	if a.unframed {
		return forwarder.FramingConnection
	}
	return forwarder.FramingLength
}
func (a *fakeAnswer) Read(b []byte) (int, error) {
	n := copy(b, a.body)
	a.body = a.body[n:]
	if a.body == "" && a.until != nil && n == 0 {
		<-a.until
	}
	if a.body == "" && (a.until == nil || n == 0) {
		return n, a.end
	}
	return n, nil
}

// recorder is a Responder that records the answer.
type recorder struct {
	status  int
	length  int64
	body    strings.Builder
	retry   time.Duration
	aborted bool
	heads   int
}

func (r *recorder) Refuse(f Refusal) { r.status, r.retry = f.Status, f.RetryAfter; r.heads++ }
func (r *recorder) Begin(a Answer, length int64) error {
	r.status, r.length = a.Status(), length
	r.heads++
	return nil
}
func (r *recorder) Write(b []byte) error { r.body.Write(b); return nil }
func (r *recorder) Flush() error         { return nil }
func (r *recorder) Abort()               { r.aborted = true }

func testView(kind string) *follower.View {
	route := matcher.Route{
		Name: "r", Host: "h", PathPrefix: "/r/", Kind: matcher.Kind(kind), MaxAttempts: 2,
		Timeout: 200 * time.Millisecond, Services: []matcher.Share{{Service: "s", Weight: 1}},
	}
	switch kind {
	case "Stream":
		route.MaxAttempts = 1
	case "Resumable":
		route.Kind, route.Resumable = matcher.KindStream, true
	case "Patient":
		route.Kind, route.Timeout = matcher.KindIdempotent, 2*time.Second
	case "None":
		route.Kind, route.PathPrefix = matcher.KindOnce, "/other/"
	case "Unready":
		return &follower.View{}
	case "Unlisted": // the configuration is known and the upstreams are not
		return &follower.View{Table: matcher.New(matcher.Parts{Routes: []matcher.Route{route}, Workspaces: []matcher.Workspace{{Keys: []string{"key"}}}})}
	}
	view := &follower.View{Listed: true, Table: matcher.New(matcher.Parts{
		Routes:     []matcher.Route{route},
		Services:   []matcher.Service{{Name: "s"}},
		Workspaces: []matcher.Workspace{{Name: "w", Keys: []string{"key"}}},
	})}
	var upstreams []follower.Upstream
	for i := range 3 {
		upstreams = append(upstreams, follower.Upstream{ID: fmt.Sprint("u", i), Service: "s", Standing: follower.StandingReady, Slots: 2})
	}
	view.Upstreams = follower.ListOf(upstreams...)
	return view
}

func TestAttempts(t *testing.T) {
	text, err := os.ReadFile("testdata/attempts.jsonc")
	assert.NilError(t, err)
	var cases []attemptCase
	_, faults := strictjson.Decode(text, &cases)
	assert.Equal(t, len(faults), 0, "%v", faults)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { checkAttempts(t, c) })
	}
}

func checkAttempts(t *testing.T, c attemptCase) {
	view := testView(c.Route)
	var views atomic.Pointer[follower.View]
	views.Store(view)
	p := placer.New(placer.Options{})
	p.Update(view)
	allowance := retrier.Allowance{Share: 1, Slack: 100}
	if c.NoBudget {
		allowance = retrier.Allowance{}
	}
	sender := &scriptedSender{script: c.Upstreams}
	budget := retrier.NewSharedBudgets(allowance)
	for range 20 {
		budget.Request("s")
	}
	x := New(Options{Views: &views, Placer: p, Sender: sender, Budget: budget, Timer: timer.NewSystem()})
	caller := &recorder{}
	key := c.Key
	if key == "" {
		key = "key"
	}
	outcome := x.Handle(context.Background(), &Request{ID: "1", Start: time.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: key}, caller)
	if c.Want == "abort" {
		assert.Assert(t, caller.aborted)
	} else {
		assert.Assert(t, !caller.aborted)
		assert.Equal(t, strconv.Itoa(caller.status), c.Want)
		assert.Equal(t, caller.heads, 1)
	}
	assert.Equal(t, sender.sent, c.Sent)
	assert.Equal(t, outcome.Attempts, c.Sent)
	if c.Events != "" {
		assert.Equal(t, ids(caller.body.String()), c.Events)
	}
	if caller.status == 503 {
		assert.Assert(t, caller.retry > 0, "a refusal of a request that has not run must have a Retry-After")
	}
	for i := range 3 {
		assert.Equal(t, p.InFlight(fmt.Sprint("u", i)), 0, "an ended request is still counted")
	}
}

func ids(body string) string {
	var out []string
	for _, line := range strings.Split(body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			out = append(out, id)
		}
	}
	return strings.Join(out, " ")
}

// TestCallerLeaves checks that an attempt is canceled when the caller leaves, unless the
// request must run at most once.
func TestCallerLeaves(t *testing.T) {
	for _, c := range []struct {
		kind     string
		canceled bool
	}{{"Idempotent", true}, {"Stream", true}, {"Once", false}} {
		t.Run(c.kind, func(t *testing.T) {
			view := testView(c.kind)
			var views atomic.Pointer[follower.View]
			views.Store(view)
			p := placer.New(placer.Options{})
			p.Update(view)
			sender := &leavingSender{}
			x := New(Options{Views: &views, Placer: p, Sender: sender, Budget: retrier.NewSharedBudgets(retrier.Allowance{}), Timer: timer.NewSystem()})
			ctx, cancel := context.WithCancel(context.Background())
			sender.leave = cancel
			x.Handle(ctx, &Request{ID: "1", Start: time.Now(), Host: "h", Path: "/r/x", Key: "key"}, &recorder{})
			assert.Equal(t, sender.canceled, c.canceled)
		})
	}
}

// TestWhoEndedAStream checks that the reason of an aborted stream distinguishes the
// caller's leaving and the deadline from a failure of the upstream.
func TestWhoEndedAStream(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave bool
		want  Reason
	}{{"the caller left", true, ReasonCallerGone}, {"the time was over", false, ReasonDeadline}} {
		t.Run(c.name, func(t *testing.T) {
			view := testView("Stream")
			var views atomic.Pointer[follower.View]
			views.Store(view)
			p := placer.New(placer.Options{})
			p.Update(view)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			sender := stallingSender{cancel: func() {}}
			if c.leave {
				sender.cancel = cancel
			}
			x := New(Options{Views: &views, Placer: p, Sender: sender, Budget: retrier.NewSharedBudgets(retrier.Allowance{}), Timer: timer.NewSystem()})
			caller := &recorder{}
			o := x.Handle(ctx, &Request{ID: "1", Start: time.Now(), Host: "h", Path: "/r/x", Key: "key"}, caller)
			assert.Equal(t, o.Reason, c.want)
			assert.Assert(t, caller.aborted)
			assert.Equal(t, ids(caller.body.String()), "1 2")
		})
	}
}

// stallingSender sends two events and then nothing until the attempt is canceled.
type stallingSender struct{ cancel func() }

func (s stallingSender) Send(ctx context.Context, _ *Request, _ *SendOptions) (Answer, *forwarder.Failure) {
	s.cancel()
	return &fakeAnswer{status: 200, body: events(0, 2), end: errCut, until: ctx.Done()}, nil
}

// leavingSender makes the caller leave and records whether that cancels the attempt.
type leavingSender struct {
	leave    func()
	canceled bool
}

func (s *leavingSender) Send(ctx context.Context, _ *Request, _ *SendOptions) (Answer, *forwarder.Failure) {
	s.leave()
	s.canceled = ctx.Err() != nil
	return &fakeAnswer{status: 200, body: "x", end: io.EOF}, nil
}
