// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"time"

	"amaranthgate.example/amaranthgate/logger"
)

// Figures of a graceful end.
const (
	// longKeepers is how many times the time to live some callers keep an answer.
	longKeepers = 3
	// quietTime is how long no request may have come before the host ends.
	quietTime = 500 * time.Millisecond
	drainPoll = 50 * time.Millisecond
	// closeTime is left for closing connections at the end of the grace.
	closeTime = 700 * time.Millisecond
)

// Drain takes this host out of the directory, serves those that still come, and
// ends when callers have had time to go elsewhere, or when ctx ends. It returns
// the number of requests that were cut.
func (h *Host) Drain(ctx context.Context) int {
	h.leaving.Store(true)
	h.post(DrainBegun{})
	begun := h.opts.Timer.Now()
	h.log.Info().Int64("Open", h.open.Load()).Msg(logger.Draining)
	least := longKeepers*h.opts.Settings.Timing.AddressTTL.Std() + quietTime
	for ctx.Err() == nil {
		now := h.opts.Timer.Now()
		if end, ok := ctx.Deadline(); ok && time.Until(end) < 2*closeTime {
			break
		}
		quiet := now.Sub(h.started)-time.Duration(h.asked.Load()) > quietTime
		if now.Sub(begun) > least && quiet && h.open.Load() == 0 {
			break
		}
		pause(ctx, drainPoll)
	}
	h.exchanger.Close()
	return h.stop()
}

// stop closes listeners and idle connections, and waits a little for what is
// still under way.
func (h *Host) stop() int {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	for _, s := range h.servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
	cut := int(h.open.Load())
	h.messenger.Close()
	h.cancel()
	h.log.Info().Int("Cut", cut).Msg(logger.Stopped)
	return cut
}
