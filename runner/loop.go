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

// eventQueueLength is the capacity of the control goroutine's event queue.
const eventQueueLength = 8192

// loop is the control goroutine and the callers that wait for it.
type loop struct {
	host   *Host
	node   *controller.Node
	events chan controller.Event
	calls  chan func(now time.Time, n *controller.Node)
	ctx    context.Context

	stopReading map[string]context.CancelFunc // stopReading is used by the control goroutine only.

	mu             sync.Mutex
	claimWaiters   map[string]chan claimer.Settlement
	publishWaiters map[string]chan configurer.Result
}

func newLoop(ctx context.Context, h *Host, n *controller.Node) *loop {
	return &loop{
		host:           h,
		node:           n,
		events:         make(chan controller.Event, eventQueueLength),
		calls:          make(chan func(time.Time, *controller.Node)),
		ctx:            ctx,
		stopReading:    make(map[string]context.CancelFunc),
		claimWaiters:   make(map[string]chan claimer.Settlement),
		publishWaiters: make(map[string]chan configurer.Result),
	}
}

// post sends an event to the control goroutine.
func (l *loop) post(ev controller.Event) {
	select {
	case l.events <- ev:
	case <-l.ctx.Done():
	}
}

// do runs f on the control goroutine and waits for it. It reports false if the loop
// has ended.
func (l *loop) do(f func(now time.Time, n *controller.Node)) bool {
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
	l.execute(l.node.Start(tm.Now()))
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
			l.execute(l.node.Handle(tm.Now(), ev))
		case f := <-l.calls:
			f(tm.Now(), l.node)
		case <-wake:
			l.execute(l.node.Handle(tm.Now(), controller.Tick{}))
		case <-l.ctx.Done():
			cancel()
			return
		}
		cancel()
		l.drainEvents()
	}
}

// drainEvents handles queued events in a batch, without arming the timer for each.
func (l *loop) drainEvents() {
	for range 64 {
		select {
		case ev := <-l.events:
			l.execute(l.node.Handle(l.host.timer.Now(), ev))
		default:
			return
		}
	}
}

// execute executes the node's actions.
func (l *loop) execute(actions []controller.Action) {
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
			l.resolveClaim(a.Settled)
		case controller.Published:
			l.resolvePublish(a.Result)
		case controller.SetLimit:
			l.host.limiter.Configure(l.host.timer.Now(), a.Workspace, a.Limit)
			l.host.shares.limitSet(a.Workspace)
		case controller.SendOrder:
			go l.host.issueOrder(a)
		case controller.CacheChanged:
			l.host.cacheIndex.applyChanges(a)
		case controller.PlacementsLearned:
			l.host.cacheIndex.addPlacements(l.host.timer.Now(), a.Placements)
		case controller.UpstreamRestarted:
			l.host.cacheIndex.reset(a.Upstream)
		case controller.ViewChanged:
			l.host.publishView(l.node.View())
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

// Limits of reads of the log.
const (
	readLimit      = 512
	readWait       = 2 * time.Second // readWait is the mean duration of a long poll for new records.
	readRetryDelay = 100 * time.Millisecond
)

func (l *loop) follow(a controller.Follow) {
	l.unfollow(a.Stream)
	ctx, cancel := context.WithCancel(l.ctx)
	l.stopReading[a.Stream] = cancel
	go l.readStream(ctx, a.Stream, a.From)
}

func (l *loop) unfollow(stream string) {
	if cancel := l.stopReading[stream]; cancel != nil {
		cancel()
		delete(l.stopReading, stream)
	}
}

// readStream reads a stream until ctx ends.
func (l *loop) readStream(ctx context.Context, stream string, from uint64) {
	wait := time.Duration(0) // the first read returns at once, with the end of the stream
	for ctx.Err() == nil {
		began := l.host.timer.Now()
		page, err := l.host.log.Read(ctx, stream, from, readLimit, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.post(controller.LogFailed{Stream: stream})
			sleep(ctx, readRetryDelay)
			wait = 0
			continue
		}
		// Jitter keeps the long polls of hosts that read the same record from
		// staying synchronized.
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (l *loop) resolveClaim(s claimer.Settlement) {
	l.mu.Lock()
	ch := l.claimWaiters[s.Nonce]
	delete(l.claimWaiters, s.Nonce)
	l.mu.Unlock()
	if ch != nil {
		ch <- s
	}
}

// Claim implements server.Claims.
func (l *loop) Claim(ctx context.Context, r claimer.Request, deadline time.Time) claimer.Settlement {
	ch := make(chan claimer.Settlement, 1)
	l.mu.Lock()
	l.claimWaiters[r.Nonce] = ch
	l.mu.Unlock()
	l.post(controller.ClaimStarted{Request: r, Deadline: deadline})
	select {
	case settled := <-ch:
		return settled
	case <-ctx.Done():
	case <-l.ctx.Done():
		return claimer.Settlement{Nonce: r.Nonce, Verdict: claimer.VerdictUnavailable}
	}
	l.post(controller.ClaimAbandoned{Nonce: r.Nonce})
	var settled claimer.Settlement
	select {
	case settled = <-ch:
	case <-l.ctx.Done():
		return claimer.Settlement{Nonce: r.Nonce, Verdict: claimer.VerdictUnavailable}
	}
	if settled.Verdict == claimer.VerdictWon { // the request was not and will not be sent
		l.Finish(claimer.Outcome{Key: r.Key, Nonce: r.Nonce, State: claimer.StateNotRun})
		settled.Verdict = claimer.VerdictUnavailable
	}
	return settled
}

// Finish implements server.Claims.
func (l *loop) Finish(out claimer.Outcome) { l.post(controller.ClaimFinished{Outcome: out}) }

func (l *loop) resolvePublish(r configurer.Result) {
	l.mu.Lock()
	ch := l.publishWaiters[r.ID]
	delete(l.publishWaiters, r.ID)
	l.mu.Unlock()
	if ch != nil {
		ch <- r
	}
}

// Publish publishes a change and waits until it is read back from the log. It
// reports false if ctx ended before; the change may still be applied.
func (l *loop) Publish(ctx context.Context, d configurer.Delta) (configurer.Result, bool) {
	ch := make(chan configurer.Result, 1)
	l.mu.Lock()
	l.publishWaiters[d.ID] = ch
	l.mu.Unlock()
	l.post(controller.ChangePublished{Delta: d})
	select {
	case r := <-ch:
		return r, true
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	delete(l.publishWaiters, d.ID)
	l.mu.Unlock()
	return configurer.Result{}, false
}
