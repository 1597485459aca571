// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Detection of unresponsive upstreams. An engine that crashes keeps its record for three
// heartbeats, 3.6 s, in which its open connections stay silent. Requests in flight there show the
// crash earlier: where a quarter of 18 engines fell silent, 47 of 36,964 short requests failed
// without this detection, and 9 with it.
const (
	// silenceFactor and silenceGrace bound the time without a sign of activity, as a multiple of
	// the expected time to the first byte, and a constant. Transfers from a slow store and engines
	// that prefill one prompt at a time stay below both.
	silenceFactor = 2
	silenceGrace  = 500 * time.Millisecond
	// silenceFetchGrace is added if the upstream has to fetch first: transfers take longer than
	// estimated under load, and giving up requests then adds to it. Without it, with a quarter of
	// 90 engines gone, 176 of 17,455 short requests ended without an answer because their last
	// engine was given up as silent.
	silenceFetchGrace = maxFetchTime / 2
	// connectionGrace is added before a request counts as silent by itself, whatever its upstream does for others.
	connectionGrace = time.Second
	// streamGap is the longest expected gap in a streamed answer.
	streamGap = 200 * time.Millisecond
	// maxSilentShare is the share of the upstreams with work that may look silent at once. Beyond
	// it this host itself is assumed to be cut off.
	maxSilentShare = 0.6
	// minWatched is the number of upstreams with work up to which maxSilentShare does not apply.
	minWatched = 3
	// stallThreshold is the interval between two calls of Watch from which this process counts as
	// stalled. The silence of upstreams in that time is ignored.
	stallThreshold = 400 * time.Millisecond
)

// Watch looks for upstreams that have shown no activity although they have requests of this host.
// They get no new requests for a backoff, and the callbacks of OnSilent are called. It is to be
// called several times a second.
func (p *Placer) Watch(now time.Time) {
	for _, callback := range p.findSilent(now) {
		callback()
	}
}

// findSilent marks silent upstreams and returns the callbacks to call.
func (p *Placer) findSilent(now time.Time) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	stalled := p.stalled(now)
	if stalled {
		p.stalledAt, p.activeAt = now, now
		for t := range p.unlisted {
			t.restartSilence(now)
		}
	}
	p.watchedAt = now
	if p.knownSince.IsZero() && p.view.Listed {
		p.knownSince = now
	}
	var silent []*target
	var callbacks []func()
	watched := 0
	for t := range p.activeTargets {
		if stalled {
			t.restartSilence(now)
		}
		if len(t.tickets) == 0 {
			continue
		}
		watched++
		if t.isSilent(now) {
			silent = append(silent, t)
		}
		callbacks = append(callbacks, t.takeOverdue(now)...)
	}
	callbacks = append(callbacks, p.watchUnlisted(now)...)
	if p.cut.off {
		for _, t := range silent {
			callbacks = append(callbacks, t.takeCallbacks()...)
		}
		return callbacks
	}
	if watched > minWatched && float64(len(silent)) > maxSilentShare*float64(watched) {
		return callbacks
	}
	for _, t := range silent {
		p.markSuspect(now, t, EvidenceSilence)
		callbacks = append(callbacks, t.takeCallbacks()...)
	}
	return callbacks
}

// stalled reports whether this process has stalled since the last call of Watch.
func (p *Placer) stalled(now time.Time) bool { return now.Sub(p.watchedAt) > stallThreshold }

// spansStall reports whether this process stalled, or was cut off from the upstreams, while the request was in flight. The request's
// time then says nothing of the upstream. After a stall of 3 s, one short request would make its
// engine look 1.5 times slower to all hosts.
func (tk *Ticket) spansStall(now time.Time) bool {
	p := tk.placer
	return p.stalledAt.After(tk.start) || !p.watchedAt.IsZero() && p.stalled(now) || p.cut.spans(tk)
}

// restartSilence ignores the silence of an upstream so far.
func (t *target) restartSilence(now time.Time) {
	t.lastActivity = now
	for tk := range t.tickets {
		tk.lastActivity = now
	}
}

// isSilent reports whether an upstream should have shown activity by now.
func (t *target) isSilent(now time.Time) bool {
	for tk := range t.tickets {
		if tk.silence(now, t.lastActivity) > tk.silenceTimeout() {
			return true
		}
	}
	return false
}

// watchUnlisted returns the callbacks of requests at upstreams that are no longer listed and silent, or have been
// replaced by another instance.
func (p *Placer) watchUnlisted(now time.Time) (callbacks []func()) {
	for t := range p.unlisted {
		switch {
		case len(t.tickets) == 0:
			delete(p.unlisted, t)
		case t.replaced, t.isSilent(now):
			callbacks = append(callbacks, t.takeCallbacks()...)
		default:
			callbacks = append(callbacks, t.takeOverdue(now)...)
		}
	}
	return callbacks
}

// silence returns for how long this host has waited for a sign of activity, of which activity was the last one; 0 if
// it does not read the answer.
func (tk *Ticket) silence(now, activity time.Time) time.Duration {
	if tk.paused {
		return 0
	}
	return now.Sub(later(later(tk.start, tk.resumed), activity))
}

// silenceTimeout returns how long the upstream may show no activity while it has the request.
func (tk *Ticket) silenceTimeout() time.Duration {
	switch {
	case tk.first:
		return silenceFactor*streamGap + silenceGrace
	case tk.fetching:
		return silenceFactor*tk.expected + silenceGrace + silenceFetchGrace
	}
	return silenceFactor*tk.expected + silenceGrace
}

// takeOverdue returns the callbacks of requests on connections that may be dead while others to the same upstream
// are not.
func (t *target) takeOverdue(now time.Time) []func() {
	var callbacks []func()
	for tk := range t.tickets {
		if tk.onSilent != nil && tk.silence(now, tk.lastActivity) > tk.silenceTimeout()+connectionGrace {
			callbacks = append(callbacks, tk.onSilent)
			tk.onSilent = nil
		}
	}
	return callbacks
}

// takeCallbacks returns the callbacks of requests that the upstream will not answer, each once.
func (t *target) takeCallbacks() []func() {
	var callbacks []func()
	for tk := range t.tickets {
		if tk.onSilent != nil {
			callbacks = append(callbacks, tk.onSilent)
			tk.onSilent = nil
		}
	}
	return callbacks
}

// OnSilent sets the callback that is called, at most once, if the upstream is silent, or this request gets no sign
// of activity for a second longer, before Done.
func (tk *Ticket) OnSilent(f func()) {
	if tk == nil {
		return
	}
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	tk.onSilent = f
}

// RecordActivity records that bytes of an answer have arrived.
func (tk *Ticket) RecordActivity(now time.Time) {
	if tk == nil {
		return
	}
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	t := tk.target
	t.lastActivity, tk.lastActivity, tk.placer.activeAt = now, now, now
	if t.evidence == EvidenceSilence {
		tk.placer.answersAgain(now, t)
		t.suspectUntil, t.backoff, t.probing = time.Time{}, 0, false
		tk.placer.notifyRoom()
	}
}

// Pause records that this host reads no more of the answer until Resume, for instance while its caller does not take
// what was read. The upstream is not silent in that time, as it may be unable to send.
func (tk *Ticket) Pause() {
	if tk == nil {
		return
	}
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	tk.paused = true
}

// Resume ends a Pause. It does nothing without one.
func (tk *Ticket) Resume(now time.Time) {
	if tk == nil {
		return
	}
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	if tk.paused {
		tk.paused, tk.resumed = false, now
	}
}
