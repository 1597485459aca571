// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package lender

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// grantTTL is the time from the message that asked for a loan within which a request must be sent with it.
	grantTTL = 500 * time.Millisecond
	// messageInterval is the longest time between two messages to a host while this one asks it or has loans of it.
	messageInterval = 250 * time.Millisecond
	// askTurn is how long a host asks one owner before it asks another one.
	askTurn = 300 * time.Millisecond
	// asksEach is the number of owners that a host asks for each request that waits, at first and more after each
	// askStep, up to maxAsks.
	asksEach = 2
	askStep  = 20 * time.Millisecond
	maxAsks  = 8
	// stallTime is the time between two steps from which a host may have been counted out by others.
	stallTime = 4 * time.Second
	// lossMemory is the time after a loss of hosts in which those that come may do so in their place.
	lossMemory = 30 * time.Second
	// firstDelay is the time from when a host that has started counts others until it uses its part.
	firstDelay = 500 * time.Millisecond
	// accountTTL is how long an account without use is kept.
	accountTTL = time.Minute
	// maxAccounts bounds the upstreams of which slots are lent.
	maxAccounts = 16384
	// maxMessageAsks bounds the asks of one message.
	maxMessageAsks = 1024
)

// Options configure a Lender.
type Options struct {
	Host    string
	Epoch   uint64     // Epoch identifies this start of the host.
	Waiting func() int // Waiting returns the number of requests that wait at this host.
	// InUse returns the number of this host's requests in flight at an upstream instance, with those that it may
	// still run.
	InUse func(now time.Time, instance string) int
	Seed  uint64
}

// Lender is the state of one host.
type Lender struct {
	opts      Options
	rng       *rand.Rand
	started   time.Time
	steppedAt time.Time
	hosts     []string // hosts are the owners.
	changedAt time.Time
	shrank    bool      // shrank reports that hosts were missing at the last change.
	shrankAt  time.Time // shrankAt is when hosts were last missing; zero for never.
	version   int       // version is incremented when hosts change.
	accounts  map[string]*account
	order     []string // order has the instances of accounts, sorted.
	peers     map[string]*peer
	dirty     map[string]bool // dirty has the hosts that a message is due for.
	// earlier has by instance the hosts that still use loans of an earlier start of this one.
	earlier  map[string]map[string]earlierLoans
	lastLoan uint64 // lastLoan is the ID of the last loan.
	due      bool
	room     bool
	stats    Stats
}

// Stats counts what a Lender has done.
type Stats struct {
	Lent     uint64 // Lent counts loans to other hosts.
	Borrowed uint64 // Borrowed counts loans of other hosts that came in time.
	Late     uint64 // Late counts loans of other hosts that came too late.
	Messages uint64 // Messages counts messages to other hosts.
}

// peer is what a host knows of another one that it exchanges messages with.
type peer struct {
	epoch   uint64
	sent    time.Duration // sent is that of the newest message received.
	seen    uint64        // seen is the highest ID of its loans.
	heard   time.Time     // heard is when the last message was received.
	told    time.Time     // told is when the last message was sent.
	refused []uint64
	grants  []Grant
}

// New returns a Lender that counts no host.
func New(opts Options) *Lender {
	return &Lender{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 7)), accounts: make(map[string]*account), peers: make(map[string]*peer),
		dirty: make(map[string]bool), earlier: make(map[string]map[string]earlierLoans),
	}
}

// begin sets the time that messages are dated from, and finds out whether the host has stood still.
func (l *Lender) begin(now time.Time) {
	if l.started.IsZero() {
		l.started, l.steppedAt, l.changedAt = now, now, now
	}
	if now.Sub(l.steppedAt) > stallTime {
		l.changedAt, l.shrank = now, false
		for _, a := range l.accounts {
			a.part, a.gainsAt, a.version = 0, time.Time{}, -1
		}
	}
	l.steppedAt = now
}

// SetHosts sets the hosts that are heard or were lately, and those of them that slots are dealt out to, sorted. Those that
// are not known any more may go on.
func (l *Lender) SetHosts(now time.Time, known, owners []string) {
	first := l.started.IsZero()
	l.begin(now)
	if slices.Equal(l.hosts, owners) {
		return
	}
	l.shrank = slices.ContainsFunc(l.hosts, func(h string) bool { return !slices.Contains(owners, h) && !slices.Contains(known, h) })
	l.hosts, l.changedAt = slices.Clone(owners), now
	if l.shrank {
		l.shrankAt = now
	}
	if first { // the others count it since they have contacted it
		l.changedAt = now.Add(firstDelay - gainDelay)
	}
	l.version++
	for _, a := range l.accounts {
		l.settle(now, a)
	}
	l.dropPeers(now)
	l.due = len(l.accounts) > 0
}

// dropPeers drops what is known of hosts that are gone.
func (l *Lender) dropPeers(now time.Time) {
	lends := make(map[string]bool)
	for _, a := range l.accounts {
		for _, le := range a.leases {
			lends[le.owner] = true
		}
	}
	maps.DeleteFunc(l.peers, func(host string, p *peer) bool {
		return !slices.Contains(l.hosts, host) && !lends[host] && !l.dirty[host] && now.Sub(p.heard) > accountTTL
	})
}

// peer returns what is known of another host.
func (l *Lender) peer(host string) *peer {
	p := l.peers[host]
	if p == nil {
		p = &peer{}
		l.peers[host] = p
	}
	return p
}

// account returns the account of an upstream under the given terms; nil if there are too many.
func (l *Lender) account(now time.Time, instance string, terms Terms) *account {
	a := l.accounts[instance]
	if a == nil {
		if len(l.accounts) >= maxAccounts {
			return nil
		}
		a = &account{
			instance: instance, Terms: terms, version: -1,
			loans: make(map[uint64]*loan), asks: make(map[string]*asker), asked: make(map[string]time.Time),
		}
		l.accounts[instance] = a
		i, _ := slices.BinarySearch(l.order, instance)
		l.order = slices.Insert(l.order, i, instance)
		if now.Sub(l.changedAt) >= gainDelay { // all hosts divide alike
			l.deal(a)
			a.part = a.parts[l.opts.Host]
		}
	}
	if a.Terms != terms {
		a.Terms, a.version = terms, -1
	}
	a.usedAt = now
	l.settle(now, a)
	return a
}

// Room reports whether this host may send a request to a brittle upstream.
func (l *Lender) Room(now time.Time, instance string, terms Terms) bool {
	if now.Sub(l.steppedAt) > stallTime || l.started.IsZero() {
		l.begin(now)
	}
	a := l.account(now, instance, terms)
	if a == nil {
		return false
	}
	if a.unused(now) != nil {
		return true
	}
	return l.free(now, a) > 0 && (now.Before(a.ownUntil) || a.waiting(now) == 0)
}

// Take takes the room that Room has reported for a request, before it counts as in flight, and returns the lease that it
// holds; nil for a slot of this host's own.
func (l *Lender) Take(now time.Time, instance string) *Lease {
	a := l.accounts[instance]
	if a == nil {
		return nil
	}
	le := a.unused(now)
	if le != nil {
		le.inUse = true
	} else {
		a.servedAt, a.ownUntil = now, time.Time{}
		l.due = l.due || len(a.asks) > 0
	}
	for _, o := range l.accounts { // requests that still wait record that again
		if o.Service == a.Service {
			o.wantedAt = time.Time{}
			l.due = l.due || o.unused(now) != nil || len(o.asked) > 0
		}
	}
	return le
}

// Want records that a request waits for a slot of a brittle upstream.
func (l *Lender) Want(now time.Time, instance string) {
	a := l.accounts[instance]
	if a == nil {
		return
	}
	if !a.wanted(now) {
		a.wantedSince = now
	}
	a.wantedAt = now
	l.due = l.due || len(a.asked) == 0
}

// Release ends the use of a slot by a request that no longer counts as in flight. refused reports that the upstream
// refused it for want of room.
func (l *Lender) Release(now time.Time, instance string, le *Lease, refused bool) {
	a := l.accounts[instance]
	if a == nil {
		return
	}
	if le == nil || le.account != a {
		if refused {
			l.hold(now, a)
		}
		l.due = l.due || len(a.asks) > 0 || a.wanted(now)
		return
	}
	le.inUse = false
	if refused {
		p := l.peer(le.owner)
		p.refused = append(p.refused, le.id)
	}
	if refused || !le.usable(now) || l.opts.Waiting() == 0 {
		l.giveBack(a, le)
	}
}

// Part returns the number of slots of an upstream that this host may use or lend, and the number of these that it has
// lent.
func (l *Lender) Part(now time.Time, instance string) (part, lent int) {
	if a := l.accounts[instance]; a != nil {
		return max(a.part-a.held(now), 0), len(a.loans)
	}
	return 0, 0
}

// Close drops an upstream that is no longer brittle.
func (l *Lender) Close(instance string) {
	a := l.accounts[instance]
	if a == nil {
		return
	}
	for _, le := range slices.Clone(a.leases) {
		l.giveBack(a, le)
	}
	for host := range a.asked {
		l.dirty[host] = true
	}
	delete(l.accounts, instance)
	if i, ok := slices.BinarySearch(l.order, instance); ok {
		l.order = slices.Delete(l.order, i, i+1)
	}
	l.due = true
}

// Due reports whether Step has something to do at once, and clears that.
func (l *Lender) Due() bool {
	due := l.due
	l.due = false
	return due
}

// TakeRoom reports whether requests that wait may have found room since the last call.
func (l *Lender) TakeRoom() bool {
	room := l.room
	l.room = false
	return room
}

// Active reports whether any slots are divided, or messages are due.
func (l *Lender) Active() bool { return len(l.accounts)+len(l.dirty) > 0 }

// Hosts returns the number of hosts that slots are dealt out to.
func (l *Lender) Hosts() int { return len(l.hosts) }

// Stats returns the current counts.
func (l *Lender) Stats() Stats { return l.stats }

// Step lends and returns slots and asks for others, and returns the messages to send. It is to be called at least every
// 50 ms while Active is true.
func (l *Lender) Step(now time.Time) []Message {
	l.begin(now)
	for _, instance := range slices.Clone(l.order) {
		a := l.accounts[instance]
		a.expire(now)
		l.giveUnusedBack(now, a)
		l.serve(now, a)
		if now.Sub(a.usedAt) > accountTTL && len(a.loans) == 0 && len(a.leases) == 0 {
			l.Close(instance)
		}
	}
	l.ask(now)
	return l.messages(now)
}

// Receive applies a message of another host, and returns the messages to send.
func (l *Lender) Receive(now time.Time, from string, m *Message) []Message {
	l.begin(now)
	p := l.peer(from)
	if m.Epoch != p.epoch {
		l.forget(from)
		*p = peer{epoch: m.Epoch}
	}
	if m.Sent < p.sent || len(m.Asks) > maxMessageAsks {
		return nil
	}
	p.sent, p.heard = m.Sent, now
	l.receiveLoans(now, from, m)
	if m.Of == l.opts.Epoch { // others were for an earlier start of this host
		l.receiveGrants(now, from, p, m.Grants)
	}
	l.receiveAsks(now, from, m)
	for _, instance := range l.order {
		if a := l.accounts[instance]; len(a.asks) > 0 {
			l.serve(now, a)
		}
	}
	return l.messages(now)
}

// forget drops what this host knows of an earlier start of another one.
func (l *Lender) forget(host string) {
	for _, a := range l.accounts {
		maps.DeleteFunc(a.loans, func(_ uint64, n *loan) bool { return n.host == host })
		a.leases = slices.DeleteFunc(a.leases, func(le *Lease) bool { return le.owner == host && !le.inUse })
		delete(a.asks, host)
	}
}

// receiveLoans ends the loans that their borrower no longer has.
func (l *Lender) receiveLoans(now time.Time, from string, m *Message) {
	current := m.Of == l.opts.Epoch
	l.receiveEarlier(now, from, m, current)
	held := make(map[uint64]bool, len(m.Held))
	for _, h := range m.Held {
		held[h.ID] = true
	}
	for _, a := range l.accounts {
		for id, n := range a.loans {
			if n.host != from {
				continue
			}
			n.heard = now
			switch {
			case current && slices.Contains(m.Refused, id):
				l.hold(now, a)
				delete(a.loans, id)
			case current && held[id]:
			case current && id <= m.Seen, m.Sent > n.sent+grantTTL:
				delete(a.loans, id)
			}
		}
	}
}

// earlierLoans are loans of an earlier start of this host to one borrower.
type earlierLoans struct {
	count int
	heard time.Time
}

// receiveEarlier records the loans that a host still uses of an earlier start of this one.
func (l *Lender) receiveEarlier(now time.Time, from string, m *Message, current bool) {
	instances := m.Earlier
	if !current {
		for _, h := range m.Held {
			instances = append(instances, h.Instance)
		}
	}
	for _, hosts := range l.earlier {
		delete(hosts, from)
	}
	for _, instance := range instances[:min(len(instances), maxMessageAsks)] {
		hosts := l.earlier[instance]
		if hosts == nil {
			hosts = make(map[string]earlierLoans)
			l.earlier[instance] = hosts
		}
		hosts[from] = earlierLoans{count: hosts[from].count + 1, heard: now}
	}
}

// lentEarlier returns the number of slots of an upstream that an earlier start of this host had lent and that are in use.
func (l *Lender) lentEarlier(now time.Time, instance string) int {
	n := 0
	for host, e := range l.earlier[instance] {
		if now.Sub(e.heard) > loanTTL {
			delete(l.earlier[instance], host)
			continue
		}
		n += e.count
	}
	if n == 0 {
		delete(l.earlier, instance)
	}
	return n
}

// receiveAsks replaces what another host asks for.
func (l *Lender) receiveAsks(now time.Time, from string, m *Message) {
	asked := make(map[string]bool, len(m.Asks))
	for _, ask := range m.Asks {
		if !ask.valid() {
			continue
		}
		a := l.accounts[ask.Instance]
		if a == nil {
			a = l.account(now, ask.Instance, ask.terms())
		}
		if a == nil {
			continue
		}
		a.usedAt = now
		asked[ask.Instance] = true
		k := a.asks[from]
		if k == nil {
			k = &asker{}
			a.asks[from] = k
		}
		k.ask, k.sent, k.at = ask, m.Sent, now
	}
	for _, a := range l.accounts {
		if k := a.asks[from]; k != nil && !asked[a.instance] {
			k.ask.Count = 0
		}
	}
}
