// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/placer"
	"amaranthgate.example/amaranthgate/retrier"
	"amaranthgate.example/amaranthgate/timer"
)

// steppedSender holds each attempt until a step of the test ends it.
type steppedSender struct {
	mu       sync.Mutex
	attempts []*steppedAttempt
}

// steppedAttempt is an attempt, with the answer that its upstream gives.
type steppedAttempt struct {
	number   int // number counts the attempts from 1.
	upstream string
	from     int // from is the number of the event after which a stream resumes.
	ctx      context.Context
	status   chan int                // status has the status of the answer when it begins.
	failure  chan *forwarder.Failure // failure has the failure of an attempt without an answer.
	body     chan steppedChunk
	closed   atomic.Bool

	begun, over bool // begun and over report that the answer has begun, and that the upstream has ended the attempt.
	halved      bool // halved reports that an event has been sent in part.
	long        bool // long reports that the answer is too long to be buffered.
	mayHaveRun  bool
	next        int // next is the number of the next event of a stream.
}

// steppedChunk is a part of a body, or its end.
type steppedChunk struct {
	data string
	end  error
}

func (s *steppedSender) Send(ctx context.Context, _ *Request, o *SendOptions) (Answer, *forwarder.Failure) {
	from, _ := strconv.Atoi(o.LastEvent)
	a := &steppedAttempt{
		upstream: o.Upstream.ID, from: from, next: from + 1, ctx: ctx, mayHaveRun: true,
		status: make(chan int, 1), failure: make(chan *forwarder.Failure, 1), body: make(chan steppedChunk, 64),
	}
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	a.number = len(s.attempts)
	s.mu.Unlock()
	select {
	case status := <-a.status:
		return &steppedAnswer{attempt: a, status: status}, nil
	case f := <-a.failure:
		return nil, f
	case <-ctx.Done():
		return nil, &forwarder.Failure{Cause: forwarder.CauseCallerGone, Ran: forwarder.RanUnknown}
	}
}

// steppedAnswer is the answer of a steppedAttempt.
type steppedAnswer struct {
	attempt *steppedAttempt
	status  int
	rest    string
}

func (a *steppedAnswer) Status() int                { return a.status }
func (a *steppedAnswer) Framing() forwarder.Framing { return forwarder.FramingChunks }
func (a *steppedAnswer) Close()                     { a.attempt.closed.Store(true) }
func (a *steppedAnswer) Read(b []byte) (int, error) {
	if a.rest == "" {
		select {
		case c := <-a.attempt.body:
			if c.end != nil {
				return 0, c.end
			}
			a.rest = c.data
		case <-a.attempt.ctx.Done():
			return 0, a.attempt.ctx.Err()
		}
	}
	n := copy(b, a.rest)
	a.rest = a.rest[n:]
	return n, nil
}

// longBody is the length of an answer that is not buffered.
const longBody = maxBufferedBytes + 1

// wholeAnswer is the body of a complete answer without a stream.
func (a *steppedAttempt) wholeAnswer() string { return fmt.Sprint("answer ", a.number, ".") }

// gave reports whether a body is the complete answer of the attempt.
func (a *steppedAttempt) gave(body string) bool {
	if a.long {
		return body == strings.Repeat("-", longBody)+a.wholeAnswer()
	}
	return body == a.wholeAnswer()
}

// begin begins the answer with a status.
func (a *steppedAttempt) begin(status int) {
	if !a.begun {
		a.begun = true
		a.status <- status
	}
}

// fail ends the attempt without an answer.
func (a *steppedAttempt) fail(cause forwarder.Cause, ran forwarder.Ran) {
	a.over, a.mayHaveRun = true, ran != forwarder.RanNo
	f := &forwarder.Failure{Cause: cause, Ran: ran}
	if cause == forwarder.CauseRefused {
		f.Status = 503
	}
	a.failure <- f
}

// end ends the body.
func (a *steppedAttempt) end(with error) {
	a.over = true
	a.body <- steppedChunk{end: with}
}

// sendEvents sends the events up to a number.
func (a *steppedAttempt) sendEvents(to int) {
	if to >= a.next {
		a.body <- steppedChunk{data: events(a.next-1, to)}
		a.next = to + 1
	}
}

// do plays what the upstream does next; to is the number of an event.
func (a *steppedAttempt) do(verb string, to int) {
	switch verb {
	case "ok": // a whole answer
		a.begin(200)
		a.body <- steppedChunk{data: a.wholeAnswer()}
		a.end(io.EOF)
	case "start": // part of a whole answer
		a.begin(200)
		a.body <- steppedChunk{data: "ans"}
	case "finish": // the rest of it
		a.body <- steppedChunk{data: strings.TrimPrefix(a.wholeAnswer(), "ans")}
		a.end(io.EOF)
	case "startlong":
		a.begin(200)
		a.body <- steppedChunk{data: strings.Repeat("-", longBody)}
	case "finishlong":
		a.body <- steppedChunk{data: a.wholeAnswer()}
		a.end(io.EOF)
	case "500":
		a.begin(500)
		a.body <- steppedChunk{data: "failed"}
		a.end(io.EOF)
	case "events": // a stream to its end
		a.begin(200)
		a.sendEvents(to)
		a.end(io.EOF)
	case "part": // part of a stream
		a.begin(200)
		a.sendEvents(to)
	case "half": // the beginning of an event
		a.begin(200)
		a.body <- steppedChunk{data: fmt.Sprintf("id: %d\nda", a.next)}
	case "cut":
		a.begin(200)
		a.sendEvents(to)
		a.end(errCut)
	case "notrun":
		a.fail(forwarder.CauseRefused, forwarder.RanNo)
	case "unreached":
		a.fail(forwarder.CauseConnect, forwarder.RanNo)
	case "lost":
		a.fail(forwarder.CauseLost, forwarder.RanUnknown)
	default:
		panic("unknown step " + verb)
	}
}

// steppedRequest is a request that is processed step by step. It must be used in a bubble of package synctest.
type steppedRequest struct {
	clock     *timer.Manual
	placer    *placer.Placer
	exchanger *Exchanger
	sender    *steppedSender
	upstreams int
	caller    *recorder
	leave     context.CancelFunc
	done      atomic.Bool
	outcome   Outcome
}

// steppedOptions configure a steppedRequest.
type steppedOptions struct {
	Route     string
	Runs      int // Runs is the number of attempts that the route allows.
	Upstreams int
	NoBudget  bool
	HoldFull  bool
}

// steppedTimeout is the time until the deadline.
const steppedTimeout = time.Minute

// startStepped starts a request and returns when its first attempt has been sent.
func startStepped(o steppedOptions) *steppedRequest {
	s := &steppedRequest{clock: timer.NewManual(time.Now()), sender: &steppedSender{}, upstreams: o.Upstreams, caller: &recorder{}}
	view := repeatView(o.Route, o.Runs)
	var upstreams []follower.Upstream
	for i := range o.Upstreams {
		upstreams = append(upstreams, follower.Upstream{ID: fmt.Sprint("u", i), Service: "s", Standing: follower.StandingReady, Slots: 2})
	}
	view.Upstreams = follower.ListOf(upstreams...)
	var views atomic.Pointer[follower.View]
	views.Store(view)
	s.placer = placer.New(placer.Options{HoldFull: o.HoldFull})
	s.placer.Update(view)
	allowance := retrier.Allowance{Share: 1, Slack: 400}
	if o.NoBudget {
		allowance = retrier.Allowance{}
	}
	budget := retrier.NewSharedBudgets(allowance)
	for range 20 {
		budget.Request("s")
	}
	s.exchanger = New(Options{Views: &views, Placer: s.placer, Sender: s.sender, Budget: budget, Timer: s.clock, HoldFull: o.HoldFull})
	s.placer.Watch(s.clock.Now())
	var ctx context.Context
	ctx, s.leave = context.WithCancel(context.Background())
	go func() {
		s.outcome = s.exchanger.Handle(ctx, &Request{
			ID: "1", Start: s.clock.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key", Timeout: steppedTimeout,
		}, s.caller)
		s.done.Store(true)
	}()
	synctest.Wait()
	return s
}

// watchInterval is the time between two looks for silent upstreams.
const watchInterval = 100 * time.Millisecond

// tick lets a watchInterval pass.
func (s *steppedRequest) tick() {
	s.clock.Advance(watchInterval)
	s.placer.Watch(s.clock.Now())
	s.exchanger.Wake(s.clock.Now())
	synctest.Wait()
}

// fallSilent lets time pass in which no upstream sends anything, until another attempt is sent, but not more than
// 4 s.
func (s *steppedRequest) fallSilent() {
	sent := len(s.sender.attempts)
	for range 40 {
		s.tick()
		if len(s.sender.attempts) > sent || s.done.Load() {
			return
		}
	}
}

// do plays a step: "silent", "leave", "deadline", or the number of an attempt with what its upstream does.
func (s *steppedRequest) do(step string) error {
	fields := append(strings.Fields(step), "", "")
	switch fields[0] {
	case "silent":
		s.fallSilent()
	case "leave":
		s.leave()
	case "deadline":
		s.clock.Advance(steppedTimeout)
	default:
		number, err := strconv.Atoi(fields[0])
		if err != nil || number > len(s.sender.attempts) {
			return fmt.Errorf("step %q: there are %d attempts", step, len(s.sender.attempts))
		}
		to, _ := strconv.Atoi(fields[2])
		s.sender.attempts[number-1].do(fields[1], to)
	}
	synctest.Wait()
	return nil
}

// finish lets the deadline pass if the request has not ended, and checks what holds for all requests.
func (s *steppedRequest) finish() error {
	if !s.done.Load() {
		s.clock.Advance(steppedTimeout)
		synctest.Wait()
	}
	if !s.done.Load() {
		return fmt.Errorf("the request goes on after its deadline")
	}
	for _, a := range s.sender.attempts {
		if a.ctx.Err() == nil {
			return fmt.Errorf("attempt %d at %s has not been ended", a.number, a.upstream)
		}
		if a.begun && !a.closed.Load() && !a.canceledEarly() {
			return fmt.Errorf("the answer of attempt %d has not been closed", a.number)
		}
	}
	for i := range s.upstreams {
		if id := fmt.Sprint("u", i); s.placer.InFlight(id) != 0 {
			return fmt.Errorf("%d requests are still counted at %s", s.placer.InFlight(id), id)
		}
	}
	if n := s.exchanger.Waiting(); n != 0 {
		return fmt.Errorf("%d requests still wait", n)
	}
	if s.outcome.Attempts != len(s.sender.attempts) {
		return fmt.Errorf("%d attempts are recorded, %d were sent", s.outcome.Attempts, len(s.sender.attempts))
	}
	return nil
}

// canceledEarly reports whether the attempt was canceled before its answer was taken.
func (a *steppedAttempt) canceledEarly() bool { return len(a.status) == 1 }

// canceled returns the numbers of the attempts that the host ended before their upstreams did.
func (s *steppedRequest) canceled() []int {
	out := []int{}
	for _, a := range s.sender.attempts {
		if !a.over {
			out = append(out, a.number)
		}
	}
	return out
}
