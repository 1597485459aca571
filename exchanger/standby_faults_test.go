// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package exchanger

import (
	"context"
	"io"
	"slices"
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

// stepAnswer is an answer whose body arrives in steps.
type stepAnswer struct {
	ctx    context.Context
	status int
	steps  []step
}

// step is a part of a body that arrives after a time, or the error that ends it.
type step struct {
	after time.Duration
	text  string
	err   error
}

func (a *stepAnswer) Status() int                { return a.status }
func (a *stepAnswer) Framing() forwarder.Framing { return forwarder.FramingChunks }
func (a *stepAnswer) Close()                     {}
func (a *stepAnswer) Read(b []byte) (int, error) {
	if len(a.steps) == 0 {
		<-a.ctx.Done()
		return 0, a.ctx.Err()
	}
	s := &a.steps[0]
	select {
	case <-time.After(s.after):
	case <-a.ctx.Done():
		return 0, a.ctx.Err()
	}
	s.after = 0
	n := copy(b, s.text)
	s.text = s.text[n:]
	err := s.err
	if s.text == "" {
		a.steps = a.steps[1:]
	} else {
		err = nil
	}
	return n, err
}

// attemptsSender makes the n-th attempt by the n-th function.
type attemptsSender struct {
	mu       sync.Mutex
	ids      []string
	attempts []func(ctx context.Context) (Answer, *forwarder.Failure)
}

func (s *attemptsSender) Send(ctx context.Context, _ *Request, d *SendOptions) (Answer, *forwarder.Failure) {
	s.mu.Lock()
	n := len(s.ids)
	s.ids = append(s.ids, d.Upstream.ID)
	s.mu.Unlock()
	if n >= len(s.attempts) {
		return hang(ctx)
	}
	return s.attempts[n](ctx)
}

func hang(ctx context.Context) (Answer, *forwarder.Failure) {
	<-ctx.Done()
	return nil, &forwarder.Failure{Cause: forwarder.CauseCallerGone, Ran: forwarder.RanUnknown}
}

func answers(status int, steps ...step) func(ctx context.Context) (Answer, *forwarder.Failure) {
	return func(ctx context.Context) (Answer, *forwarder.Failure) {
		return &stepAnswer{ctx: ctx, status: status, steps: slices.Clone(steps)}, nil
	}
}

func fails(after time.Duration, f forwarder.Failure) func(ctx context.Context) (Answer, *forwarder.Failure) {
	return func(ctx context.Context) (Answer, *forwarder.Failure) {
		select {
		case <-time.After(after):
			return nil, &f
		case <-ctx.Done():
			return hang(ctx)
		}
	}
}

type faultCase struct {
	kind      string
	upstreams int
	attempts  int
	timeout   time.Duration
	hold      bool
	noBudget  bool
	slow      time.Duration                                      // slow is the time that the caller takes for its first write.
	suspected *uint64                                            // suspected receives the number of suspicions; optional.
	busy      bool                                               // busy keeps other requests at all upstreams that get answers all the time.
	change    func(list []follower.Upstream) []follower.Upstream // change changes the upstreams after 300 ms; optional.
	limits    placer.RateLimits
	sender    *attemptsSender
}

// play handles one request with a placer that is watched in real time. It returns false if the request has not ended
// three seconds after its deadline.
func (c *faultCase) play(t *testing.T, ctx context.Context) (*recorder, Outcome, bool) {
	view := testView(c.kind)
	route, _ := view.Table.Route("h", "/r/x")
	r := *route
	r.MaxAttempts, r.Timeout = c.attempts, c.timeout
	view.Table = matcher.New(matcher.Parts{Routes: []matcher.Route{r}, Services: []matcher.Service{{Name: "s"}}, Workspaces: []matcher.Workspace{{Name: "w", Keys: []string{"key"}}}})
	var list []follower.Upstream
	for _, id := range []string{"u0", "u1", "u2"}[:c.upstreams] {
		list = append(list, follower.Upstream{ID: id, Service: "s", Standing: follower.StandingReady, Slots: 2})
	}
	view.Upstreams = follower.ListOf(list...)
	var views atomic.Pointer[follower.View]
	views.Store(view)
	p := placer.New(placer.Options{HoldFull: c.hold, RateLimits: c.limits})
	p.Update(view)
	budget := retrier.NewSharedBudgets(retrier.Allowance{Share: 1, Slack: 100})
	if c.noBudget {
		budget = retrier.NewSharedBudgets(retrier.Allowance{})
	}
	for range 20 {
		budget.Request("s")
	}
	var others []*placer.Ticket
	if c.busy {
		for _, u := range list {
			var exclude []string
			for _, o := range list {
				if o.ID != u.ID {
					exclude = append(exclude, o.ID)
				}
			}
			choice, verdict := p.Choose(time.Now(), &placer.PlacementRequest{Service: "s", Exclude: exclude})
			assert.Equal(t, verdict, placer.Chosen)
			others = append(others, choice.Ticket)
		}
	}
	x := New(Options{Views: &views, Placer: p, Sender: c.sender, Budget: budget, Timer: timer.NewSystem(), HoldFull: c.hold})
	watching, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for watching.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			for _, tk := range others {
				tk.RecordActivity(time.Now())
			}
			p.Watch(time.Now())
			x.Wake(time.Now())
		}
	}()
	if c.change != nil {
		time.AfterFunc(300*time.Millisecond, func() {
			changed := *view
			changed.Upstreams = follower.ListOf(c.change(slices.Clone(list))...)
			p.Update(&changed)
		})
	}
	caller := &recorder{}
	responder := &slowResponder{recorder: caller, slow: c.slow}
	ended := make(chan Outcome, 1)
	go func() {
		ended <- x.Handle(ctx, &Request{ID: "1", Start: time.Now(), Method: "POST", Host: "h", Path: "/r/x", Key: "key"}, responder)
	}()
	select {
	case o := <-ended:
		if c.suspected != nil {
			*c.suspected = p.Suspicions()
		}
		return caller, o, true
	case <-time.After(c.timeout + 3*time.Second):
		return nil, Outcome{}, false
	}
}

// TestStandbyTakeoverObeysDeadline checks that a request ends at its deadline if the upstream that took over is silent.
func TestStandbyTakeoverObeysDeadline(t *testing.T) {
	for _, kind := range []string{"Idempotent", "Resumable"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			c := faultCase{kind: kind, upstreams: 2, attempts: 2, timeout: 2 * time.Second, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
				hang, answers(200),
			}}}
			_, _, ended := c.play(t, t.Context())
			assert.Assert(t, ended, "the request is held beyond its deadline")
		})
	}
}

// TestStandbyTakeoverEndsWhenCallerLeaves is the same for a caller that leaves.
func TestStandbyTakeoverEndsWhenCallerLeaves(t *testing.T) {
	t.Parallel()
	c := faultCase{kind: "Resumable", upstreams: 2, attempts: 2, timeout: 3 * time.Second, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
		hang, answers(200),
	}}}
	ctx, leave := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer leave()
	_, _, ended := c.play(t, ctx)
	assert.Assert(t, ended, "the request goes on without its caller")
}

// TestStandbyLongAnswer checks that a long answer of which the caller has a part is not broken off in favor of another
// upstream, whether it arrives steadily or with a pause.
func TestStandbyLongAnswer(t *testing.T) {
	piece := strings.Repeat("x", 16<<10)
	steady := []step{{text: strings.Repeat(piece, 20)}}
	for range 60 {
		steady = append(steady, step{after: 50 * time.Millisecond, text: piece})
	}
	steady = append(steady, step{err: io.EOF})
	paused := []step{{text: strings.Repeat(piece, 20)}, {after: 1500 * time.Millisecond, text: piece}, {err: io.EOF}}
	for name, steps := range map[string][]step{"steady": steady, "steady, busy upstream": steady, "paused": paused} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want := 0
			for _, s := range steps {
				want += len(s.text)
			}
			c := faultCase{kind: "Idempotent", upstreams: 2, attempts: 2, timeout: 8 * time.Second, busy: strings.Contains(name, "busy"), sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
				answers(200, steps...), answers(200, step{text: "other", err: io.EOF}),
			}}}
			caller, _, ended := c.play(t, t.Context())
			assert.Assert(t, ended)
			assert.Check(t, !caller.aborted, "the answer was broken off")
			assert.Check(t, caller.heads == 1, "%d headers were written", caller.heads)
			assert.Check(t, caller.body.Len() == want, "%d of %d bytes", caller.body.Len(), want)
			assert.Check(t, len(c.sender.ids) == 1 || name == "paused", "a steady answer was taken for silent: %v", c.sender.ids)
		})
	}
}

// TestStandbySteadyShortAnswer checks that an answer that arrives steadily is not taken for silent.
func TestStandbySteadyShortAnswer(t *testing.T) {
	t.Parallel()
	var steps []step
	for range 40 {
		steps = append(steps, step{after: 50 * time.Millisecond, text: "x"})
	}
	steps = append(steps, step{err: io.EOF})
	c := faultCase{kind: "Idempotent", upstreams: 2, attempts: 2, timeout: 8 * time.Second, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
		answers(200, steps...), answers(200, step{text: "other", err: io.EOF}),
	}}}
	_, _, ended := c.play(t, t.Context())
	assert.Assert(t, ended)
	assert.Equal(t, len(c.sender.ids), 1, "a steady answer was taken for silent")
}

// TestStandbyTakeoverWithoutEvent checks that a stream whose upstream pauses is not given up for another one that breaks
// before its first event, or that does not resume it.
func TestStandbyTakeoverWithoutEvent(t *testing.T) {
	for name, second := range map[string]func(context.Context) (Answer, *forwarder.Failure){
		"header and end of connection": answers(200, step{after: 100 * time.Millisecond, err: errCut}),
		"404":                          answers(404, step{text: "unknown", err: io.EOF}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := faultCase{kind: "Resumable", upstreams: 2, attempts: 2, timeout: 6 * time.Second, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
				answers(200, step{text: events(0, 2)}, step{after: 1500 * time.Millisecond, text: events(2, 5)}, step{err: io.EOF}), second,
			}}}
			caller, o, ended := c.play(t, t.Context())
			assert.Assert(t, ended)
			assert.Check(t, !caller.aborted, "the stream was broken off: %s", o.Reason)
			assert.Check(t, caller.heads == 1, "%d headers were written", caller.heads)
			assert.Equal(t, ids(caller.body.String()), "1 2 3 4 5")
		})
	}
}

// TestStandbyTwoSilentUpstreams checks that a third upstream is asked if the first two are silent.
func TestStandbyTwoSilentUpstreams(t *testing.T) {
	t.Parallel()
	c := faultCase{kind: "Idempotent", upstreams: 3, attempts: 3, timeout: 5 * time.Second, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
		hang, hang, answers(200, step{text: "whole", err: io.EOF}),
	}}}
	caller, _, ended := c.play(t, t.Context())
	assert.Assert(t, ended)
	assert.Equal(t, caller.status, 200)
}

// TestStandbyHeldUpstream checks that a request that its first upstream refuses as full after a silence waits for that
// one, and not for another one that broke.
func TestStandbyHeldUpstream(t *testing.T) {
	t.Parallel()
	c := faultCase{kind: "Idempotent", upstreams: 2, attempts: 4, timeout: 5 * time.Second, hold: true, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
		fails(time.Second, forwarder.Failure{Cause: forwarder.CauseRefused, Ran: forwarder.RanNo, Status: 503}),
		fails(0, forwarder.Failure{Cause: forwarder.CauseLost, Ran: forwarder.RanUnknown}),
		answers(200, step{text: "whole", err: io.EOF}),
	}}}
	_, _, ended := c.play(t, t.Context())
	assert.Assert(t, ended)
	assert.Assert(t, len(c.sender.ids) >= 3, "%v", c.sender.ids)
	assert.Equal(t, c.sender.ids[2], c.sender.ids[0], "%v", c.sender.ids)
}

// countingLimits count the allowances taken.
type countingLimits struct{ taken atomic.Int32 }

func (l *countingLimits) Active() bool                        { return true }
func (l *countingLimits) PerSecond(string) float64            { return 100 }
func (l *countingLimits) Allows(time.Time, string) bool       { return true }
func (l *countingLimits) Take(time.Time, string) bool         { l.taken.Add(1); return true }
func (l *countingLimits) Want(now time.Time, instance string) {}

// TestStandbyAllowancesWithoutBudget checks that a request which may not be retried takes no allowances of other
// upstreams' rate limits.
func TestStandbyAllowancesWithoutBudget(t *testing.T) {
	t.Parallel()
	limits := &countingLimits{}
	c := faultCase{kind: "Idempotent", upstreams: 2, attempts: 2, timeout: 4 * time.Second, noBudget: true, limits: limits, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
		answers(200, step{after: 2 * time.Second, text: "whole", err: io.EOF}),
	}}}
	_, _, ended := c.play(t, t.Context())
	assert.Assert(t, ended)
	assert.Equal(t, len(c.sender.ids), 1)
	assert.Equal(t, int(limits.taken.Load()), 1)
}

// TestStandbyErrorOfStandby checks that the error of another upstream is the answer if the silent one fails.
func TestStandbyErrorOfStandby(t *testing.T) {
	t.Parallel()
	c := faultCase{kind: "Idempotent", upstreams: 2, attempts: 2, timeout: 4 * time.Second, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
		fails(1200*time.Millisecond, forwarder.Failure{Cause: forwarder.CauseLost, Ran: forwarder.RanUnknown}),
		answers(500, step{text: "failed", err: io.EOF}),
	}}}
	caller, _, ended := c.play(t, t.Context())
	assert.Assert(t, ended)
	assert.Equal(t, caller.status, 500)
}

// TestStandbyChangedInstance checks that a request goes to a third upstream if its first one has been replaced by another
// instance, or is no longer listed, and the second one refuses it.
func TestStandbyChangedInstance(t *testing.T) {
	for name, change := range map[string]func(list []follower.Upstream) []follower.Upstream{
		"replaced": func(list []follower.Upstream) []follower.Upstream {
			for i := range list {
				list[i].Born++
			}
			return list
		},
		"no longer listed": func(list []follower.Upstream) []follower.Upstream { return list[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := faultCase{kind: "Idempotent", upstreams: 3, attempts: 3, timeout: 6 * time.Second, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
				hang, fails(0, forwarder.Failure{Cause: forwarder.CauseRefused, Ran: forwarder.RanNo}), answers(200, step{text: "whole", err: io.EOF}),
			}}}
			c.change = func(list []follower.Upstream) []follower.Upstream {
				if first := c.sender.first(); name == "no longer listed" {
					return slices.DeleteFunc(list, func(u follower.Upstream) bool { return u.ID == first })
				}
				return change(list)
			}
			caller, _, ended := c.play(t, t.Context())
			assert.Assert(t, ended)
			assert.Equal(t, caller.status, 200, "%v", c.sender.ids)
		})
	}
}

// first returns the upstream of the first attempt.
func (s *attemptsSender) first() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[0]
}

// slowResponder is a recorder whose first write takes a time.
type slowResponder struct {
	*recorder
	slow time.Duration
}

func (r *slowResponder) Write(b []byte) error {
	time.Sleep(r.slow)
	r.slow = 0
	return r.recorder.Write(b)
}

// TestStandbySoundUpstreamIsNotSuspected checks that an upstream which sends steadily is not taken for silent, whether
// the host does not read because its caller does not, or the answer is no stream.
func TestStandbySoundUpstreamIsNotSuspected(t *testing.T) {
	var steady []step
	for range 40 {
		steady = append(steady, step{after: 50 * time.Millisecond, text: "x"})
	}
	steady = append(steady, step{err: io.EOF})
	for name, c := range map[string]faultCase{
		"slow caller": {kind: "Resumable", slow: 1500 * time.Millisecond, sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
			answers(200, step{text: events(0, 2)}, step{text: events(2, 5)}, step{err: io.EOF}),
		}}},
		"whole answer, at most once": {kind: "Once", sender: &attemptsSender{attempts: []func(context.Context) (Answer, *forwarder.Failure){
			answers(200, steady...),
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var suspected uint64
			c.upstreams, c.attempts, c.timeout, c.suspected = 2, 2, 6*time.Second, &suspected
			caller, _, ended := c.play(t, t.Context())
			assert.Assert(t, ended)
			assert.Equal(t, caller.status, 200)
			assert.Equal(t, suspected, uint64(0))
		})
	}
}
