// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/lender"
)

// A brittle upstream ends if it refuses more than a number of requests in a second, and the length of its queue is not
// known. Hosts together send it no more requests than it has slots; package lender divides these among them.
const (
	// brittleTTL is how long a statement holds without another answer of the upstream. It outlasts restarts.
	brittleTTL = 30 * time.Second
	// minLinger and maxLinger bound the time for which a request without an answer counts as in flight: the
	// upstream may go on with it.
	minLinger = 50 * time.Millisecond
	maxLinger = time.Second
)

// brittleStatement is the last statement of whether an upstream, or those of a service, are brittle.
type brittleStatement struct {
	at    time.Time // at is when the answer was read, or if sound is set, when its request was sent; zero if there was none.
	sound bool      // sound reports that the answer did not say that the upstream is brittle.
	limit float64   // limit is the number of refusals a second that the upstream bears.
}

func (s *brittleStatement) current(now time.Time) bool {
	return !s.at.IsZero() && now.Sub(s.at) < brittleTTL
}

func (s *brittleStatement) brittle(now time.Time) bool { return s.current(now) && !s.sound }

// brittleState is what a Placer knows of brittle upstreams.
type brittleState struct {
	services map[string]brittleStatement // services has the last statement of any upstream of a service.
	lender   *lender.Lender              // lender has the slots that this host may use.
	hosts    int                         // hosts is the number of hosts that own the slots.
	refusals uint64                      // refusals counts refusals by brittle upstreams.
	refused  []BrittleRefusal            // refused are refusals that are not logged yet.
	queued   map[string]bool             // queued are the instances of which other hosts are to be told.
}

// newLender returns the lender of slots of brittle upstreams. It is used with p.mu held.
func (p *Placer) newLender() *lender.Lender {
	return lender.New(lender.Options{
		Host: p.opts.Host, Epoch: p.opts.Epoch, Seed: p.opts.Seed,
		Waiting: p.waiting,
		InUse: func(now time.Time, instance string) int {
			if t := p.targets[instance]; t != nil {
				return t.own.Requests + t.countLingering(now)
			}
			return 0
		},
	})
}

// SetSharingHosts sets the hosts that are heard or were lately, and those of them that own the slots of brittle upstreams.
func (p *Placer) SetSharingHosts(now time.Time, known, owners []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.brittle.lender.SetHosts(now, known, owners)
	p.brittle.hosts = p.brittle.lender.Hosts()
	p.signalLending()
}

// signalLending tells the host that there are messages to send, or that waiting requests may have found room.
func (p *Placer) signalLending() {
	if p.brittle.lender.Due() && p.opts.OnLending != nil {
		p.opts.OnLending()
	}
	if p.brittle.lender.TakeRoom() {
		p.notifyRoom()
	}
}

// StepLending lends and borrows slots of brittle upstreams, and returns the messages for other hosts. It is to be called
// after Options.OnLending, and each 20 ms.
func (p *Placer) StepLending(now time.Time) []lender.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.brittle.lender.Active() {
		return nil
	}
	messages := p.brittle.lender.Step(now)
	p.signalLending()
	return messages
}

// ReceiveLending applies a message of another host, and returns the messages for other hosts.
func (p *Placer) ReceiveLending(now time.Time, from string, m *lender.Message) []lender.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	messages := p.brittle.lender.Receive(now, from, m)
	p.signalLending()
	return messages
}

// LendingPart returns the number of slots of a brittle upstream that this host may use or lend, and the number of these
// that it has lent.
func (p *Placer) LendingPart(now time.Time, instance string) (part, lent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle.lender.Part(now, instance)
}

// LendingStats returns what this host has lent and borrowed.
func (p *Placer) LendingStats() lender.Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle.lender.Stats()
}

// MarkBrittle records that an upstream instance has said in an answer that it ends if it refuses more than a
// number of requests in a second, and reports whether that is news.
func (p *Placer) MarkBrittle(now time.Time, instance string, limit float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.memberOf(instance)
	if m == nil {
		return false
	}
	k := p.markOf(m)
	news := !k.brittle.brittle(now) || k.brittle.limit != limit
	p.setBrittle(m, k, brittleStatement{at: now, limit: limit})
	if news {
		p.tellBrittle(instance)
	}
	return news
}

// setBrittle records that an upstream is brittle; p.mu is held.
func (p *Placer) setBrittle(m *member, k *mark, s brittleStatement) {
	k.brittle = s
	if p.brittle.services == nil {
		p.brittle.services = make(map[string]brittleStatement)
	}
	if p.brittle.services[m.upstream.Service].at.Before(s.at) {
		p.brittle.services[m.upstream.Service] = s
	}
}

// setSound records that an upstream is not brittle; p.mu is held.
func (p *Placer) setSound(now time.Time, m *member, k *mark, s brittleStatement) {
	k.brittle = s
	p.dropSoundService(now, m.upstream.Service)
	p.brittle.lender.Close(m.instance)
	p.signalLending()
	p.notifyRoom()
}

// MarkSound records that an upstream instance has not said in an answer that it is brittle, and reports whether
// it was brittle before. An answer to a request that was sent before the last statement was read does not count.
func (p *Placer) MarkSound(now, sent time.Time, instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.brittle.services) == 0 {
		return false
	}
	m := p.memberOf(instance)
	if m == nil {
		return false
	}
	if _, ok := p.brittle.services[m.upstream.Service]; !ok {
		return false
	}
	k := p.markOf(m)
	was := k.brittle.brittle(now)
	if was && sent.Before(k.brittle.at) {
		return false
	}
	if !was {
		k.brittle = brittleStatement{at: sent, sound: true}
		return false
	}
	p.tellBrittle(instance)
	p.setSound(now, m, k, brittleStatement{at: sent, sound: true})
	return true
}

// dropSoundService ends the statement of a service of which no upstream is brittle; p.mu is held.
func (p *Placer) dropSoundService(now time.Time, service string) {
	for _, m := range p.members {
		if m.upstream.Service == service && m.mark != nil && m.mark.brittle.brittle(now) {
			return
		}
	}
	delete(p.brittle.services, service)
}

// EndBrittle returns the instances that no longer count as brittle for want of answers since the last call.
func (p *Placer) EndBrittle(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.brittle.services) == 0 {
		return nil
	}
	var ended []string
	for instance, k := range p.marks {
		if s := &k.brittle; !s.at.IsZero() && !s.current(now) {
			if !s.sound {
				ended = append(ended, instance)
				p.brittle.lender.Close(instance)
			}
			*s = brittleStatement{}
		}
	}
	for service, s := range p.brittle.services {
		if !s.current(now) {
			delete(p.brittle.services, service)
		}
	}
	if len(ended) > 0 {
		p.notifyRoom()
	}
	return ended
}

// Brittle returns the number of upstreams that count as brittle by their own statements.
func (p *Placer) Brittle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, k := range p.marks {
		if !k.brittle.at.IsZero() && !k.brittle.sound {
			n++
		}
	}
	return n
}

// BrittleRefusals returns how many requests of this host brittle upstreams have refused.
func (p *Placer) BrittleRefusals() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.brittle.refusals
}

// brittleLimit returns the number of refusals a second that an upstream bears, and whether it is brittle. An
// instance that has not answered yet is taken to be like the others of its service.
func (p *Placer) brittleLimit(now time.Time, m *member) (float64, bool) {
	if len(p.brittle.services) == 0 {
		return 0, false
	}
	if m.mark != nil && m.mark.brittle.current(now) {
		return m.mark.brittle.limit, !m.mark.brittle.sound
	}
	said := p.brittle.services[m.upstream.Service]
	return said.limit, said.brittle(now)
}

func (p *Placer) dumpBrittle(now time.Time, m *member) *float64 {
	if limit, brittle := p.brittleLimit(now, m); brittle {
		return &limit
	}
	return nil
}

// brittleSlots returns the number of requests that an upstream runs at once.
func (t *target) brittleSlots() int {
	slots := max(t.upstream.Slots, 1)
	if t.engine != nil && t.engine.Slots > 0 {
		slots = min(slots, t.engine.Slots)
	}
	return slots
}

// crowded reports whether an upstream is brittle and has no slot for one more request of this host.
func (p *Placer) crowded(now time.Time, t *target) bool {
	limit, brittle := p.brittleLimit(now, t.member)
	if !brittle {
		return false
	}
	terms := lender.Terms{Service: t.upstream.Service, Slots: t.brittleSlots(), Refusals: limit}
	return !p.brittle.lender.Room(now, t.instance, terms)
}

// wantCrowded asks for slots of the brittle upstreams that a waiting request was not sent to.
func (p *Placer) wantCrowded(now time.Time, s *shortlist) {
	for _, t := range s.crowded {
		p.brittle.lender.Want(now, t.instance)
	}
}

// takeSlot takes a slot for a request to a brittle upstream.
func (p *Placer) takeSlot(now time.Time, tk *Ticket) {
	t := tk.target
	if _, tk.brittle.known = p.brittleLimit(now, t.member); !tk.brittle.known {
		return
	}
	tk.brittle.hosts, tk.brittle.inFlight = p.brittle.hosts, t.own.Requests+t.countLingering(now)
	tk.brittle.part, tk.brittle.lent = p.brittle.lender.Part(now, t.instance)
	tk.lease = p.brittle.lender.Take(now, t.instance)
}

// releaseSlot ends the use of a slot by a request that no longer counts as in flight.
func (p *Placer) releaseSlot(now time.Time, tk *Ticket, refused bool) {
	if p.brittle.lender.Active() {
		p.brittle.lender.Release(now, tk.target.instance, tk.lease, refused)
	}
}

// maxBrittleRefusals bounds the refusals that wait to be logged.
const maxBrittleRefusals = 64

// BrittleRefusal is a request that a brittle upstream refused, with what this host knew when it sent the request.
type BrittleRefusal struct {
	Instance  string
	PerSecond float64       // PerSecond is the number of refusals a second that the upstream bears.
	Known     bool          // Known reports that the host knew that the upstream is brittle.
	Hosts     int           // Hosts is the number of hosts that owned the slots.
	Slots     int           // Slots is the number of slots shared.
	Part      int           // Part is the number of them that this host owned.
	Lent      int           // Lent is the number of these that it had lent.
	InFlight  int           // InFlight is the number of other requests of this host at the upstream.
	Owner     string        // Owner is the host that had lent the slot; empty for one of this host's own.
	Age       time.Duration // Age is the time since the request was sent.
}

// brittleView is what a host knows of an upstream when it sends a request there.
type brittleView struct {
	known                       bool
	hosts, part, lent, inFlight int
}

// refusedBrittle records that an upstream refused a request, and reports whether it is brittle.
func (p *Placer) refusedBrittle(now time.Time, tk *Ticket) bool {
	t := tk.target
	limit, brittle := p.brittleLimit(now, t.member)
	if !brittle {
		return false
	}
	p.brittle.refusals++
	if len(p.brittle.refused) < maxBrittleRefusals {
		p.brittle.refused = append(p.brittle.refused, BrittleRefusal{
			Instance: t.instance, PerSecond: limit, Known: tk.brittle.known, Hosts: tk.brittle.hosts, Slots: t.brittleSlots(),
			Part: tk.brittle.part, Lent: tk.brittle.lent, InFlight: tk.brittle.inFlight, Owner: tk.lease.Owner(), Age: now.Sub(tk.start),
		})
	}
	return true
}

// TakeBrittleRefusals returns the refusals by brittle upstreams since the last call, the first few of them.
func (p *Placer) TakeBrittleRefusals() []BrittleRefusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	refused := p.brittle.refused
	p.brittle.refused = nil
	return refused
}

// unanswered records that a request has ended without an answer of the upstream.
func (p *Placer) unanswered(now time.Time, t *target) {
	if _, brittle := p.brittleLimit(now, t.member); brittle {
		t.lingering = append(t.lingering, now.Add(min(max(t.serviceTime, minLinger), maxLinger)))
	}
}

// countLingering returns the number of requests without an answer that the upstream may still work on.
func (t *target) countLingering(now time.Time) int {
	t.lingering = slices.DeleteFunc(t.lingering, func(until time.Time) bool { return !now.Before(until) })
	return len(t.lingering)
}
