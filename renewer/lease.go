// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package renewer

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

func (r *Renewer) held(now time.Time) bool { return now.Before(r.lease.heldUntil) }

// acquire returns the next store call needed to obtain the lease.
func (r *Renewer) acquire(now time.Time) []Command {
	l := &r.lease
	if l.inFlight {
		return nil
	}
	free := l.newest.End == 0 || l.released || l.newest.Record.Host == r.opts.Host ||
		now.Sub(l.firstSeen) > r.opts.Term+r.opts.Margin
	if l.known && free {
		return r.writeLease(now)
	}
	if now.Sub(l.lastCall) < minReadInterval {
		return nil
	}
	l.inFlight, l.lastCall = true, now
	return []Command{ReadLease{}}
}

func (r *Renewer) writeLease(now time.Time) []Command {
	l := &r.lease
	l.inFlight, l.lastCall = true, now
	r.nonce++
	l.sentAt[r.nonce] = now
	return []Command{WriteLease{At: l.newest.End, Record: Record{Host: r.opts.Host, Nonce: r.nonce}}}
}

// renewLease extends the hold in the second half of its term.
func (r *Renewer) renewLease(now time.Time) []Command {
	if r.lease.inFlight || r.lease.heldUntil.Sub(now) > r.opts.Term/2 {
		return nil
	}
	return r.writeLease(now)
}

// LeaseRead processes the result of ReadLease.
func (r *Renewer) LeaseRead(now time.Time, got Lease, err error) {
	l := &r.lease
	l.inFlight = false
	if err != nil {
		return
	}
	l.known = true
	r.observeLease(now, got)
	sent, mine := l.sentAt[got.Record.Nonce]
	if mine && got.Record.Host == r.opts.Host {
		r.extendHold(sent, got)
	}
}

// observeLease stores a lease record that is newer than the one known.
func (r *Renewer) observeLease(now time.Time, got Lease) {
	l := &r.lease
	if got.End <= l.newest.End {
		return
	}
	l.newest, l.firstSeen, l.released = got, now, false
}

// extendHold begins or extends this host's hold with a record that it sent at the given time.
func (r *Renewer) extendHold(sent time.Time, got Lease) {
	l := &r.lease
	if l.token == 0 || l.newest.Record.Host != r.opts.Host {
		r.takeOver()
		l.token = uint64(got.End)
	}
	l.newest, l.known, l.released = got, true, false
	l.heldUntil = sent.Add(r.opts.Term - r.opts.Margin)
	clear(l.sentAt)
}

// takeOver sets the earliest time for an order of this host: one turn after the last possible order
// of the previous holder. If that holder released the lease, its status listed its recent orders and
// its own remaining wait. A process that finds its own host's record does not know the holder before
// it, and waits one turn from its start.
func (r *Renewer) takeOver() {
	l := &r.lease
	switch {
	case l.newest.End == 0:
		return
	case l.released:
		r.notBefore = l.orderFrom
		return
	case l.newest.Record.Host == r.opts.Host:
		r.notBefore = r.started.Add(r.opts.HandoverGap + r.opts.Margin)
		return
	}
	l.prior = l.newest
	r.notBefore = l.firstSeen.Add(r.opts.Term + r.opts.HandoverGap + r.opts.Margin)
}

// LeaseWritten processes the result of WriteLease. conflict reports that another record was written
// first; after any other error the write may have succeeded, or may still succeed.
func (r *Renewer) LeaseWritten(now time.Time, c WriteLease, conflict bool, err error) {
	l := &r.lease
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
	r.extendHold(sent, got)
	l.firstSeen = now
}
