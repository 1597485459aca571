// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"slices"
	"sync"
	"time"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/tracker"
)

const (
	// addressTTLFactor is how many times the TTL some callers cache an address.
	addressTTLFactor = 3
	// maxEarlyShare bounds the part of a drain in which callers may not have heard of it.
	maxEarlyShare = 0.5
	// drainIdleTime is how long no request may have arrived before the host ends.
	drainIdleTime     = 500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// endTime is the part of a drain after the end of the requests in progress.
	endTime = 700 * time.Millisecond
	// refusalTime is the part of endTime in which callers get refusals of requests that have not ended.
	refusalTime = 300 * time.Millisecond
	// closeTime is the part of endTime in which connections are closed.
	closeTime = 100 * time.Millisecond
	// lastTime is how long requests may go on after an operator has ended the drain, or connections of which no request has been read.
	lastTime = 400 * time.Millisecond
)

// drainCause is why a drain has ended.
type drainCause string

const (
	drainIdle     drainCause = "Idle"     // drainIdle means that nothing was left and no request arrived any more.
	drainAlone    drainCause = "Alone"    // drainAlone means that no other host takes requests and only brief ones were left.
	drainDeadline drainCause = "Deadline" // drainDeadline means that the time of the drain was over.
	drainForced   drainCause = "Forced"   // drainForced means that an operator ended it.
)

// Drain removes this host from the directory and keeps serving requests until callers have had time to move to other
// hosts, or until ctx ends. Then it takes no more, and ends once those in progress have their answers: what it has taken
// is cut only by the deadline of ctx, which bounds the drain, or by the cancellation of ctx. It returns the number of
// requests that were cut.
func (h *Host) Drain(ctx context.Context) int {
	start := h.opts.Timer.Now()
	h.beginDrain(ctx, start)
	cause := h.awaitCallers(ctx)
	h.closing.Store(true)
	cause = h.awaitAnswers(ctx, cause)
	cut, limit := 0, lastTime
	if cause == drainDeadline || cause == drainForced {
		cut, limit = h.endRequests(cause), closeTime
	}
	h.closeServers(limit)
	h.flushOrigins()
	h.messenger.Close()
	h.cancel()
	h.log.Info().Int("Cut", cut).Str("Cause", string(cause)).Dur("Took", h.opts.Timer.Now().Sub(start)).Msg(logger.Stopped)
	return cut
}

// beginDrain plans the drain and tells other hosts of it.
func (h *Host) beginDrain(ctx context.Context, start time.Time) {
	var left time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	d := PlanDrain(start, left, h.opts.Settings.Timing.AddressTTL.Std())
	h.drain.Store(&d)
	h.drainBegan.Store(&start)
	h.leaving.Store(true)
	h.post(DrainStarted{})
	current, _ := h.draining()
	ev := h.log.Info().Int64("Open", h.open.Load()).Bool("Alone", current.Alone).Dur("Refuses", d.Refuses.Sub(start))
	if !d.End.IsZero() {
		ev.Dur("Ends", d.End.Sub(start))
	}
	ev.Msg(logger.Draining)
}

// awaitCallers serves requests until no more arrive, or none is left for which a host that is alone waits.
func (h *Host) awaitCallers(ctx context.Context) drainCause {
	for ctx.Err() == nil {
		now := h.opts.Timer.Now()
		d, _ := h.draining()
		p := DrainProgress{Drain: d, Arrived: h.started.Add(time.Duration(h.lastRequest.Load())), Open: h.open.Load(), Brief: h.exchanger.Brief(), Reading: h.inProgress()}
		switch {
		case p.Over(now):
			return drainDeadline
		case p.Idle(now):
			return drainIdle
		case p.OnlyBrief(now):
			return drainAlone
		}
		pause(ctx, drainPollInterval)
	}
	return endCause(ctx)
}

// awaitAnswers waits until all requests in progress have their answers. It returns cause, or why it has not waited for all.
func (h *Host) awaitAnswers(ctx context.Context, cause drainCause) drainCause {
	for h.inProgress() {
		switch {
		case ctx.Err() != nil:
			return endCause(ctx)
		case over(*h.drain.Load(), h.opts.Timer.Now()):
			return drainDeadline
		}
		pause(ctx, drainPollInterval)
	}
	return cause
}

// awaitAnswersFor waits for the same, for a time at most.
func (h *Host) awaitAnswersFor(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for ctx.Err() == nil && h.inProgress() {
		pause(ctx, drainPollInterval)
	}
}

// inProgress reports whether a request has been read that has no whole answer, or is being read.
func (h *Host) inProgress() bool { return h.open.Load() > 0 || h.requests.open() > 0 }

// over reports whether requests in progress are to be ended.
func over(d exchanger.Drain, now time.Time) bool { return !d.End.IsZero() && !now.Before(d.End) }

// endCause returns why the end of ctx ends a drain.
func endCause(ctx context.Context) drainCause {
	if ctx.Err() == context.DeadlineExceeded {
		return drainDeadline
	}
	return drainForced
}

// draining reports whether this host drains.
func (h *Host) draining() (exchanger.Drain, bool) {
	drain := h.drain.Load()
	if drain == nil {
		return exchanger.Drain{}, false
	}
	self := h.opts.Settings.Host
	others := slices.ContainsFunc(*h.hosts.Load(), func(r tracker.HostRecord) bool {
		return r.Host != self && r.State == tracker.HostLive && r.Ready
	})
	d := *drain
	d.Alone, d.Closing = !others, h.closing.Load()
	return d, true
}

// endRequests ends the requests in progress, which get their refusals, and returns their number.
func (h *Host) endRequests(cause drainCause) int {
	h.exchanger.Close()
	if cause == drainForced {
		h.awaitAnswersFor(lastTime)
	}
	cut := h.open.Load()
	h.exchanger.Stop()
	h.awaitAnswersFor(refusalTime)
	return int(cut)
}

// closeServers closes listeners and connections. Requests that have arrived as the listeners are closed get their refusals
// within the limit.
func (h *Host) closeServers(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var closed sync.WaitGroup
	for _, s := range h.servers {
		closed.Go(func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close()
			}
		})
	}
	closed.Wait()
}
