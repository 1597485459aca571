// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"maps"
	"time"
)

// Stores check neither epochs nor whether a part is whole, so that a fetch by a host that has not heard of a restart may
// read what another host has just begun to save. What a store has stated is therefore a lease, counted from the time
// that it stated with its contents, on the upstreams' clock: fetches that rest on a statement end within statementTTL of
// it, and no part is saved to a store that restarted, or under a name that it dropped, until that time has passed.
const (
	// statementTTL bounds the time from a store's statement of its contents to the end of a fetch that rests on it. Stores
	// that have nothing new state their contents every storeWait of package conductor.
	statementTTL = 2500 * time.Millisecond
	// minFetchTime is the least time until the end of a lease in which a fetch is planned.
	minFetchTime = 300 * time.Millisecond
	// maxSaveAge is the age of a statement up to which parts that it lacks are saved. Since then others may have saved
	// them, so that fetches rest on that.
	maxSaveAge = 1300 * time.Millisecond
)

// Statement is what a fetch from a store rests on.
type Statement struct {
	Store string // Store is the store's address; empty if nothing is fetched from stores.
	Epoch int64
	Age   time.Duration // Age is the time since the store stated its contents.
}

// outdated reports whether a statement is older than what is known of the store.
func (st *store) outdated(n *StoreChanges) bool {
	if st.statedAt == 0 {
		return false
	}
	if n.Epoch != st.epoch {
		return n.Clock < st.statedAt
	}
	return n.Next < st.next
}

// restart records the first statement of an epoch.
func (st *store) restart(n *StoreChanges) {
	st.epoch, st.next, st.used = n.Epoch, n.Next, 0
	st.savesFrom = n.Clock + statementTTL.Milliseconds()
	clear(st.held)
	clear(st.pendingSaves)
	clear(st.dropped)
}

// replace records that a statement lists all that the store holds.
func (st *store) replace(n *StoreChanges) {
	before := st.held
	st.held, st.used, st.next = make(map[PartName]int, len(n.Changes)), 0, n.Next
	for _, c := range n.Changes {
		delete(before, c.Part)
	}
	for name := range before {
		st.dropped[name] = n.Clock + statementTTL.Milliseconds()
	}
}

// apply records a change of a part.
func (st *store) apply(n *StoreChanges, c *StoreChange) {
	st.used -= st.held[c.Part]
	delete(st.held, c.Part)
	if c.Dropped {
		st.dropped[c.Part] = n.Clock + statementTTL.Milliseconds()
		return
	}
	st.held[c.Part] = c.Tokens
	st.used += c.Tokens
	delete(st.pendingSaves, c.Part)
	delete(st.dropped, c.Part)
}

// stated records the time of a statement and forgets drops on which no fetch rests any more.
func (st *store) stated(n *StoreChanges) {
	st.statedAt = max(st.statedAt, n.Clock)
	maps.DeleteFunc(st.dropped, func(_ PartName, until int64) bool { return until <= n.Clock })
}

// boundFetch records in a choice that it fetches from a store.
func (p *Placer) boundFetch(now time.Time, st *store, c *Choice) {
	deadline := min(p.clock.reading(now)+maxFetchTime.Milliseconds(), st.statedAt+statementTTL.Milliseconds())
	if c.FetchDeadline == 0 {
		c.FetchDeadline, c.Basis.Statement = deadline, p.statement(now, st)
	}
	c.FetchDeadline = min(c.FetchDeadline, deadline)
}

// fetchable reports whether a fetch that is planned now may end in time.
func (p *Placer) fetchable(now time.Time, st *store) bool {
	return p.clock.reading(now)+minFetchTime.Milliseconds() <= st.statedAt+statementTTL.Milliseconds()
}

// savable reports whether a part that a store is not known to hold may be saved there: no fetch still rests on an earlier
// copy.
func (p *Placer) savable(now time.Time, st *store, name PartName) bool {
	reading := p.clock.reading(now)
	return reading >= max(st.savesFrom, st.dropped[name]) && reading-st.statedAt <= maxSaveAge.Milliseconds()
}

// boundSave records in a choice that it saves to a store.
func (p *Placer) boundSave(now time.Time, st *store, c *Choice) {
	until := now.Add(maxSaveAge - p.statement(now, st).Age)
	if c.SaveUntil.IsZero() || until.Before(c.SaveUntil) {
		c.SaveUntil = until
	}
}

// statement returns what a fetch from a store rests on.
func (p *Placer) statement(now time.Time, st *store) Statement {
	age := time.Duration(p.clock.reading(now)-st.statedAt) * time.Millisecond
	return Statement{Store: st.service.Address, Epoch: st.epoch, Age: age}
}
