// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/tracker"
)

// introduceTime is how long a host that has read some announcements waits for another
// host to speak, before it reads more of them.
const introduceTime = 1500 * time.Millisecond

// meet announces this host and finds others. Hosts tell each other of all, so that one
// page of announcements is enough where any of the hosts on it is there. The first has
// the largest hosts, which serve callers. With pages of 50, 295 hosts that start together
// read 295 pages instead of 1,770.
func (h *Host) meet() {
	h.announce()
	for next := h.findAfter(""); next != ""; next = h.findAfter(next) {
		if pause(h.ctx, introduceTime); h.met.Load() || h.ctx.Err() != nil {
			return
		}
	}
}

// announcedAs is the name of a host's announcement. Names of larger hosts come first.
func announcedAs(r tracker.HostRecord) string {
	const mostCores, unit = 1000, 1000
	size := mostCores*unit - int(unit*min(r.Cores, mostCores))
	return fmt.Sprintf("%07d/%s", size, r.Host)
}

// findAfter reads the page of announcements that begins behind a name, as often as it
// takes. It returns where the next page begins; empty if none follows.
func (h *Host) findAfter(name string) string {
	for h.ctx.Err() == nil {
		page, err := h.opts.Store.Announced(h.ctx, name)
		if err == nil {
			h.post(HostsFound{Hosts: h.records(page.Cards)})
			return page.Next
		}
		h.log.Warn().Err(err).Msg(logger.HostsUnread)
		pause(h.ctx, h.opts.Timing.Again)
	}
	return ""
}

// announce writes what other hosts need to find this one.
func (h *Host) announce() {
	card, err := codec.Marshal(h.node.opts.Self)
	if err != nil {
		panic("conductor: host record cannot be encoded: " + err.Error())
	}
	for h.ctx.Err() == nil {
		if err = h.opts.Store.Announce(h.ctx, announcedAs(h.node.opts.Self), card); err == nil {
			return
		}
		h.log.Warn().Err(err).Msg(logger.HostsUnread)
		pause(h.ctx, h.opts.Timing.Again)
	}
}

// seek reads all announcements once, for hosts that are known to none of those that this
// one knows.
func (h *Host) seek() {
	var ev HostsSought
	for next := ""; ; {
		asked := h.opts.Timer.Now()
		page, err := h.opts.Store.Announced(h.ctx, next)
		h.counters.store("announced", asked, h.opts.Timer.Now(), err)
		if err != nil {
			h.log.Warn().Err(err).Msg(logger.HostsUnread)
			break // the next look reads them again
		}
		if next == "" {
			ev.End = page.End
		}
		ev.Hosts = append(ev.Hosts, h.records(page.Cards)...)
		if next = page.Next; next == "" {
			ev.Whole = true
			break
		}
	}
	h.post(ev)
}

// retract drops announcements of hosts that are gone for good, unless others were made since
// they were read.
func (h *Host) retract(a Retract) {
	for i, r := range a.Hosts {
		asked := h.opts.Timer.Now()
		err := h.opts.Store.Retract(h.ctx, announcedAs(r), a.End+int64(i))
		h.counters.store("retract", asked, h.opts.Timer.Now(), err)
		if err != nil {
			return // after the next look
		}
		h.log.Info().Str("Peer", r.Host).Msg(logger.HostRetracted)
	}
}

// records returns the readable ones of announcements.
func (h *Host) records(cards map[string][]byte) []tracker.HostRecord {
	var out []tracker.HostRecord
	for name, card := range cards {
		var r tracker.HostRecord
		if err := codec.Unmarshal(card, &r); err != nil {
			h.log.Warn().Err(err).Str("Host", name).Msg(logger.HostRecordUnreadable)
			continue
		}
		out = append(out, r)
	}
	return out
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
