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
	// maxEarlyShare bounds the part of a drain in which all requests are admitted, as callers may still use cached addresses.
	maxEarlyShare = 0.4
	// drainIdleTime is how long no request may have arrived or ended before the host ends. Callers whose streams began
	// before the drain send their next request on the same connection.
	drainIdleTime     = 500 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// endReserve is the part of a drain after the end of the requests in progress, in which callers get refusals,
	// queued messages are sent and connections are closed.
	endReserve = 900 * time.Millisecond
	// headerWait is how long after Drain.Refuses a host that is alone waits for headers.
	headerWait = 2 * time.Second
	// refusalTime is the part of endReserve in which callers get refusals of requests that have not ended.
	refusalTime = 300 * time.Millisecond
	// closeTimeout is the part of endReserve in which connections are closed.
	closeTimeout = 100 * time.Millisecond
	// forcedWait is how long requests may go on after an operator has ended the drain.
	forcedWait = 400 * time.Millisecond
	// shutdownTime bounds the time for requests that are being refused as the listeners are closed.
	shutdownTime = 400 * time.Millisecond
	// MaxClosing is how long a host that is alone refuses requests to end, before it takes requests again.
	MaxClosing = 400 * time.Millisecond
)

// drainCause is why a drain has ended.
type drainCause string

const (
	drainIdle     drainCause = "Idle"     // drainIdle means that nothing was left, and no request arrived for a time.
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
	cause := h.serveLast(ctx)
	cut, limit := 0, shutdownTime
	if cause == drainDeadline || cause == drainForced {
		cut, limit = h.endRequests(cause), closeTimeout
	}
	h.flushOrigins()
	h.closeServers(limit)
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

// serveLast serves requests until the host is to end. Then it takes no more, and those in progress have their answers
// unless the time of the drain is over or an operator ended it.
func (h *Host) serveLast(ctx context.Context) drainCause {
	free := h.opts.Timer.Now()
	for {
		cause := h.awaitCallers(ctx, &free)
		h.requests.refusing.Store(true)
		if cause, ok := h.awaitAnswers(ctx, cause); ok {
			return cause
		}
		h.requests.refusing.Store(false) // a request lasts longer than expected, and no other host takes requests meanwhile
	}
}

// awaitCallers serves requests until no more arrive, or none is left for which a host that is alone waits. Free is the
// last time at which no request was being read and no answer written.
func (h *Host) awaitCallers(ctx context.Context, free *time.Time) drainCause {
	for ctx.Err() == nil {
		now := h.opts.Timer.Now()
		d, _ := h.draining()
		p := DrainProgress{Drain: d, Active: h.started.Add(time.Duration(h.lastActive.Load())), Open: h.open.Load(), Brief: h.exchanger.Brief(), Reading: h.inProgress()}
		if h.requests.running.Load() <= p.Open {
			*free = now
		}
		p.Slow = now.Sub(*free) > exchanger.BriefTime || h.requests.arriving.Load() > 0 && now.Before(d.Refuses.Add(headerWait))
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

// awaitAnswers waits until all requests in progress have their answers, but for those whose headers are being read, and
// refused ones, of which more may arrive all the time. It returns why the drain ends, which is cause unless it has not
// waited for all; false if it is to go on, since no other host takes requests and this one would refuse them for longer
// than MaxClosing.
func (h *Host) awaitAnswers(ctx context.Context, cause drainCause) (drainCause, bool) {
	for start := h.opts.Timer.Now(); ; pause(ctx, drainPollInterval) {
		now := h.opts.Timer.Now()
		running := h.exchanger.Taken() > 0 || h.requests.running.Load() > 0
		d, _ := h.draining()
		switch {
		case !running && (h.requests.lingering.Load() == 0 || d.Alone && now.Sub(start) > MaxClosing):
			return cause, true
		case ctx.Err() != nil:
			return endCause(ctx), true
		case over(d, now):
			return drainDeadline, true
		case d.Alone && running && now.Sub(start) > MaxClosing:
			return cause, false
		}
	}
}

// awaitAnswersFor waits until nothing is in progress, for a time at most.
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
	d.Alone, d.Closing = !others, h.requests.refusing.Load()
	return d, true
}

// endRequests ends the requests in progress, which get their refusals, and returns how many had to be ended. Those whose
// answers are being written are not counted.
func (h *Host) endRequests(cause drainCause) int {
	h.exchanger.Close()
	if cause == drainForced {
		h.awaitAnswersFor(forcedWait)
	}
	h.ending.Store(true)
	h.exchanger.Stop()
	h.awaitAnswersFor(refusalTime)
	return int(h.stopped.Load() + h.openBeforeEnd.Load())
}

// closeServers closes listeners and connections. Requests whose handlers run as the listeners are closed get their refusals
// within the limit; others that arrive then meet a closed connection, and have not run.
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
