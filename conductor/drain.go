// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/tracker"
)

const (
	// addressTTLFactor is how many times the TTL some callers cache an address.
	addressTTLFactor = 3
	// drainIdleTime is how long no request may have arrived before the host ends.
	drainIdleTime     = 500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// closeTimeout is reserved for closing connections at the end of a drain.
	closeTimeout = 700 * time.Millisecond
	// refusalTime is the part of closeTimeout in which callers get refusals of requests that have not ended.
	refusalTime = 300 * time.Millisecond
)

// Drain removes this host from the directory and keeps serving requests until callers have had time
// to move to other hosts, or until ctx ends. It returns the number of requests that were cut.
func (h *Host) Drain(ctx context.Context) int {
	start := h.opts.Timer.Now()
	h.drainBegan.Store(&start)
	refuses := start.Add(addressTTLFactor * h.opts.Settings.Timing.AddressTTL.Std())
	if deadline, ok := ctx.Deadline(); ok {
		h.drain.Store(&exchanger.Drain{Refuses: refuses, End: start.Add(time.Until(deadline) - closeTimeout - refusalTime)})
	}
	h.leaving.Store(true)
	h.post(DrainStarted{})
	h.logDraining(start)
	minDrain := addressTTLFactor*h.opts.Settings.Timing.AddressTTL.Std() + drainIdleTime
	cause := drainForced
	for ctx.Err() == nil {
		now := h.opts.Timer.Now()
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < 2*closeTimeout {
			cause = drainOver
			break
		}
		idle := now.Sub(h.started)-time.Duration(h.lastRequest.Load()) > drainIdleTime
		if now.Sub(start) > minDrain && idle && h.open.Load() == 0 {
			cause = drainIdle
			break
		}
		if d, ok := h.draining(); ok && d.Alone && now.After(refuses) && h.open.Load() <= h.exchanger.Brief() {
			cause = drainAlone
			break
		}
		pause(ctx, drainPollInterval)
	}
	h.exchanger.Close()
	return h.stop(cause)
}

// drainCause is why a drain has ended.
type drainCause string

const (
	drainIdle   drainCause = "Idle"     // drainIdle means that nothing was left and no request arrived any more.
	drainAlone  drainCause = "Alone"    // drainAlone means that no other host takes requests and only brief ones were left.
	drainOver   drainCause = "Deadline" // drainOver means that the time of the drain was over.
	drainForced drainCause = "Forced"   // drainForced means that an operator ended it.
)

// logDraining logs the plan of the drain that has begun.
func (h *Host) logDraining(start time.Time) {
	ev := h.log.Info().Int64("Open", h.open.Load())
	if d, ok := h.draining(); ok {
		ev.Bool("Alone", d.Alone).Dur("Refuses", d.Refuses.Sub(start)).Dur("Ends", d.End.Sub(start))
	}
	ev.Msg(logger.Draining)
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
	d.Alone = !others
	return d, true
}

// stop closes listeners and idle connections, waits briefly for requests in flight, and ends the others. It returns
// their number.
func (h *Host) stop(cause drainCause) int {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout-flushTimeout)
	defer cancel()
	var cut atomic.Int64
	defer h.opts.Timer.After(closeTimeout-refusalTime, func(time.Time) {
		cut.Store(h.open.Load())
		h.exchanger.Stop()
	})()
	for _, s := range h.servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
	h.flushOrigins()
	h.messenger.Close()
	h.cancel()
	h.log.Info().Int64("Cut", cut.Load()).Str("Cause", string(cause)).
		Dur("Took", h.opts.Timer.Now().Sub(*h.drainBegan.Load())).Msg(logger.Stopped)
	return int(cut.Load())
}
