// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/tracker"
)

// meet takes the next step towards the other hosts.
func (n *Node) meet(now time.Time) {
	if n.introducer.Over() {
		return
	}
	switch n.introducer.Next(now) {
	case introducer.CallFind:
		n.do(Find{After: n.introducer.After()})
	case introducer.CallAnnounce:
		n.do(Announce{})
	case introducer.CallNone:
		if n.introducer.Over() {
			n.hostsDirty = true // a host that is alone learns here that it is
		}
	}
}

// hostsFound takes in a page of announcements.
func (n *Node) hostsFound(now time.Time, ev HostsFound) {
	n.introducer.Found(now, introducer.Page{Hosts: ev.Hosts, Next: ev.Next}, ev.Err)
	if ev.Err != nil {
		return
	}
	n.found = now
	n.mergeHosts(now, "", ev.Hosts)
}

// announcedAs is the name of a host's announcement. Names of larger hosts come first: they
// serve callers, and so hear of the other hosts first.
func announcedAs(r tracker.HostRecord) string {
	const mostCores, unit = 1000, 1000
	size := mostCores*unit - int(unit*min(r.Cores, mostCores))
	return fmt.Sprintf("%07d/%s", size, r.Host)
}

// find reads the page of announcements that begins behind a name.
func (h *Host) find(after string) {
	asked := h.opts.Timer.Now()
	page, err := h.opts.Store.Announced(h.ctx, after)
	h.counters.store("announced", asked, h.opts.Timer.Now(), err)
	if err != nil {
		h.log.Warn().Err(err).Msg(logger.HostsUnread)
	}
	h.post(HostsFound{Hosts: h.records(page.Cards), Next: page.Next, Err: err})
}

// announce writes what other hosts need to find this one.
func (h *Host) announce() {
	card, err := codec.Marshal(h.node.opts.Self)
	if err != nil {
		panic("conductor: host record cannot be encoded: " + err.Error())
	}
	asked := h.opts.Timer.Now()
	err = h.opts.Store.Announce(h.ctx, announcedAs(h.node.opts.Self), card)
	h.counters.store("announce", asked, h.opts.Timer.Now(), err)
	if err != nil {
		h.log.Warn().Err(err).Msg(logger.HostsUnread)
	}
	h.post(Announced{Err: err})
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
