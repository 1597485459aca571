// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/controller"
	"amaranthgate.example/amaranthgate/logger"
)

// eventQueue is the length of the queue before the control goroutine.
const eventQueue = 8192

// loop is the control goroutine and what it hands out.
type loop struct {
	host   *Host
	node   *controller.Node
	events chan controller.Event
	calls  chan func(now time.Time, n *controller.Node)
	ctx    context.Context

	followers map[string]context.CancelFunc // followers is used by the control goroutine only.

	mu        sync.Mutex
	claims    map[string]chan claimer.Settled
	published map[string]chan configurer.Result
}

func newLoop(ctx context.Context, h *Host, n *controller.Node) *loop {
	return &loop{
		host:      h,
		node:      n,
		events:    make(chan controller.Event, eventQueue),
		calls:     make(chan func(time.Time, *controller.Node)),
		ctx:       ctx,
		followers: make(map[string]context.CancelFunc),
		claims:    make(map[string]chan claimer.Settled),
		published: make(map[string]chan configurer.Result),
	}
}

// post hands an event to the control goroutine.
func (l *loop) post(ev controller.Event) {
	select {
	case l.events <- ev:
	case <-l.ctx.Done():
	}
}

// call runs f on the control goroutine and waits for it. It reports false when
// the loop has ended.
func (l *loop) call(f func(now time.Time, n *controller.Node)) bool {
	done := make(chan struct{})
	select {
	case l.calls <- func(now time.Time, n *controller.Node) { defer close(done); f(now, n) }:
		<-done
		return true
	case <-l.ctx.Done():
		return false
	}
}

// run is the control goroutine.
func (l *loop) run() {
	tm := l.host.timer
	l.carryOut(l.node.Start(tm.Now()))
	wake := make(chan struct{}, 1)
	for {
		cancel := tm.After(l.node.Due(tm.Now()), func(time.Time) {
			select {
			case wake <- struct{}{}:
			default:
			}
		})
		select {
		case ev := <-l.events:
			l.carryOut(l.node.Handle(tm.Now(), ev))
		case f := <-l.calls:
			f(tm.Now(), l.node)
		case <-wake:
			l.carryOut(l.node.Handle(tm.Now(), controller.Tick{}))
		case <-l.ctx.Done():
			cancel()
			return
		}
		cancel()
		l.backlog()
	}
}

// backlog handles the events that have come meanwhile without arming the timer
// for each.
func (l *loop) backlog() {
	for range 64 {
		select {
		case ev := <-l.events:
			l.carryOut(l.node.Handle(l.host.timer.Now(), ev))
		default:
			return
		}
	}
}

// carryOut does what the node wants.
func (l *loop) carryOut(actions []controller.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case controller.Append:
			go l.append(a)
		case controller.Send:
			if addr := l.node.PeerAddress(a.To); addr != "" {
				l.host.messenger.Send(a.To, addr, a.Message)
			}
		case controller.Follow:
			l.follow(a)
		case controller.Unfollow:
			l.unfollow(a.Stream)
		case controller.Settle:
			l.settle(a.Settled)
		case controller.Published:
			l.publishedResult(a.Result)
		case controller.SetLimit:
			l.host.limiter.Configure(l.host.timer.Now(), a.Workspace, a.Limit)
			l.host.urger.changed(a.Workspace)
		case controller.SendOrder:
			go l.host.issue(a)
		case controller.CacheChanged:
			l.host.knowledge.keptChanged(a)
		case controller.PlacementsLearned:
			l.host.knowledge.learned(l.host.timer.Now(), a.Placements)
		case controller.UpstreamRestarted:
			l.host.knowledge.restarted(a.Upstream)
		case controller.ViewChanged:
			l.host.viewChanged(l.node.View())
		}
	}
}

func (l *loop) append(a controller.Append) {
	_, err := l.host.log.Append(l.ctx, a.Stream, a.Record.Encode())
	if err != nil {
		l.host.logger.Warn().Str("Stream", a.Stream).Uint64("Sequence", a.Record.Sequence).Err(err).Msg(logger.AppendUnanswered)
	}
	l.post(controller.AppendDone{Stream: a.Stream, Sequence: a.Record.Sequence, Err: err})
}

// Bounds of reading the log.
const (
	readLimit = 512
	readWait  = 2 * time.Second // readWait is the mean wait for new records.
	readPause = 100 * time.Millisecond
)

func (l *loop) follow(a controller.Follow) {
	l.unfollow(a.Stream)
	ctx, cancel := context.WithCancel(l.ctx)
	l.followers[a.Stream] = cancel
	go l.read(ctx, a.Stream, a.From)
}

func (l *loop) unfollow(stream string) {
	if cancel := l.followers[stream]; cancel != nil {
		cancel()
		delete(l.followers, stream)
	}
}

// read follows a stream for as long as ctx lives.
func (l *loop) read(ctx context.Context, stream string, from uint64) {
	wait := time.Duration(0) // the first read tells where the stream ends
	for ctx.Err() == nil {
		began := l.host.timer.Now()
		page, err := l.host.log.Read(ctx, stream, from, readLimit, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.post(controller.LogFailed{Stream: stream})
			pause(ctx, readPause)
			wait = 0
			continue
		}
		// Hosts that read a change together must not wait in step for ever: one
		// of them shall be about to read when the log is slow.
		wait = readWait/2 + time.Duration(rand.Int64N(int64(readWait)))
		if page.Earliest > from {
			from = page.Earliest
		}
		if n := len(page.Records); n > 0 {
			from = page.Records[n-1].Offset + 1
		}
		l.post(controller.LogRead{Stream: stream, Page: page, Began: began})
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (l *loop) settle(s claimer.Settled) {
	l.mu.Lock()
	ch := l.claims[s.Nonce]
	delete(l.claims, s.Nonce)
	l.mu.Unlock()
	if ch != nil {
		ch <- s
	}
}

// Claim implements server.Claims.
func (l *loop) Claim(ctx context.Context, r claimer.Request, deadline time.Time) claimer.Settled {
	ch := make(chan claimer.Settled, 1)
	l.mu.Lock()
	l.claims[r.Nonce] = ch
	l.mu.Unlock()
	l.post(controller.ClaimStarted{Request: r, Deadline: deadline})
	select {
	case s := <-ch:
		return s
	case <-ctx.Done():
	case <-l.ctx.Done():
		return claimer.Settled{Nonce: r.Nonce, Verdict: claimer.VerdictUnavailable}
	}
	l.post(controller.ClaimAbandoned{Nonce: r.Nonce})
	var s claimer.Settled
	select {
	case s = <-ch:
	case <-l.ctx.Done():
		return claimer.Settled{Nonce: r.Nonce, Verdict: claimer.VerdictUnavailable}
	}
	if s.Verdict == claimer.VerdictWon { // nothing was dispatched and nothing will be
		l.Finish(claimer.Outcome{Key: r.Key, Nonce: r.Nonce, State: claimer.StateNotRun})
		s.Verdict = claimer.VerdictUnavailable
	}
	return s
}

// Finish implements server.Claims.
func (l *loop) Finish(out claimer.Outcome) { l.post(controller.ClaimFinished{Outcome: out}) }

func (l *loop) publishedResult(r configurer.Result) {
	l.mu.Lock()
	ch := l.published[r.ID]
	delete(l.published, r.ID)
	l.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

// Publish publishes a change and waits until it is read back. It reports false
// if that did not happen before ctx ended; what became of the change is then
// not known yet.
func (l *loop) Publish(ctx context.Context, d configurer.Delta) (configurer.Result, bool) {
	ch := make(chan configurer.Result, 1)
	l.mu.Lock()
	l.published[d.ID] = ch
	l.mu.Unlock()
	l.post(controller.ChangePublished{Delta: d})
	select {
	case r := <-ch:
		return r, true
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	delete(l.published, d.ID)
	l.mu.Unlock()
	return configurer.Result{}, false
}
