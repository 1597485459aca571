// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package updater

import (
	"time"

	"amaranthgate.example/amaranthgate/follower"
)

// Record is the lease as stored.
type Record struct {
	Host  string `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`           // Nonce distinguishes the writes of one host.
	Era   uint64 `cbor:"3,keyasint,omitempty"` // Era is that of the store when the record was written.
}

// Lease is the newest lease record with the position after it.
type Lease struct {
	Record Record
	End    int64
	Era    uint64 `cbor:",omitempty"` // Era is that of End.
}

// position returns the position after the record.
func (l Lease) position() follower.Position { return follower.Position{Era: l.Era, Offset: l.End} }

// fencingTokenOffsetBits is the number of bits of a fencing token that hold the offset.
const fencingTokenOffsetBits = 32

// fencingToken returns the token of a holder whose first record ends at a position. It also grows when
// offsets go back, and fits into the integers of JSON.
func fencingToken(p follower.Position) uint64 {
	return p.Era<<fencingTokenOffsetBits | uint64(p.Offset)
}

// lease is a host's local state of the lease.
type lease struct {
	known     bool
	newest    Lease
	firstSeen time.Time // firstSeen is when this host first read the newest record.
	released  bool      // released is set when the holder reported that it stopped.
	orderFrom time.Time // orderFrom is the earliest time of an order by the holder that released the lease.
	era       uint64    // era is the newest known era of the store.
	lost      bool      // lost is set once the store lost records while this process ran.
	// rolledBack is set while the newest record may be older than one that the store lost, so that it does not
	// say who holds the lease.
	rolledBack bool

	inFlight  bool                 // inFlight is set during a call to the store.
	lastCall  time.Time            // lastCall is when the last call to the store began.
	sentAt    map[uint64]time.Time // sentAt is the time of each pending write, by nonce.
	heldUntil time.Time            // heldUntil is when this host's own hold ends.
	prior     Lease                // prior is the record of the previous holder, if this host took over from it.
	token     uint64               // token is the fencing token; it grows with each change of holder.
}

// minReadInterval is the minimum time between two reads of the lease.
const minReadInterval = 300 * time.Millisecond

func (up *Updater) held(now time.Time) bool { return now.Before(up.lease.heldUntil) }

// release ends this host's hold. The next status tells the others.
func (up *Updater) release(now time.Time) {
	if up.held(now) {
		up.wasHeld = true
		up.lease.heldUntil = now
	}
}

// acquire returns the next store call needed to obtain the lease.
func (up *Updater) acquire(now time.Time) []Command {
	l := &up.lease
	if l.inFlight {
		return nil
	}
	unheld := l.newest.End == 0 || l.newest.Record.Host == up.opts.Host
	free := l.released || unheld && !l.rolledBack || now.Sub(l.firstSeen) > up.opts.Term+up.opts.Margin
	if l.known && free {
		return up.writeLease(now)
	}
	if now.Sub(l.lastCall) < minReadInterval {
		return nil
	}
	return up.readLease(now)
}

func (up *Updater) writeLease(now time.Time) []Command {
	l := &up.lease
	l.inFlight, l.lastCall = true, now
	up.nonce++
	l.sentAt[up.nonce] = now
	return []Command{WriteLease{At: l.newest.End, Era: l.newest.Era,
		Record: Record{Host: up.opts.Host, Nonce: up.nonce, Era: l.newest.Era}}}
}

// renewLease extends the hold in the second half of its term. If the store lost the record of the hold, no
// other host can obtain the lease before the hold ends, so that its record may be written again.
func (up *Updater) renewLease(now time.Time) []Command {
	l := &up.lease
	switch {
	case l.inFlight || l.heldUntil.Sub(now) > up.opts.Term/2:
		return nil
	case !l.known:
		return up.readLease(now)
	case l.newest.Record.Host != up.opts.Host && !l.rolledBack:
		return nil // another host holds it
	}
	return up.writeLease(now)
}

func (up *Updater) readLease(now time.Time) []Command {
	up.lease.inFlight, up.lease.lastCall = true, now
	return []Command{ReadLease{}}
}

// SetEra sets the era of the store. If records of an earlier era may be lost, what the store has now does not tell
// who holds the lease, and pending writes grant no hold, as they may be executed at an offset that was given
// out again.
func (up *Updater) SetEra(era uint64, lost bool) {
	l := &up.lease
	if era <= l.era {
		return
	}
	l.era = era
	if lost {
		l.known, l.lost, l.rolledBack = false, true, true
		clear(l.sentAt)
	}
}

// LeaseRead processes the result of ReadLease.
func (up *Updater) LeaseRead(now time.Time, got Lease, err error) {
	l := &up.lease
	l.inFlight = false
	if err != nil || got.Era < l.era {
		return
	}
	up.observeLease(now, got)
	l.known = true
	sent, mine := l.sentAt[got.Record.Nonce]
	if mine && got.Record.Host == up.opts.Host {
		up.extendHold(sent, got)
	}
}

// observeLease stores a lease record that is newer than the one known.
func (up *Updater) observeLease(now time.Time, got Lease) {
	l := &up.lease
	if !got.position().After(l.newest.position()) {
		return
	}
	l.newest, l.firstSeen, l.released = got, now, false
	l.rolledBack = got.Record.Era != got.Era
	if got.End == 0 {
		l.rolledBack = l.lost || up.opts.Restarted
	}
}

// extendHold begins or extends this host's hold with a record that it sent at the given time.
func (up *Updater) extendHold(sent time.Time, got Lease) {
	l := &up.lease
	renewed := sent.Before(l.heldUntil) || l.newest.Record.Host == up.opts.Host && !l.rolledBack
	if l.token == 0 || !renewed {
		up.takeOver()
		l.token = fencingToken(got.position())
	}
	l.newest, l.known, l.released, l.rolledBack = got, true, false, false
	l.heldUntil = sent.Add(up.opts.Term - up.opts.Margin)
	clear(l.sentAt)
}

// takeOver sets the earliest time for an order of this host: HandoverGap after the last possible order
// of the previous holder. If that holder released the lease, its status listed its recent orders and
// its own remaining wait. A process that finds its own host's record does not know the holder before
// it, and waits HandoverGap from its start.
func (up *Updater) takeOver() {
	l := &up.lease
	switch {
	case l.released:
		up.notBefore = l.orderFrom
		return
	case l.rolledBack: // the holder before may be any host
	case l.newest.End == 0:
		return
	case l.newest.Record.Host == up.opts.Host:
		up.notBefore = up.started.Add(up.opts.HandoverGap + up.opts.Margin)
		return
	}
	l.prior = l.newest
	up.notBefore = l.firstSeen.Add(up.opts.Term + up.opts.HandoverGap + up.opts.Margin)
}

// LeaseWritten processes the result of WriteLease. conflict reports that another record was written
// first; after any other error the write may have succeeded, or may still succeed.
func (up *Updater) LeaseWritten(now time.Time, c WriteLease, conflict bool, err error) {
	l := &up.lease
	l.inFlight = false
	if conflict {
		delete(l.sentAt, c.Record.Nonce)
	}
	if conflict || err != nil {
		l.known = false // the current record must be read again
		return
	}
	sent, ok := l.sentAt[c.Record.Nonce]
	if !ok {
		return
	}
	got := Lease{Record: c.Record, End: c.At + 1, Era: c.Era}
	up.extendHold(sent, got)
	l.firstSeen = now
}
