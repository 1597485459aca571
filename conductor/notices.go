// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthgate.example/amaranthgate/exchanger"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/throttler"
	"amaranthgate.example/amaranthgate/tracker"
)

func (h *Host) newThrottler() *throttler.Throttler {
	return throttler.New(throttler.Options{
		Host:    h.opts.Settings.Host,
		Waiting: func() int { return h.exchanger.Waiting() },
		Changed: h.logRateLimit,
		Granted: h.signalCapacity,
	})
}

// notice handles what an upstream says of itself in an answer.
func (h *Host) notice(n exchanger.Notice) {
	instance := n.Upstream.InstanceID()
	if n.Leaving && h.placer.MarkLeaving(instance) {
		h.counters.upstreamLeaving()
		h.logNotice(&n, instance).Msg(logger.UpstreamLeaving)
	}
	h.noticeRest(n, instance)
	h.noticeLoad(n, instance)
	h.noticeBrittle(n, instance)
	if n.Rate.Malformed != "" {
		h.counters.malformedRateLimit()
		h.log.StateChange().Str("Upstream", instance).Str("Value", n.Rate.Malformed).Msg(logger.RateLimitMalformed)
		return
	}
	if h.throttler.Declare(n.At, n.Sent, instance, n.Rate.PerSecond) {
		h.logNotice(&n, instance).Float64("PerSecond", n.Rate.PerSecond).Msg(logger.RateLimitStated)
	}
}

// logNotice begins a line about what an upstream has said in the answer to an attempt.
func (h *Host) logNotice(n *exchanger.Notice, instance string) *zerolog.Event {
	return h.log.StateChange().Str("Upstream", instance).Str("RequestID", loggedID(n.RequestID)).Int("Number", n.Attempt).Dur("Age", n.At.Sub(n.Sent))
}

// noticeRest handles an upstream that asks this host for rest.
func (h *Host) noticeRest(n exchanger.Notice, instance string) {
	switch {
	case n.Rest.Malformed != "":
		h.log.StateChange().Str("Upstream", instance).Str("Value", n.Rest.Malformed).Msg(logger.RestMalformed)
	case n.Rest.For > 0 && h.placer.Rest(n.At, instance, n.At.Add(n.Rest.For)):
		h.counters.restBegun()
		h.logNotice(&n, instance).Dur("For", n.Rest.For).Msg(logger.RestBegun)
	}
}

// noticeLoad handles the load that an upstream states of itself.
func (h *Host) noticeLoad(n exchanger.Notice, instance string) {
	switch {
	case !h.opts.Settings.Platform.Enabled(loader.MechanismStatedLoad):
	case n.Load.Stated && n.Load.Refused:
		h.placer.ObserveRefusal(n.At, n.Sent, instance, n.Load.Load)
	case n.Load.Stated:
		h.placer.ObserveLoad(n.At, n.Sent, instance, n.Load.Load)
	case n.Load.Malformed != "":
		h.counters.malformedLoad()
		if h.malformedLoads.allows(n.At, instance) {
			h.log.StateChange().Str("Upstream", instance).Str("Value", n.Load.Malformed).Msg(logger.LoadMalformed)
		}
	}
}

// noticeBrittle handles whether an upstream says that it is brittle.
func (h *Host) noticeBrittle(n exchanger.Notice, instance string) {
	switch {
	case !h.opts.Settings.Platform.Enabled(loader.MechanismBrittle):
	case n.Brittle.Malformed != "":
		h.counters.malformedBrittle()
		if h.malformedBrittles.allows(n.At, instance) {
			h.log.StateChange().Str("Upstream", instance).Str("Value", n.Brittle.Malformed).Msg(logger.BrittleMalformed)
		}
	case n.Brittle.Stated:
		if h.placer.MarkBrittle(n.At, instance, n.Brittle.PerSecond) {
			h.counters.upstreamBrittle()
			h.logNotice(&n, instance).Float64("PerSecond", n.Brittle.PerSecond).Msg(logger.UpstreamBrittle)
		}
	default:
		if h.placer.MarkSound(n.At, n.Sent, instance) {
			h.logNotice(&n, instance).Msg(logger.UpstreamSound)
		}
	}
}

// endBrittle logs the upstreams that no longer count as brittle for want of answers.
func (h *Host) endBrittle(now time.Time) {
	for _, instance := range h.placer.EndBrittle(now) {
		h.log.StateChange().Str("Upstream", instance).Msg(logger.UpstreamSound)
	}
}

// logBrittleRefusals logs what brittle upstreams have refused.
func (h *Host) logBrittleRefusals() {
	for _, r := range h.placer.TakeBrittleRefusals() {
		h.log.StateChange().Str("Upstream", r.Instance).Float64("PerSecond", r.PerSecond).Bool("Known", r.Known).
			Int("Hosts", r.Hosts).Int("Slots", r.Slots).Int("Part", r.Part).Int("Lent", r.Lent).Int("InFlight", r.InFlight).
			Str("Owner", r.Owner).Dur("Age", r.Age).Msg(logger.BrittleRefused)
	}
}

const (
	// malformedLoadInterval is the least time between two log lines of malformed loads of one instance: an
	// upstream may send one with each answer.
	malformedLoadInterval = time.Minute
	// maxMalformedLoads bounds the instances with a line in that time.
	maxMalformedLoads = 64
)

// instanceLimit limits log lines by instance.
type instanceLimit struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// allows reports whether a line of an instance may be written now, and records it.
func (l *instanceLimit) allows(now time.Time, instance string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.last[instance]; ok && now.Sub(at) < malformedLoadInterval {
		return false
	}
	maps.DeleteFunc(l.last, func(_ string, at time.Time) bool { return now.Sub(at) >= malformedLoadInterval })
	if len(l.last) >= maxMalformedLoads {
		return false
	}
	if l.last == nil {
		l.last = make(map[string]time.Time)
	}
	l.last[instance] = now
	return true
}

// endRests logs the rests that have ended.
func (h *Host) endRests(now time.Time) {
	for _, instance := range h.placer.EndRests(now) {
		h.log.StateChange().Str("Upstream", instance).Msg(logger.RestEnded)
	}
}

// logSuspicions logs which upstreams have become suspect or answer again.
func (h *Host) logSuspicions() {
	for _, c := range h.placer.TakeSuspicionChanges() {
		ev := h.log.StateChange().Str("Upstream", c.Instance).Str("Evidence", string(c.Evidence)).Int("InFlight", c.InFlight)
		if c.Suspect {
			ev.Dur("Silent", c.Silent).Dur("Backoff", c.Backoff).Msg(logger.UpstreamSuspected)
		} else {
			ev.Dur("Lasted", c.Lasted).Msg(logger.UpstreamAnswersAgain)
		}
	}
}

// logFull logs which upstreams have become full or have room again.
func (h *Host) logFull(now time.Time) {
	for _, c := range h.placer.TakeFullChanges(now) {
		if c.Full {
			h.log.StateChange().Str("Upstream", c.Instance).Int("Window", c.Window).Msg(logger.UpstreamFull)
		} else {
			h.log.StateChange().Str("Upstream", c.Instance).Msg(logger.UpstreamHasRoom)
		}
	}
}

// logRateLimit logs the change of an upstream's rate limit.
func (h *Host) logRateLimit(c throttler.Change) {
	h.log.StateChange().Str("Upstream", c.Instance).Float64("Before", c.Before).Float64("PerSecond", c.After).
		Str("Source", string(c.Source)).Dur("Lasted", c.Lasted).Msg(logger.RateLimitChanged)
	h.signalCapacity()
}

// throttle exchanges allowances under rate limits with other hosts while there are any.
func (h *Host) throttle(now time.Time) {
	changes := h.throttler.TakeChanges()
	var permits []throttler.Message
	if h.throttler.Active() {
		permits = h.throttler.Step(now)
	}
	if len(changes) > 0 || len(permits) > 0 {
		h.post(RateLimitsStepped{Changes: changes, Permits: permits})
	}
}

// ownerTTL is how long a host that is no longer live keeps its share of rate limits, so that one that is
// cut off from all others does not take the whole at once.
const ownerTTL = 5 * time.Second

// updateThrottler tells the throttler which hosts share rate limits, and which upstreams exist, and the placer which
// hosts share brittle upstreams.
func (h *Host) updateThrottler(now time.Time) {
	serving := h.serving.Load()
	var heard, live []string
	for _, r := range *h.hosts.Load() {
		if r.State != tracker.HostLive {
			continue
		}
		heard = append(heard, r.Host)
		if serving.All || serving.Active[r.Host] {
			live = append(live, r.Host)
		}
	}
	h.throttler.SetHosts(now, live, h.owners.add(now, live, ownerTTL))
	h.heard.add(now, heard, slotsTTL)
	known := h.heard.records(*h.hosts.Load())
	h.placer.SetSharingHosts(now, hostNames(known), SlotOwners(known))
	h.throttler.Retain(now, h.placer.Lists)
}
