// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package lender

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/tracker"
)

const (
	// gainDelay is the time in which all hosts learn that a host has come or is counted no more.
	gainDelay = time.Second
	// refusalShare is the share of the refusals borne that hosts may cause by slots that others may use.
	refusalShare = 0.25
	// minRefusalRate is the least number of such refusals a second, where the upstream bears none.
	minRefusalRate = 0.1
	// minHold is the least time for which a slot stays unused after a refusal.
	minHold = time.Second
	// holdSpread spreads that time.
	holdSpread = 0.25
	// wantTTL is how long a request that found no slot counts as waiting for one. Requests that wait are tried again
	// every 20 ms.
	wantTTL = 60 * time.Millisecond
	// ownTurn is the time in which this host must use a slot when its turn has come.
	ownTurn = 20 * time.Millisecond
	// askTTL is how long an ask counts after the last message with it.
	askTTL = 400 * time.Millisecond
	// maxTurn is the longest time for which a loan may be used for one request after the other. It is divided by the
	// hosts that wait.
	maxTurn = 100 * time.Millisecond
	// loanTTL is how long a loan counts after the last message of its borrower.
	loanTTL = 2 * time.Second
	// maxSlots and maxRefusals bound what other hosts can say of an upstream.
	maxSlots    = 1 << 20
	maxRefusals = 1e6
)

// account is what a host knows of the slots of one upstream.
type account struct {
	Terms
	instance string
	usedAt   time.Time // usedAt is when it was last of use.

	version int            // version is that of the hosts from which the owners were worked out.
	owners  []string       // owners are in rendezvous order.
	parts   map[string]int // parts are the numbers of slots dealt out to them.
	part    int            // part is the number of slots that this host uses and lends.
	gainsAt time.Time      // gainsAt is when part grows; zero if it has what was dealt out.
	pace    time.Duration  // pace is the time between two slots that part grows by; 0 for all at once.
	holds   []time.Time    // holds has until when slots stay unused after refusals.

	loans    map[uint64]*loan
	asks     map[string]*asker
	servedAt time.Time // servedAt is when this host last used a slot of its own.
	ownUntil time.Time // ownUntil is until when a free slot is kept for this host.

	leases      []*Lease
	asked       map[string]time.Time // asked has the owners that this host asks, with since when.
	wantedAt    time.Time            // wantedAt is when a request last found no slot.
	wantedSince time.Time
}

// loan is a slot that this host has lent.
type loan struct {
	host  string
	sent  time.Duration // sent is that of the message that asked for it.
	heard time.Time     // heard is when the borrower was last heard.
}

// asker is a host that asks this one.
type asker struct {
	ask      Ask
	sent     time.Duration
	at       time.Time
	servedAt time.Time
}

func (a *asker) waits(now time.Time) bool { return a.ask.Count > 0 && now.Sub(a.at) <= askTTL }

// deal works out the owners, and returns what was dealt out before.
func (l *Lender) deal(a *account) (before map[string]int) {
	before = a.parts
	a.version = l.version
	a.owners = firstRanked(l.hosts, a.instance, a.Slots)
	a.parts = make(map[string]int, len(a.owners))
	for i, host := range a.owners {
		a.parts[host] = a.Slots / len(l.hosts)
		if i < a.Slots%len(l.hosts) {
			a.parts[host]++
		}
	}
	return before
}

// settle brings this host's part up to date.
func (l *Lender) settle(now time.Time, a *account) {
	if a.version != l.version {
		before := l.deal(a)
		if part := a.parts[l.opts.Host]; part <= a.part {
			a.part, a.gainsAt = part, time.Time{}
		} else if a.gainsAt.IsZero() || l.shrank && a.pace == 0 {
			l.gain(a, before)
		}
	}
	if a.gainsAt.IsZero() || now.Before(a.gainsAt) {
		return
	}
	part := a.parts[l.opts.Host]
	if a.pace > 0 && part > a.part+1 {
		a.part, a.gainsAt = a.part+1, now.Add(a.pace)
		return
	}
	a.part, a.gainsAt = part, time.Time{}
}

// gain sets when this host's part grows. Hosts that are missing may go on, so that the owners of their slots, and those
// that come in their place, take these one after the other.
func (l *Lender) gain(a *account, before map[string]int) {
	a.gainsAt, a.pace = l.changedAt.Add(gainDelay), 0
	if l.shrankAt.IsZero() || l.changedAt.Sub(l.shrankAt) > lossMemory {
		return
	}
	slots, first := 0, 0
	for _, host := range a.owners {
		if host == l.opts.Host {
			first = slots
		}
		slots += max(a.parts[host]-before[host], 0)
	}
	each := time.Duration(float64(time.Second) / a.refusalRate())
	a.gainsAt, a.pace = a.gainsAt.Add(time.Duration(first)*each), time.Duration(slots)*each
}

// firstRanked returns the first n hosts in rendezvous order for a key.
func firstRanked(hosts []string, key string, n int) []string {
	type ranked struct {
		host string
		rank uint64
	}
	all := make([]ranked, len(hosts))
	for i, h := range hosts {
		all[i] = ranked{h, tracker.Rank(h, key)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.host, b.host)) })
	first := make([]string, min(n, len(all)))
	for i := range first {
		first[i] = all[i].host
	}
	return first
}

// refusalRate returns the number of refusals a second that all hosts together may cause by trying slots.
func (a *account) refusalRate() float64 { return max(refusalShare*a.Refusals, minRefusalRate) }

// hold keeps a slot unused after a refusal.
func (l *Lender) hold(now time.Time, a *account) {
	seconds := float64(a.Slots) / a.refusalRate()
	d := max(time.Duration(seconds*float64(time.Second)), minHold)
	a.holds = append(a.holds, now.Add(time.Duration((1-holdSpread+2*holdSpread*l.rng.Float64())*float64(d))))
}

// borrowed returns the number of requests of this host in flight that hold leases.
func (a *account) borrowed() int {
	n := 0
	for _, le := range a.leases {
		if le.inUse {
			n++
		}
	}
	return n
}

// free returns the number of slots of this host's part that are not in use.
func (l *Lender) free(now time.Time, a *account) int {
	own := max(l.opts.InUse(now, a.instance)-a.borrowed(), 0)
	return a.part - a.held(now) - len(a.loans) - l.lentEarlier(now, a.instance) - own
}

// held returns the number of slots that stay unused after refusals.
func (a *account) held(now time.Time) int {
	a.holds = slices.DeleteFunc(a.holds, func(until time.Time) bool { return !now.Before(until) })
	return len(a.holds)
}

// wanted reports whether a request of this host waits for a slot.
func (a *account) wanted(now time.Time) bool {
	return !a.wantedAt.IsZero() && now.Sub(a.wantedAt) <= wantTTL
}

// inUse returns the number of slots of a service that this host uses.
func (l *Lender) inUse(now time.Time, service string) int {
	n := 0
	for _, a := range l.accounts {
		if a.Service == service {
			n += l.opts.InUse(now, a.instance)
		}
	}
	return n
}

// next returns the host that the next free slot goes to, which may be this one; "" for none.
func (l *Lender) next(now time.Time, a *account) string {
	name, first := "", asker{}
	for host, k := range a.asks {
		if !k.waits(now) {
			continue
		}
		if name == "" || cmp.Or(cmp.Compare(k.ask.InUse, first.ask.InUse), k.servedAt.Compare(first.servedAt), cmp.Compare(host, name)) < 0 {
			name, first = host, *k
		}
	}
	if !a.wanted(now) {
		return name
	}
	if name == "" || cmp.Or(cmp.Compare(l.inUse(now, a.Service), first.ask.InUse), a.servedAt.Compare(first.servedAt)) <= 0 {
		return l.opts.Host
	}
	return name
}

// waiting returns the number of hosts that ask for slots.
func (a *account) waiting(now time.Time) int {
	n := 0
	for _, k := range a.asks {
		if k.waits(now) {
			n++
		}
	}
	return n
}

// serve lends the free slots of an upstream.
func (l *Lender) serve(now time.Time, a *account) {
	l.settle(now, a)
	for l.free(now, a) > 0 {
		host := l.next(now, a)
		switch {
		case host == "":
			return
		case host == l.opts.Host && a.ownUntil.IsZero():
			a.ownUntil, l.room = now.Add(ownTurn), true
			return
		case host == l.opts.Host && now.Before(a.ownUntil):
			return
		case host == l.opts.Host: // it did not use its turn
			a.wantedAt, a.ownUntil = time.Time{}, time.Time{}
			continue
		}
		a.ownUntil = time.Time{}
		l.lend(now, a, host)
	}
}

// lend lends a slot to a host that asks.
func (l *Lender) lend(now time.Time, a *account, host string) {
	k := a.asks[host]
	k.ask.Count--
	k.ask.InUse++
	k.servedAt = now
	l.lastLoan++
	l.stats.Lent++
	a.loans[l.lastLoan] = &loan{host: host, sent: k.sent, heard: now}
	p := l.peer(host)
	p.grants = append(p.grants, Grant{Instance: a.instance, ID: l.lastLoan, Sent: k.sent, Turn: maxTurn / time.Duration(1+a.waiting(now))})
	l.dirty[host] = true
}

// expire drops the loans and asks of hosts that have been silent for long.
func (a *account) expire(now time.Time) {
	maps.DeleteFunc(a.loans, func(_ uint64, n *loan) bool { return now.Sub(n.heard) > loanTTL })
	maps.DeleteFunc(a.asks, func(_ string, k *asker) bool { return now.Sub(k.at) > loanTTL })
}
