// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/messenger"
	"amaranthgate.example/amaranthgate/replayer"
)

// simHost is a simulated process of a host. It executes the actions of its node with
// simulated links and a simulated log.
type simHost struct {
	sim        *simulation
	name       string
	started    int
	alive      bool
	paused     bool
	deferred   []func()
	node       *Node
	generation int // generation is incremented by each start and kill, to drop pending events.
	follows    map[string]*simFollow
	claims     map[string]*simAttempt

	highest           uint64 // highest is the last revision in force.
	highestGeneration int    // highestGeneration is the generation of that process.
}

// simFollow is the state of a host's reads of one stream.
type simFollow struct {
	from    uint64
	reading bool
	stopped bool
}

// runIn runs f if the process of a generation still runs, and defers it while the
// process is paused.
func (h *simHost) runIn(generation int, f func()) {
	if !h.alive || h.generation != generation {
		return
	}
	if h.paused {
		h.deferred = append(h.deferred, func() { h.runIn(generation, f) })
		return
	}
	f()
}

// later runs f in the current process after a delay.
func (h *simHost) later(d time.Duration, f func()) {
	generation := h.generation
	h.sim.after(d, func() { h.runIn(generation, f) })
}

func (h *simHost) handle(ev Event) { h.execute(h.node.Handle(h.sim.now, ev)) }

func (h *simHost) tick(generation int) {
	h.sim.after(simTickInterval, func() {
		h.runIn(generation, func() {
			h.handle(Tick{})
			h.tick(generation)
		})
	})
}

func (h *simHost) pollHostList(generation int) {
	h.sim.after(time.Second, func() {
		h.runIn(generation, func() {
			var a connector.HostListAnswer
			for _, n := range h.sim.names {
				if h.sim.hosts[n].alive {
					a.Hosts = append(a.Hosts, connector.ListedHost{Host: n, Address: n, AvailabilityZone: "zone", State: connector.ListedLive})
				}
			}
			h.handle(HostsListed{Answer: a})
			h.pollHostList(generation)
		})
	})
}

func (h *simHost) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Append:
			h.append(a)
		case Send:
			h.send(a)
		case Follow:
			h.follow(a)
		case Unfollow:
			h.unfollow(a.Stream)
		case Settle:
			h.settle(a.Settled)
		case Published:
			h.sim.results[a.Result.ID] = a.Result
		case SendOrder:
			h.issue(a)
		case ViewChanged:
			h.checkRevision()
		}
	}
}

// checkRevision checks that the revision in force at a ready host never decreases,
// also over restarts.
func (h *simHost) checkRevision() {
	v := h.node.View()
	if !v.Ready {
		return
	}
	if floor := h.minRevision(); v.Revision < floor {
		h.sim.violation("%s went from revision %d back to %d", h.name, floor, v.Revision)
	}
	h.highest, h.highestGeneration = v.Revision, h.generation
}

// minRevision returns the revision below which a host must not serve: the last one
// it had in force. A restarted process that cannot read the log can only get the
// highest revision of the other running hosts.
func (h *simHost) minRevision() uint64 {
	if h.highestGeneration == h.generation || !h.sim.logDown && !h.sim.cannotRead[h.name] {
		return h.highest
	}
	var known uint64
	for _, n := range h.sim.names {
		if other := h.sim.hosts[n]; other != h && other.alive {
			known = max(known, other.node.Configuration().Revision())
		}
	}
	return min(h.highest, known)
}

func (h *simHost) append(a Append) {
	s := h.sim
	body := a.Record.Encode()
	done := func(err error) func() {
		return func() { h.handle(AppendDone{Stream: a.Stream, Sequence: a.Record.Sequence, Err: err}) }
	}
	if s.logDown || s.cannotAppend[h.name] {
		h.later(simTimeout, done(fmt.Errorf("down")))
		return
	}
	delay := simLatency + s.logSlow + time.Duration(s.rng.IntN(2000))*time.Microsecond
	lost := s.rng.Float64() < s.ackLoss
	late := lost && s.rng.IntN(4) == 0 // the append takes effect after its timeout
	if late {
		delay += 2 * simTimeout
	}
	if s.lateAppends[h.name] {
		lost = true
		delay += simAppendDelay
	}
	s.after(delay, func() { s.commit(a.Stream, body) }) // takes effect even if its writer was killed
	if lost || delay > simTimeout {
		h.later(simTimeout, done(fmt.Errorf("no answer")))
		return
	}
	h.later(delay+simHop, done(nil))
}

func (h *simHost) follow(a Follow) {
	h.unfollow(a.Stream)
	f := &simFollow{from: a.From}
	h.follows[a.Stream] = f
	h.later(simHop, func() { h.read(a.Stream, f) })
	h.poll(a.Stream, f)
}

func (h *simHost) unfollow(stream string) {
	if f := h.follows[stream]; f != nil {
		f.stopped = true
		delete(h.follows, stream)
	}
}

func (h *simHost) poll(stream string, f *simFollow) {
	h.later(simPollInterval/4, func() {
		if !f.stopped {
			h.read(stream, f)
			h.poll(stream, f)
		}
	})
}

// read reads one page, one read at a time.
func (h *simHost) read(stream string, f *simFollow) {
	s := h.sim
	if f.stopped || f.reading {
		return
	}
	f.reading = true
	began := s.now
	if s.logDown || s.cannotRead[h.name] {
		h.later(simTimeout, func() {
			f.reading = false
			if !f.stopped {
				h.handle(LogFailed{Stream: stream})
			}
		})
		return
	}
	h.later(simHop+s.logSlow, func() {
		f.reading = false
		if f.stopped {
			return
		}
		st := s.stream(stream)
		p := replayer.Page{Earliest: st.earliest, Next: st.earliest + uint64(len(st.records))}
		f.from = max(f.from, st.earliest)
		tail := st.records[f.from-st.earliest:]
		p.Records = append(p.Records, tail[:min(64, len(tail))]...)
		f.from += uint64(len(p.Records))
		h.handle(LogRead{Stream: stream, Page: p, Began: began})
		if f.from < p.Next {
			h.read(stream, f)
		}
	})
}

func (h *simHost) send(a Send) {
	s := h.sim
	s.messages++
	if s.isolated[h.name] || s.isolated[a.To] || s.hosts[a.To] == nil {
		return
	}
	b := messenger.Encode(a.Message)
	to := s.hosts[a.To]
	generation := to.generation
	from := h.name
	s.after(simHop+time.Duration(s.rng.IntN(500))*time.Microsecond, func() {
		to.runIn(generation, func() {
			m, err := messenger.Decode(b)
			if err != nil {
				s.violation("message of %s: %v", from, err)
				return
			}
			to.handle(PeerMessage{From: from, Message: m})
		})
	})
}

// settle dispatches the request of a won claim, as the server does.
func (h *simHost) settle(v claimer.Settlement) {
	s := h.sim
	a := h.claims[v.Nonce]
	if a == nil {
		return
	}
	delete(h.claims, v.Nonce)
	if v.Verdict != claimer.VerdictWon {
		a.settled, a.end = &v, s.now
		return
	}
	h.later(simHop, func() { h.dispatch(a, v) })
}

func (h *simHost) dispatch(a *simAttempt, v claimer.Settlement) {
	s := h.sim
	finish := func(st claimer.State, verdict claimer.Verdict) {
		a.settled, a.end = &claimer.Settlement{Nonce: a.nonce, Verdict: verdict}, s.now
		h.handle(ClaimFinished{Outcome: claimer.Outcome{Key: a.key, Nonce: a.nonce, State: st}})
	}
	if !s.now.Before(v.DispatchBefore) {
		finish(claimer.StateNotRun, claimer.VerdictUnavailable)
		return
	}
	outcome := 7
	if s.flaky {
		outcome = s.rng.IntN(8)
	}
	switch outcome {
	case 0: // no connection: the request did not run
		finish(claimer.StateNotRun, claimer.VerdictUnavailable)
		return
	case 1: // the request runs and its answer is lost
		s.recordRun(a)
		h.later(simServiceTime, func() { finish(claimer.StateUnknown, claimer.VerdictUnknown) })
		return
	}
	s.recordRun(a)
	h.later(simServiceTime, func() { finish(claimer.StateDone, claimer.VerdictWon) })
}
