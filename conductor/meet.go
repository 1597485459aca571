// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"time"

	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/tracker"
)

// meet announces this host and finds the others.
func (h *Host) meet() {
	s := h.opts.Settings
	card, err := codec.Marshal(h.node.opts.Self)
	if err != nil {
		panic("conductor: host record cannot be encoded: " + err.Error())
	}
	announced := false
	for h.ctx.Err() == nil {
		if !announced {
			err = h.opts.Store.Announce(h.ctx, s.Host, card)
			announced = err == nil
		}
		var cards map[string][]byte
		if announced {
			cards, err = h.opts.Store.Announced(h.ctx)
		}
		if announced && err == nil {
			h.found(cards)
			return
		}
		h.log.Warn().Err(err).Msg(logger.HostsUnread)
		pause(h.ctx, h.opts.Timing.Again)
	}
}

func (h *Host) found(cards map[string][]byte) {
	ev := HostsFound{}
	for name, card := range cards {
		var r tracker.HostRecord
		if err := codec.Unmarshal(card, &r); err != nil {
			h.log.Warn().Err(err).Str("Host", name).Msg(logger.HostRecordUnreadable)
			continue
		}
		ev.Hosts = append(ev.Hosts, r)
	}
	h.post(ev)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
