// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/internal/codec"
	"amaranthgate.example/amaranthgate/introducer"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/tracker"
)

// discover takes the next step of finding other hosts.
func (n *Node) discover(now time.Time) {
	if n.introducer.Done() {
		return
	}
	switch n.introducer.Next(now) {
	case introducer.CallRead:
		n.emit(ReadAnnouncements{After: n.introducer.After()})
	case introducer.CallAnnounce:
		n.emit(Announce{})
	case introducer.CallNone:
		if n.introducer.Done() {
			n.hostsDirty = true // a host that is alone learns so here
		}
	}
}

// handleAnnouncementsRead applies a page of announcements.
func (n *Node) handleAnnouncementsRead(now time.Time, ev AnnouncementsRead) {
	n.introducer.ReadDone(now, introducer.Page{Hosts: ev.Hosts, Next: ev.Next}, ev.Err)
	if ev.Err != nil {
		return
	}
	n.foundAt = now
	n.mergeHosts(now, "", ev.Hosts)
}

// announcementName returns the name of a host's announcement. Larger hosts sort first: they are
// likely to be active and to know the fleet.
func announcementName(r tracker.HostRecord) string {
	const maxCores, unit = 1000, 1000
	size := maxCores*unit - int(unit*min(r.Cores, maxCores))
	return fmt.Sprintf("%07d/%s", size, r.Host)
}

// find reads the page of announcements that begins after a name.
func (h *Host) find(after string) {
	start := h.opts.Timer.Now()
	page, err := h.opts.Store.Announced(h.ctx, after)
	h.counters.storeCall("announced", start, h.opts.Timer.Now(), err)
	if err != nil {
		h.log.Warn().Err(err).Msg(logger.HostsUnread)
	}
	h.post(AnnouncementsRead{Hosts: h.decodeRecords(page.Records), Next: page.Next, Err: err})
}

// announce writes this host's announcement.
func (h *Host) announce() {
	record, err := codec.Marshal(h.node.opts.Self)
	if err != nil {
		panic("conductor: host record cannot be encoded: " + err.Error())
	}
	start := h.opts.Timer.Now()
	err = h.opts.Store.Announce(h.ctx, announcementName(h.node.opts.Self), record)
	h.counters.storeCall("announce", start, h.opts.Timer.Now(), err)
	if err != nil {
		h.log.Warn().Err(err).Msg(logger.HostsUnread)
	}
	h.post(Announced{Err: err})
}

// seek reads all announcements, to find hosts that this one's peers don't know.
func (h *Host) seek() {
	var ev AllAnnouncementsRead
	for next := ""; ; {
		start := h.opts.Timer.Now()
		page, err := h.opts.Store.Announced(h.ctx, next)
		h.counters.storeCall("announced", start, h.opts.Timer.Now(), err)
		if err != nil {
			h.log.Warn().Err(err).Msg(logger.HostsUnread)
			break // the next search reads them again
		}
		if next == "" {
			ev.End = follower.Position{Era: page.Era, Offset: page.End}
		}
		ev.Hosts = append(ev.Hosts, h.decodeRecords(page.Records)...)
		if next = page.Next; next == "" {
			ev.Complete = true
			break
		}
	}
	h.post(ev)
}

// retract removes the announcements of hosts that are gone, unless others were written since they
// were read.
func (h *Host) retract(a Retract) {
	for i, r := range a.Hosts {
		start := h.opts.Timer.Now()
		at := follower.Position{Era: a.End.Era, Offset: a.End.Offset + int64(i)}
		err := h.opts.Store.Retract(h.ctx, announcementName(r), at)
		h.counters.storeCall("retract", start, h.opts.Timer.Now(), err)
		if err != nil {
			return // the next search retries
		}
		h.log.Info().Str("Peer", r.Host).Msg(logger.HostRetracted)
	}
}

// decodeRecords returns the records of readable announcements.
func (h *Host) decodeRecords(cards map[string][]byte) []tracker.HostRecord {
	var out []tracker.HostRecord
	for name, record := range cards {
		var r tracker.HostRecord
		if err := codec.Unmarshal(record, &r); err != nil {
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
