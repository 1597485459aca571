// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package claimer

import (
	"time"

	"amaranthgate.example/amaranthgate/folder"
)

// Parcel is a reply on its way to a host.
type Parcel struct {
	To    string
	Reply Reply
}

// Effects are what an owner wants done.
type Effects struct {
	Append []folder.Entry // Append are entries for the range's stream, in order.
	Send   []Parcel
}

// Owner decides on the claims of one range while it holds the range's lease.
// It is a state machine without clock or I/O.
type Owner struct {
	writer string
	table  *Table
	policy Policy

	epoch   uint64 // epoch is the lease's epoch; 0 while the lease is not held.
	pending map[Key]pendingClaim
	waiting map[Key][]waiter
	seen    map[Key]time.Time // seen is when a claim without outcome was first met.
	acks    map[string]string // acks holds the host to acknowledge, by nonce.
	expired time.Time
}

type pendingClaim struct {
	request Request
	from    string
}

type waiter struct {
	request Request
	from    string
}

// NewOwner returns the owner's part of a host for one range's table. writer is
// the host's name as a writer of the log.
func NewOwner(writer string, table *Table, policy Policy) *Owner {
	o := &Owner{writer: writer, table: table, policy: policy}
	o.reset()
	return o
}

func (o *Owner) reset() {
	o.epoch, o.expired = 0, time.Time{}
	o.pending = make(map[Key]pendingClaim)
	o.waiting = make(map[Key][]waiter)
	o.seen = make(map[Key]time.Time)
	o.acks = make(map[string]string)
}

// SetPolicy replaces the bounds.
func (o *Owner) SetPolicy(p Policy) { o.policy = p }

// Serving reports whether the owner's Open has been read back.
func (o *Owner) Serving() bool {
	return o.epoch != 0 && o.table.Epoch() == o.epoch && o.table.Owner() == o.writer
}

// Waiting returns the number of claims not read back and of requests that wait
// for another's outcome.
func (o *Owner) Waiting() (pending, waiting int) { return len(o.pending), len(o.waiting) }

// Hold tells the owner which lease it holds; epoch 0 means none.
func (o *Owner) Hold(epoch uint64) Effects {
	var fx Effects
	if epoch == o.epoch {
		return fx
	}
	fx.Send = o.dismiss()
	o.reset()
	o.epoch = epoch
	if epoch > o.table.Epoch() {
		fx.Append = append(fx.Append, folder.NewEntry(KindOpen, Open{Epoch: epoch}))
	}
	return fx
}

// dismiss sends everyone who waits to the next owner.
func (o *Owner) dismiss() []Parcel {
	var out []Parcel
	for _, p := range o.pending {
		out = append(out, Parcel{To: p.from, Reply: Reply{Nonce: p.request.Nonce, Result: ResultNotOwner}})
	}
	for _, ws := range o.waiting {
		for _, w := range ws {
			out = append(out, Parcel{To: w.from, Reply: Reply{Nonce: w.request.Nonce, Result: ResultNotOwner}})
		}
	}
	return out
}

// Request handles a claim from a host.
func (o *Owner) Request(now time.Time, from string, r Request) Effects {
	var fx Effects
	if !o.Serving() {
		return fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultNotOwner})
	}
	if p, ok := o.pending[r.Key]; ok {
		return o.behind(from, r, p.request.Nonce, p.request.Digest)
	}
	e, ok := o.table.Lookup(r.Key)
	switch {
	case !ok || e.State == StateNotRun && e.Nonce != r.Nonce:
		o.pending[r.Key] = pendingClaim{request: r, from: from}
		fx.Append = append(fx.Append, folder.NewEntry(KindClaim, Claim{Epoch: o.epoch, Request: r}))
		return fx
	case e.State == StateClaimed:
		o.meet(now, r.Key)
		if e.Nonce == r.Nonce {
			return fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultWon})
		}
		return o.behind(from, r, e.Nonce, e.Digest)
	case e.State == StateNotRun:
		return fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultExpired})
	}
	return fx.reply(from, settled(r, e))
}

func (fx Effects) reply(to string, r Reply) Effects {
	fx.Send = append(fx.Send, Parcel{To: to, Reply: r})
	return fx
}

// settled returns the reply for a key whose request is over.
func settled(r Request, e Entry) Reply {
	switch {
	case e.Digest != r.Digest:
		return Reply{Nonce: r.Nonce, Result: ResultMismatch}
	case e.State == StateDone:
		return Reply{Nonce: r.Nonce, Result: ResultDone, Answer: e.Answer}
	}
	return Reply{Nonce: r.Nonce, Result: ResultUnknown}
}

// behind lets a request wait for the outcome of the one that came before it.
func (o *Owner) behind(from string, r Request, nonce string, digest Digest) Effects {
	var fx Effects
	if r.Nonce == nonce {
		return fx // the same claim again; its answer will come
	}
	if r.Digest != digest {
		return fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultMismatch})
	}
	fx = fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultBehind})
	for _, w := range o.waiting[r.Key] {
		if w.request.Nonce == r.Nonce {
			return fx
		}
	}
	o.waiting[r.Key] = append(o.waiting[r.Key], waiter{request: r, from: from})
	return fx
}

// leave takes a request out of those that wait behind another.
func (o *Owner) leave(k Key, nonce string) {
	ws := o.waiting[k]
	for i, w := range ws {
		if w.request.Nonce == nonce {
			o.waiting[k] = append(ws[:i], ws[i+1:]...)
			break
		}
	}
	if len(o.waiting[k]) == 0 {
		delete(o.waiting, k)
	}
}

// Outcome handles a claimant's word on what became of its claim.
func (o *Owner) Outcome(from string, out Outcome) Effects {
	var fx Effects
	if !o.Serving() {
		return fx.reply(from, Reply{Nonce: out.Nonce, Result: ResultNotOwner, Ack: false})
	}
	o.leave(out.Key, out.Nonce)
	e, ok := o.table.Lookup(out.Key)
	p, isPending := o.pending[out.Key]
	mine := ok && e.Nonce == out.Nonce || isPending && p.request.Nonce == out.Nonce
	over := ok && e.Nonce == out.Nonce && (e.State == StateDone || e.State == out.State)
	if !mine || over {
		return fx.reply(from, Reply{Nonce: out.Nonce, Ack: true})
	}
	if _, again := o.acks[out.Nonce]; again {
		return fx
	}
	o.acks[out.Nonce] = from
	fx.Append = append(fx.Append, folder.NewEntry(KindOutcome, Settle{Epoch: o.epoch, Outcome: out}))
	return fx
}

// Applied handles a record of the stream that the table has just applied.
func (o *Owner) Applied(now time.Time, rec folder.Applied) Effects {
	var fx Effects
	if o.epoch == 0 {
		return fx
	}
	if o.table.Epoch() > o.epoch {
		fx.Send = o.dismiss()
		o.reset()
		return fx
	}
	for _, e := range rec.Entries {
		switch e.Kind {
		case KindClaim:
			var c Claim
			if e.Decode(&c) {
				fx = o.claimed(now, fx, c)
			}
		case KindOutcome:
			var s Settle
			if e.Decode(&s) {
				fx = o.settledEntry(now, fx, s)
			}
		}
	}
	return fx
}

func (o *Owner) claimed(now time.Time, fx Effects, c Claim) Effects {
	p, ok := o.pending[c.Key]
	if !ok || p.request.Nonce != c.Nonce {
		return fx
	}
	delete(o.pending, c.Key)
	e, ok := o.table.Lookup(c.Key)
	if !ok || e.Nonce != c.Nonce {
		return fx.reply(p.from, Reply{Nonce: c.Nonce, Result: ResultNotOwner})
	}
	o.meet(now, c.Key)
	if e.State != StateClaimed { // its outcome stood in the same record
		return fx.reply(p.from, Reply{Nonce: c.Nonce, Result: ResultExpired})
	}
	return fx.reply(p.from, Reply{Nonce: c.Nonce, Result: ResultWon})
}

func (o *Owner) settledEntry(now time.Time, fx Effects, s Settle) Effects {
	if to, ok := o.acks[s.Nonce]; ok {
		delete(o.acks, s.Nonce)
		if to != "" {
			fx = fx.reply(to, Reply{Nonce: s.Nonce, Ack: true})
		}
	}
	e, ok := o.table.Lookup(s.Key)
	if !ok || e.State == StateClaimed {
		return fx
	}
	delete(o.seen, s.Key)
	return o.release(now, fx, s.Key, e)
}

// release answers those who waited for a key's outcome. If the request did not
// run, the first of them claims the key anew.
func (o *Owner) release(now time.Time, fx Effects, k Key, e Entry) Effects {
	waiters := o.waiting[k]
	delete(o.waiting, k)
	for _, w := range waiters {
		if e.State != StateNotRun {
			fx = fx.reply(w.from, settled(w.request, e))
			continue
		}
		next := o.Request(now, w.from, w.request)
		fx.Append = append(fx.Append, next.Append...)
		fx.Send = append(fx.Send, next.Send...)
	}
	return fx
}

func (o *Owner) meet(now time.Time, k Key) {
	if _, ok := o.seen[k]; !ok {
		o.seen[k] = now
	}
}

// Tick declares claims unknown whose time is up, and forgets old keys. logTime
// is the log's clock at the newest record read.
func (o *Owner) Tick(now, logTime time.Time) Effects {
	var fx Effects
	if !o.Serving() {
		return fx
	}
	o.meetAll(now)
	for k, since := range o.seen {
		e, ok := o.table.Lookup(k)
		if !ok || e.State != StateClaimed {
			delete(o.seen, k)
			continue
		}
		if now.Sub(since) < o.policy.Timeout {
			continue
		}
		if _, again := o.acks[e.Nonce]; again {
			continue
		}
		o.acks[e.Nonce] = ""
		s := Settle{Epoch: o.epoch, Outcome: Outcome{Key: k, Nonce: e.Nonce, State: StateUnknown}}
		fx.Append = append(fx.Append, folder.NewEntry(KindOutcome, s))
	}
	if now.Sub(o.expired) >= o.policy.Window/8 {
		o.expired = now
		fx.Append = append(fx.Append, folder.NewEntry(KindExpire, Expire{Epoch: o.epoch, Before: logTime.Add(-o.policy.Window)}))
	}
	return fx
}

// meetAll starts the time of claims that an earlier owner left open. It runs
// once for each epoch.
func (o *Owner) meetAll(now time.Time) {
	if !o.expired.IsZero() {
		return
	}
	o.expired = now
	for k, e := range o.table.keys {
		if e.State == StateClaimed {
			o.meet(now, k)
		}
	}
}
