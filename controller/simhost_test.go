// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package controller

import (
	"fmt"
	"time"

	"amaranthgate.example/amaranthgate/claimer"
	"amaranthgate.example/amaranthgate/connector"
	"amaranthgate.example/amaranthgate/folder"
	"amaranthgate.example/amaranthgate/messenger"
)

// simHost is one host's process in the simulation: it carries out the actions of its node
// over simulated links and log.
type simHost struct {
	sim     *simulation
	name    string
	started int
	alive   bool
	paused  bool
	held    []func()
	node    *Node
	life    int // life changes with each start and kill, to drop what is under way.
	follows map[string]*simFollow
	claims  map[string]*simAttempt

	highest     uint64 // highest is the revision that was in force last.
	highestLife int    // highestLife is the life in which that was.
}

// simFollow is a host's reading of one stream.
type simFollow struct {
	from    uint64
	reading bool
	stopped bool
}

// in runs f at a host if the same process still lives, later if it is paused.
func (h *simHost) in(life int, f func()) {
	if !h.alive || h.life != life {
		return
	}
	if h.paused {
		h.held = append(h.held, func() { h.in(life, f) })
		return
	}
	f()
}

// later runs f at the host after a time.
func (h *simHost) later(d time.Duration, f func()) {
	life := h.life
	h.sim.after(d, func() { h.in(life, f) })
}

func (h *simHost) handle(ev Event) { h.carryOut(h.node.Handle(h.sim.now, ev)) }

func (h *simHost) tick(life int) {
	h.sim.after(simTick, func() {
		h.in(life, func() {
			h.handle(Tick{})
			h.tick(life)
		})
	})
}

func (h *simHost) listed(life int) {
	h.sim.after(time.Second, func() {
		h.in(life, func() {
			var a connector.HostListAnswer
			for _, n := range h.sim.names {
				if h.sim.hosts[n].alive {
					a.Hosts = append(a.Hosts, connector.ListedHost{Host: n, Address: n, AvailabilityZone: "zone", State: connector.ListedLive})
				}
			}
			h.handle(HostsListed{Answer: a})
			h.listed(life)
		})
	})
}

func (h *simHost) carryOut(actions []Action) {
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
		case Issue:
			h.issue(a)
		case ViewChanged:
			h.viewed()
		}
	}
}

// viewed checks that the revision in force never goes back, over restarts too
// as soon as the host is ready.
func (h *simHost) viewed() {
	v := h.node.View()
	if !v.Ready {
		return
	}
	if floor := h.floor(); v.Revision < floor {
		h.sim.broken("%s went back from revision %d to %d", h.name, floor, v.Revision)
	}
	h.highest, h.highestLife = v.Revision, h.life
}

// floor returns the revision below which a host must not serve: the highest it
// had in force. A process that started since cannot know that one while it
// cannot read the log and no living host has it; the newest of theirs is the
// floor then.
func (h *simHost) floor() uint64 {
	if h.highestLife == h.life || !h.sim.logDown && !h.sim.deaf[h.name] {
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
	if s.logDown || s.mute[h.name] {
		h.later(simTimeout, done(fmt.Errorf("down")))
		return
	}
	delay := simLatency + s.logSlow + time.Duration(s.rng.IntN(2000))*time.Microsecond
	lost := s.rng.Float64() < s.lose
	late := lost && s.rng.IntN(4) == 0 // the append takes effect after the answer was given up
	if late {
		delay += 2 * simTimeout
	}
	if s.hold[h.name] {
		lost = true
		delay += simHeld
	}
	s.after(delay, func() { s.land(a.Stream, body) }) // lands whether or not its writer still lives
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
	h.later(simPoll/4, func() {
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
	if s.logDown || s.deaf[h.name] {
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
		p := folder.Page{Earliest: st.earliest, Next: st.earliest + uint64(len(st.records))}
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
	if s.cut[h.name] || s.cut[a.To] || s.hosts[a.To] == nil {
		return
	}
	b := messenger.Encode(a.Message)
	to := s.hosts[a.To]
	life := to.life
	from := h.name
	s.after(simHop+time.Duration(s.rng.IntN(500))*time.Microsecond, func() {
		to.in(life, func() {
			m, err := messenger.Decode(b)
			if err != nil {
				s.broken("message of %s: %v", from, err)
				return
			}
			to.handle(PeerMessage{From: from, Message: m})
		})
	})
}

// settle does what the server does with a verdict: dispatch once if it may.
func (h *simHost) settle(v claimer.Settled) {
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

func (h *simHost) dispatch(a *simAttempt, v claimer.Settled) {
	s := h.sim
	finish := func(st claimer.State, verdict claimer.Verdict) {
		a.settled, a.end = &claimer.Settled{Nonce: a.nonce, Verdict: verdict}, s.now
		h.handle(ClaimFinished{Outcome: claimer.Outcome{Key: a.key, Nonce: a.nonce, State: st}})
	}
	if !s.now.Before(v.Before) {
		finish(claimer.StateNotRun, claimer.VerdictUnavailable)
		return
	}
	luck := 7
	if s.flaky {
		luck = s.rng.IntN(8)
	}
	switch luck {
	case 0: // no connection: it did not run
		finish(claimer.StateNotRun, claimer.VerdictUnavailable)
		return
	case 1: // it runs and the answer is lost
		s.execute(a)
		h.later(simService, func() { finish(claimer.StateUnknown, claimer.VerdictUnknown) })
		return
	}
	s.execute(a)
	h.later(simService, func() { finish(claimer.StateDone, claimer.VerdictWon) })
}
