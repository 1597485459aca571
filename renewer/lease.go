// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package renewer

import "time"

// Record is the lease as it lies in the store.
type Record struct {
	Host  string `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"` // Nonce tells one write of a host from another.
}

// Lease is the newest record with the offset after it.
type Lease struct {
	Record Record
	End    int64
}

// lease is what a host knows of the lease.
type lease struct {
	known     bool
	now       Lease
	seen      time.Time // seen is when this host first saw the record.
	released  bool      // released tells that its holder has stopped for good.
	orderFrom time.Time // orderFrom is when a holder that released the lease could have ordered itself.

	busy  bool      // busy tells that a call to the store is under way.
	asked time.Time // asked is when the store was last asked.
	sent  map[uint64]time.Time
	until time.Time // until is when this host's own hold ends.
	prior Lease     // prior is the record of the host before, if this one took over from it.
	token uint64    // token grows with each host that takes over.
}

// pauseAfterRead is the least time between two reads of the lease.
const pauseAfterRead = 300 * time.Millisecond

func (r *Renewer) held(now time.Time) bool { return now.Before(r.lease.until) }

// acquire returns the next call towards holding the lease.
func (r *Renewer) acquire(now time.Time) []Command {
	l := &r.lease
	if l.busy {
		return nil
	}
	free := l.now.End == 0 || l.released || l.now.Record.Host == r.opts.Host ||
		now.Sub(l.seen) > r.opts.Term+r.opts.Margin
	if l.known && free {
		return r.write(now)
	}
	if now.Sub(l.asked) < pauseAfterRead {
		return nil
	}
	l.busy, l.asked = true, now
	return []Command{ReadLease{}}
}

func (r *Renewer) write(now time.Time) []Command {
	l := &r.lease
	l.busy, l.asked = true, now
	r.nonce++
	l.sent[r.nonce] = now
	return []Command{WriteLease{At: l.now.End, Record: Record{Host: r.opts.Host, Nonce: r.nonce}}}
}

// renew keeps a hold while there is work left.
func (r *Renewer) renew(now time.Time) []Command {
	if r.lease.busy || r.lease.until.Sub(now) > r.opts.Term/2 {
		return nil
	}
	return r.write(now)
}

// LeaseRead takes in an answer to ReadLease.
func (r *Renewer) LeaseRead(now time.Time, got Lease, err error) {
	l := &r.lease
	l.busy = false
	if err != nil {
		return
	}
	l.known = true
	r.saw(now, got)
	sent, mine := l.sent[got.Record.Nonce]
	if mine && got.Record.Host == r.opts.Host {
		r.hold(sent, got)
	}
}

// saw notes a record that is in force.
func (r *Renewer) saw(now time.Time, got Lease) {
	l := &r.lease
	if got.End <= l.now.End {
		return
	}
	l.now, l.seen, l.released = got, now, false
}

// hold begins or prolongs this host's hold with a record that it sent at a time.
func (r *Renewer) hold(sent time.Time, got Lease) {
	l := &r.lease
	if l.token == 0 || l.now.Record.Host != r.opts.Host {
		r.takeOver()
		l.token = uint64(got.End)
	}
	l.now, l.known, l.released = got, true, false
	l.until = sent.Add(r.opts.Term - r.opts.Margin)
	clear(l.sent)
}

// takeOver works out from when this host may order: a turn after the one before
// can have given its last order. A holder that released the lease has told of all
// orders within a turn, and of what it had to wait for itself. A process that finds its own host's hold does not know whom
// that hold had followed, and waits a turn from its start.
func (r *Renewer) takeOver() {
	l := &r.lease
	switch {
	case l.now.End == 0:
		return
	case l.released:
		r.notBefore = l.orderFrom
		return
	case l.now.Record.Host == r.opts.Host:
		r.notBefore = r.started.Add(r.opts.Turn + r.opts.Margin)
		return
	}
	l.prior = l.now
	r.notBefore = l.seen.Add(r.opts.Term + r.opts.Turn + r.opts.Margin)
}

// LeaseWritten takes in an answer to WriteLease. conflict says that another
// record lies there; other errors say that the write may have been carried out,
// or may still be.
func (r *Renewer) LeaseWritten(now time.Time, c WriteLease, conflict bool, err error) {
	l := &r.lease
	l.busy = false
	if conflict || err != nil {
		l.known = false // what lies there must be read
		return
	}
	sent, ok := l.sent[c.Record.Nonce]
	if !ok {
		return
	}
	got := Lease{Record: c.Record, End: c.At + 1}
	r.hold(sent, got)
	l.seen = now
}
