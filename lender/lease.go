// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package lender

import (
	"maps"
	"slices"
	"time"
)

// Lease is a slot that this host has borrowed.
type Lease struct {
	account *account
	owner   string
	epoch   uint64 // epoch is that of the owner.
	id      uint64
	until   time.Time // until is when the last request may be sent with it.
	inUse   bool
}

// Owner returns the host that has lent the slot; "" for nil.
func (le *Lease) Owner() string {
	if le == nil {
		return ""
	}
	return le.owner
}

// usable reports whether a request may be sent with the lease once no other uses it.
func (le *Lease) usable(now time.Time) bool { return !now.After(le.until) }

// unused returns a lease that a request may be sent with; nil if there is none.
func (a *account) unused(now time.Time) *Lease {
	for _, le := range a.leases {
		if !le.inUse && le.usable(now) {
			return le
		}
	}
	return nil
}

// giveBack returns a lease to its owner.
func (l *Lender) giveBack(a *account, le *Lease) {
	a.leases = slices.DeleteFunc(a.leases, func(o *Lease) bool { return o == le })
	l.dirty[le.owner] = true
	l.due = true
}

// enterTime is the time in which a request that found no slot is counted as waiting.
const enterTime = 5 * time.Millisecond

// giveUnusedBack returns the leases that no request waits for.
func (l *Lender) giveUnusedBack(now time.Time, a *account) {
	idle := !a.wanted(now) || l.opts.Waiting() == 0 && now.Sub(a.wantedAt) > enterTime
	for _, le := range slices.Clone(a.leases) {
		if !le.inUse && (idle || !le.usable(now)) {
			l.giveBack(a, le)
		}
	}
}

// receiveGrants adds the loans that another host has granted.
func (l *Lender) receiveGrants(now time.Time, from string, p *peer, grants []Grant) {
	for _, g := range grants {
		p.seen = max(p.seen, g.ID)
		a := l.accounts[g.Instance]
		latest := l.started.Add(g.Sent + grantTTL)
		if a != nil {
			delete(a.asked, from)
		}
		if a == nil || now.After(latest) || g.Sent < 0 || !a.wanted(now) {
			l.stats.Late++
			l.dirty[from], l.due = true, true
			continue
		}
		l.stats.Borrowed++
		until := now.Add(min(max(g.Turn, 0), maxTurn))
		if until.Before(now.Add(ownTurn)) {
			until = now.Add(ownTurn)
		}
		if until.After(latest) {
			until = latest
		}
		a.leases = append(a.leases, &Lease{account: a, owner: from, epoch: p.epoch, id: g.ID, until: until})
		a.usedAt, a.wantedAt = now, now
		l.room = true
	}
}

// ask chooses the owners that this host asks.
func (l *Lender) ask(now time.Time) {
	services := make(map[string][]*account)
	for _, instance := range l.order {
		a := l.accounts[instance]
		wanted := a.wanted(now)
		for host, since := range a.asked {
			if !wanted || now.Sub(since) > askTurn {
				delete(a.asked, host)
				l.dirty[host] = true
			}
		}
		if wanted {
			services[a.Service] = append(services[a.Service], a)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		l.askFor(now, services[service])
	}
}

// owner is an owner of slots of an upstream.
type owner struct {
	account *account
	host    string
}

// askFor chooses the owners to ask for slots of one service.
func (l *Lender) askFor(now time.Time, accounts []*account) {
	need, since, asked := max(l.opts.Waiting(), 1), now, 0
	var others []owner
	for _, a := range accounts {
		if a.wantedSince.Before(since) {
			since = a.wantedSince
		}
		asked += len(a.asked)
		for _, le := range a.leases {
			if !le.inUse {
				need--
			}
		}
		for _, host := range a.owners {
			if _, ok := a.asked[host]; !ok && host != l.opts.Host {
				others = append(others, owner{a, host})
			}
		}
	}
	if need <= 0 {
		return
	}
	most := min(asksEach*(need+int(now.Sub(since)/askStep)), maxAsks)
	l.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, o := range others[:min(len(others), max(most-asked, 0))] {
		o.account.asked[o.host] = now
		l.dirty[o.host] = true
	}
}

// messages returns the messages that are due.
func (l *Lender) messages(now time.Time) []Message {
	held, earlier, asks := make(map[string][]Loan), make(map[string][]string), make(map[string][]Ask)
	for _, instance := range l.order {
		a := l.accounts[instance]
		for _, le := range a.leases {
			switch {
			case !l.writes(now, le.owner):
			case le.epoch != l.peer(le.owner).epoch:
				earlier[le.owner] = append(earlier[le.owner], instance)
			default:
				held[le.owner] = append(held[le.owner], Loan{instance, le.id})
			}
		}
		for host := range a.asked {
			if l.writes(now, host) {
				asks[host] = append(asks[host], l.askOf(now, a, host))
			}
		}
	}
	if len(l.dirty) == 0 {
		return nil
	}
	var out []Message
	for _, host := range slices.Sorted(maps.Keys(l.dirty)) {
		p := l.peer(host)
		out = append(out, Message{
			To: host, Epoch: l.opts.Epoch, Sent: now.Sub(l.started), Asks: asks[host], Of: p.epoch, Seen: p.seen,
			Held: held[host], Refused: p.refused, Grants: p.grants, Earlier: earlier[host],
		})
		p.refused, p.grants, p.told = nil, nil, now
		l.stats.Messages++
	}
	clear(l.dirty)
	return out
}

// writes reports whether a message to a host that this one asks or borrows from is due.
func (l *Lender) writes(now time.Time, host string) bool {
	if !l.dirty[host] && now.Sub(l.peer(host).told) >= messageInterval {
		l.dirty[host] = true
	}
	return l.dirty[host]
}

// askOf returns what this host asks an owner for.
func (l *Lender) askOf(now time.Time, a *account, host string) Ask {
	return Ask{
		Instance: a.instance, Service: a.Service, Slots: a.Slots, Refusals: a.Refusals,
		Count: max(min(l.opts.Waiting(), a.parts[host]), 1), InUse: l.inUse(now, a.Service),
	}
}
