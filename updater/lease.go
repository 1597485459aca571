// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package updater

import "time"

// Record is the lease as stored.
type Record struct {
	Host  string `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"` // Nonce distinguishes the writes of one host.
}

// Lease is the newest lease record with the offset after it.
type Lease struct {
	Record Record
	End    int64
}

// lease is a host's local state of the lease.
type lease struct {
	known     bool
	newest    Lease
	firstSeen time.Time // firstSeen is when this host first read the newest record.
	released  bool      // released is set when the holder reported that it stopped.
	orderFrom time.Time // orderFrom is the earliest time of an order by the holder that released the lease.

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

// acquire returns the next store call needed to obtain the lease.
func (up *Updater) acquire(now time.Time) []Command {
	l := &up.lease
	if l.inFlight {
		return nil
	}
	free := l.newest.End == 0 || l.released || l.newest.Record.Host == up.opts.Host ||
		now.Sub(l.firstSeen) > up.opts.Term+up.opts.Margin
	if l.known && free {
		return up.writeLease(now)
	}
	if now.Sub(l.lastCall) < minReadInterval {
		return nil
	}
	l.inFlight, l.lastCall = true, now
	return []Command{ReadLease{}}
}

func (up *Updater) writeLease(now time.Time) []Command {
	l := &up.lease
	l.inFlight, l.lastCall = true, now
	up.nonce++
	l.sentAt[up.nonce] = now
	return []Command{WriteLease{At: l.newest.End, Record: Record{Host: up.opts.Host, Nonce: up.nonce}}}
}

// renewLease extends the hold in the second half of its term.
func (up *Updater) renewLease(now time.Time) []Command {
	if up.lease.inFlight || up.lease.heldUntil.Sub(now) > up.opts.Term/2 {
		return nil
	}
	return up.writeLease(now)
}

// LeaseRead processes the result of ReadLease.
func (up *Updater) LeaseRead(now time.Time, got Lease, err error) {
	l := &up.lease
	l.inFlight = false
	if err != nil {
		return
	}
	l.known = true
	up.observeLease(now, got)
	sent, mine := l.sentAt[got.Record.Nonce]
	if mine && got.Record.Host == up.opts.Host {
		up.extendHold(sent, got)
	}
}

// observeLease stores a lease record that is newer than the one known.
func (up *Updater) observeLease(now time.Time, got Lease) {
	l := &up.lease
	if got.End <= l.newest.End {
		return
	}
	l.newest, l.firstSeen, l.released = got, now, false
}

// extendHold begins or extends this host's hold with a record that it sent at the given time.
func (up *Updater) extendHold(sent time.Time, got Lease) {
	l := &up.lease
	if l.token == 0 || l.newest.Record.Host != up.opts.Host {
		up.takeOver()
		l.token = uint64(got.End)
	}
	l.newest, l.known, l.released = got, true, false
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
	case l.newest.End == 0:
		return
	case l.released:
		up.notBefore = l.orderFrom
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
	if conflict || err != nil {
		l.known = false // the current record must be read again
		return
	}
	sent, ok := l.sentAt[c.Record.Nonce]
	if !ok {
		return
	}
	got := Lease{Record: c.Record, End: c.At + 1}
	up.extendHold(sent, got)
	l.firstSeen = now
}
