// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/registrar"
	"amaranthgate.example/amaranthgate/tracker"
)

// originsInterval is the least time between two messages about streams to one host.
const originsInterval = 2 * time.Millisecond

// signalOrigins signals that the registrar has messages for other hosts.
func (h *Host) signalOrigins() {
	select {
	case h.originsDue <- struct{}{}:
	default:
	}
}

// sendOrigins sends the registrar's messages. They do not pass through the control loop, as a caller may take up its
// stream within milliseconds.
func (h *Host) sendOrigins() {
	for {
		select {
		case <-h.originsDue:
			h.queueOrigins()
			pause(h.ctx, originsInterval)
		case <-h.ctx.Done():
			return
		}
	}
}

// queueOrigins queues the registrar's messages for their hosts.
func (h *Host) queueOrigins() {
	for _, m := range h.registrar.Take() {
		h.messenger.Send(m.To, m.Address, &messenger.Message{Origins: &m.Message})
	}
}

// flushTimeout bounds the time in which a host that ends sends the messages that are queued.
const flushTimeout = 100 * time.Millisecond

// flushOrigins sends all queued messages before this host ends. Callers take their streams up at other hosts then, which
// must know where these began.
func (h *Host) flushOrigins() {
	ctx, cancel := context.WithTimeout(h.ctx, flushTimeout)
	defer cancel()
	h.queueOrigins()
	h.messenger.Flush(ctx)
}

// originHosts returns the known hosts. The live ones that serve callers keep records of streams; others may have.
func (h *Host) originHosts() []registrar.Host {
	serving, uncontacted := h.serving.Load(), *h.uncontacted.Load()
	var out []registrar.Host
	for _, r := range *h.hosts.Load() {
		known := r.Peers != "" && !uncontacted[r.Host]
		out = append(out, registrar.Host{
			Name: r.Host, Address: r.Peers, AvailabilityZone: r.AvailabilityZone,
			Keeps: known && r.State == tracker.HostLive && (serving.All || serving.Active[r.Host]),
			Kept:  known && (r.State == tracker.HostSuspect || r.State == tracker.HostLeaving),
		})
	}
	return out
}

const (
	// maxFeedAge is the age up to which the feed of upstreams counts as current. Hosts hear of it every 0.8 s.
	maxFeedAge = 1500 * time.Millisecond
	// maxOutage is the same while this host hears all others and the store answers none of them. It is less than the
	// time after which hosts that are gone are forgotten.
	maxOutage = 10 * time.Second
	// suspicionTime is the time after this host has stood still in which it may not suspect hosts that are gone.
	suspicionTime = 4 * time.Second
)

// soleSoftware returns the only software version that upstreams of a service have had for a time. A host that may lack
// news of upstreams which others have does not know.
func (h *Host) soleSoftware(now time.Time, service string, span time.Duration) (version string, ok bool) {
	if !h.knowsUpstreams(now) {
		return "", false
	}
	return h.placer.SoleSoftware(now, service, span)
}

// knowsUpstreams reports whether this host knows what any other one knows of upstreams: the store has told it, or it
// hears all other hosts.
func (h *Host) knowsUpstreams(now time.Time) bool {
	f := (*h.feeds.Load())[follower.FeedUpstreams]
	woke := h.stalls.wokeAt(now)
	switch age := now.Sub(f.CurrentAt); {
	case f.CurrentAt.IsZero(), age >= maxOutage:
		return false
	case f.CurrentAt.Before(woke) && now.Sub(woke) < suspicionTime:
		return false
	case age < maxFeedAge:
		return true
	}
	return !slices.ContainsFunc(*h.hosts.Load(), func(r tracker.HostRecord) bool {
		return r.State == tracker.HostSuspect || r.State == tracker.HostGone
	})
}
