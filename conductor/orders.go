// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/updater"
)

// leaseName is the lease under which orders are given.
const leaseName = "renewal"

// orderTimeout bounds an order or a query to an engine. It is less than the turn between two lease
// holders, so that no order outlives its holder's turn.
const orderTimeout = 600 * time.Millisecond

// renew executes a command of the updater and posts its result.
func (h *Host) renew(c updater.Command) {
	ev := RenewalEnd{Command: c}
	switch c := c.(type) {
	case updater.ReadLease:
		ev.Lease, ev.Err = h.readLease()
	case updater.WriteLease:
		ev.Conflict, ev.Err = h.writeLease(c)
	case updater.Order:
		ctx, cancel := context.WithTimeout(h.ctx, orderTimeout)
		defer cancel()
		ev.Result = h.opts.Engines.Order(ctx, h.opts.Settings.Host, c)
		h.counters.order(ev.Result)
		line := h.log.Info().Str("Upstream", c.Upstream.ID).Str("Model", c.Model).Uint64("Version", c.Version).Uint64("Token", c.Token)
		if c.ExpectedKnown {
			line.Int64("Expected", c.Expected)
		}
		line.Str("Result", string(ev.Result)).Msg(logger.OrderGiven)
	case updater.QueryVersion:
		ctx, cancel := context.WithTimeout(h.ctx, orderTimeout)
		defer cancel()
		ev.Report, ev.Err = h.opts.Engines.QueryVersion(ctx, c)
		if ev.Err == nil && ev.Report.LoadStated {
			h.placer.ObserveReport(h.opts.Timer.Now(), c.Upstream.InstanceID(), ev.Report.Load)
		}
	}
	h.post(ev)
}

func (h *Host) readLease() (updater.Lease, error) {
	start := h.opts.Timer.Now()
	b, end, err := h.opts.Store.Lease(h.ctx, leaseName)
	h.counters.storeCall("lease", start, h.opts.Timer.Now(), err)
	if err != nil {
		h.log.Warn().Err(err).Msg(logger.LeaseUnread)
		return updater.Lease{}, err
	}
	got := updater.Lease{End: end.Offset, Era: end.Era}
	if len(b) == 0 {
		return got, nil
	}
	return got, codec.Unmarshal(b, &got.Record)
}

func (h *Host) writeLease(c updater.WriteLease) (bool, error) {
	b, err := codec.Marshal(c.Record)
	if err != nil {
		return false, err
	}
	start := h.opts.Timer.Now()
	conflict, err := h.opts.Store.WriteLease(h.ctx, leaseName, follower.Position{Era: c.Era, Offset: c.At}, b)
	h.counters.storeCall("lease-write", start, h.opts.Timer.Now(), err)
	h.log.Info().Int64("At", c.At).Uint64("Era", c.Era).Uint64("Nonce", c.Record.Nonce).Bool("Conflict", conflict).
		AnErr("Failure", err).Msg(logger.LeaseWritten)
	return conflict, err
}
