// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package claimer

import (
	"time"

	"amaranthgate.example/amaranthgate/replayer"
)

// Envelope is a reply with its recipient.
type Envelope struct {
	To    string
	Reply Reply
}

// Effects are the actions that an owner requires of its caller.
type Effects struct {
	Append []replayer.Entry // Append holds entries for the range's stream, in order.
	Send   []Envelope
}

// Owner decides on the claims of one range while it holds the range's lease. It is a state machine
// that does no I/O and reads no clock. It is not safe for concurrent use.
type Owner struct {
	writer string
	table  *Table
	policy Policy

	epoch        uint64 // epoch is the epoch of the lease; 0 while the lease is not held.
	pending      map[Key]pendingClaim
	waiting      map[Key][]waiter
	claimedSince map[Key]time.Time // claimedSince is when this owner first saw a claim without outcome.
	awaitingAck  map[string]string // awaitingAck maps nonces of outcomes to the host to reply to, if any.
	lastExpiry   time.Time
}

// pendingClaim is a claim that was not read back yet.
type pendingClaim struct {
	request Request
	from    string
}

// waiter is a request that waits for the outcome of another with the same key.
type waiter struct {
	request Request
	from    string
}

// NewOwner returns an Owner that holds no lease, for the table of a range. The writer is the host's
// name as a writer of the log.
func NewOwner(writer string, table *Table, policy Policy) *Owner {
	o := &Owner{writer: writer, table: table, policy: policy}
	o.reset()
	return o
}

func (o *Owner) reset() {
	o.epoch, o.lastExpiry = 0, time.Time{}
	o.pending = make(map[Key]pendingClaim)
	o.waiting = make(map[Key][]waiter)
	o.claimedSince = make(map[Key]time.Time)
	o.awaitingAck = make(map[string]string)
}

// SetPolicy replaces the policy.
func (o *Owner) SetPolicy(p Policy) { o.policy = p }

// Serving reports whether the owner's Open was read back and is the latest.
func (o *Owner) Serving() bool {
	return o.epoch != 0 && o.table.Epoch() == o.epoch && o.table.Owner() == o.writer
}

// Waiting returns the number of claims that were not read back yet and the number of keys with
// requests that wait for the outcome of another.
func (o *Owner) Waiting() (pending, waiting int) { return len(o.pending), len(o.waiting) }

// SetEpoch sets the epoch of the lease that the owner holds; 0 means none.
func (o *Owner) SetEpoch(epoch uint64) Effects {
	var fx Effects
	if epoch == o.epoch {
		return fx
	}
	fx.Send = o.redirectAll()
	o.reset()
	o.epoch = epoch
	if epoch > o.table.Epoch() {
		fx.Append = append(fx.Append, replayer.NewEntry(KindOpen, Open{Epoch: epoch}))
	}
	return fx
}

// redirectAll replies NotOwner to all unanswered requests, so that they are sent to the next owner.
func (o *Owner) redirectAll() []Envelope {
	var out []Envelope
	for _, p := range o.pending {
		out = append(out, Envelope{To: p.from, Reply: Reply{Nonce: p.request.Nonce, Result: ResultNotOwner}})
	}
	for _, ws := range o.waiting {
		for _, w := range ws {
			out = append(out, Envelope{To: w.from, Reply: Reply{Nonce: w.request.Nonce, Result: ResultNotOwner}})
		}
	}
	return out
}

// HandleRequest processes a claim from a host.
func (o *Owner) HandleRequest(now time.Time, from string, r Request) Effects {
	var fx Effects
	if !o.Serving() {
		return fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultNotOwner})
	}
	if p, ok := o.pending[r.Key]; ok {
		return o.enqueue(from, r, p.request.Nonce, p.request.Digest)
	}
	e, ok := o.table.Lookup(r.Key)
	switch {
	case !ok || e.State == StateNotRun && e.Nonce != r.Nonce:
		o.pending[r.Key] = pendingClaim{request: r, from: from}
		fx.Append = append(fx.Append, replayer.NewEntry(KindClaim, Claim{Epoch: o.epoch, Request: r}))
		return fx
	case e.State == StateClaimed:
		o.startTimeout(now, r.Key)
		if e.Nonce == r.Nonce {
			return fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultWon})
		}
		return o.enqueue(from, r, e.Nonce, e.Digest)
	case e.State == StateNotRun:
		return fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultExpired})
	}
	return fx.reply(from, finalReply(r, e))
}

func (fx Effects) reply(to string, r Reply) Effects {
	fx.Send = append(fx.Send, Envelope{To: to, Reply: r})
	return fx
}

// finalReply returns the reply for a key whose outcome is Done or Unknown.
func finalReply(r Request, e Entry) Reply {
	switch {
	case e.Digest != r.Digest:
		return Reply{Nonce: r.Nonce, Result: ResultMismatch}
	case e.State == StateDone:
		return Reply{Nonce: r.Nonce, Result: ResultDone, Answer: e.Answer}
	}
	return Reply{Nonce: r.Nonce, Result: ResultUnknown}
}

// enqueue lets a request wait for the outcome of an earlier one with the given nonce and digest.
func (o *Owner) enqueue(from string, r Request, nonce string, digest Digest) Effects {
	var fx Effects
	if r.Nonce == nonce {
		return fx // A repeated claim, which is answered when it is read back.
	}
	if r.Digest != digest {
		return fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultMismatch})
	}
	fx = fx.reply(from, Reply{Nonce: r.Nonce, Result: ResultQueued})
	for _, w := range o.waiting[r.Key] {
		if w.request.Nonce == r.Nonce {
			return fx
		}
	}
	o.waiting[r.Key] = append(o.waiting[r.Key], waiter{request: r, from: from})
	return fx
}

// dequeue removes a request from those that wait for another.
func (o *Owner) dequeue(k Key, nonce string) {
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

// HandleOutcome processes the outcome of a claim, as reported by its claimant.
func (o *Owner) HandleOutcome(from string, out Outcome) Effects {
	var fx Effects
	if !o.Serving() {
		return fx.reply(from, Reply{Nonce: out.Nonce, Result: ResultNotOwner, Ack: false})
	}
	o.dequeue(out.Key, out.Nonce)
	e, ok := o.table.Lookup(out.Key)
	p, isPending := o.pending[out.Key]
	matches := ok && e.Nonce == out.Nonce || isPending && p.request.Nonce == out.Nonce
	final := ok && e.Nonce == out.Nonce && (e.State == StateDone || e.State == out.State)
	if !matches || final {
		return fx.reply(from, Reply{Nonce: out.Nonce, Ack: true})
	}
	if _, awaiting := o.awaitingAck[out.Nonce]; awaiting {
		return fx
	}
	o.awaitingAck[out.Nonce] = from
	fx.Append = append(fx.Append, replayer.NewEntry(KindOutcome, Settle{Epoch: o.epoch, Outcome: out}))
	return fx
}

// Applied processes a record of the stream after the table has applied it.
func (o *Owner) Applied(now time.Time, rec replayer.Applied) Effects {
	var fx Effects
	if o.epoch == 0 {
		return fx
	}
	if o.table.Epoch() > o.epoch {
		fx.Send = o.redirectAll()
		o.reset()
		return fx
	}
	for _, e := range rec.Entries {
		switch e.Kind {
		case KindClaim:
			var c Claim
			if e.Decode(&c) {
				fx = o.claimApplied(now, fx, c)
			}
		case KindOutcome:
			var s Settle
			if e.Decode(&s) {
				fx = o.outcomeApplied(now, fx, s)
			}
		}
	}
	return fx
}

func (o *Owner) claimApplied(now time.Time, fx Effects, c Claim) Effects {
	p, ok := o.pending[c.Key]
	if !ok || p.request.Nonce != c.Nonce {
		return fx
	}
	delete(o.pending, c.Key)
	e, ok := o.table.Lookup(c.Key)
	if !ok || e.Nonce != c.Nonce {
		return fx.reply(p.from, Reply{Nonce: c.Nonce, Result: ResultNotOwner})
	}
	o.startTimeout(now, c.Key)
	if e.State != StateClaimed { // The record also holds its outcome.
		return fx.reply(p.from, Reply{Nonce: c.Nonce, Result: ResultExpired})
	}
	return fx.reply(p.from, Reply{Nonce: c.Nonce, Result: ResultWon})
}

func (o *Owner) outcomeApplied(now time.Time, fx Effects, s Settle) Effects {
	if to, ok := o.awaitingAck[s.Nonce]; ok {
		delete(o.awaitingAck, s.Nonce)
		if to != "" {
			fx = fx.reply(to, Reply{Nonce: s.Nonce, Ack: true})
		}
	}
	e, ok := o.table.Lookup(s.Key)
	if !ok || e.State == StateClaimed {
		return fx
	}
	delete(o.claimedSince, s.Key)
	return o.answerWaiters(now, fx, s.Key, e)
}

// answerWaiters answers the requests that waited for a key's outcome. If the request did not run,
// they claim the key again, in order.
func (o *Owner) answerWaiters(now time.Time, fx Effects, k Key, e Entry) Effects {
	waiters := o.waiting[k]
	delete(o.waiting, k)
	for _, w := range waiters {
		if e.State != StateNotRun {
			fx = fx.reply(w.from, finalReply(w.request, e))
			continue
		}
		next := o.HandleRequest(now, w.from, w.request)
		fx.Append = append(fx.Append, next.Append...)
		fx.Send = append(fx.Send, next.Send...)
	}
	return fx
}

// startTimeout starts the timeout of a claim unless it runs already.
func (o *Owner) startTimeout(now time.Time, k Key) {
	if _, ok := o.claimedSince[k]; !ok {
		o.claimedSince[k] = now
	}
}

// Tick declares claims Unknown after their timeout and removes old keys. The time of the newest
// record read, by the log's clock, is logTime.
func (o *Owner) Tick(now, logTime time.Time) Effects {
	var fx Effects
	if !o.Serving() {
		return fx
	}
	o.startTimeouts(now)
	for k, since := range o.claimedSince {
		e, ok := o.table.Lookup(k)
		if !ok || e.State != StateClaimed {
			delete(o.claimedSince, k)
			continue
		}
		if now.Sub(since) < o.policy.Timeout {
			continue
		}
		if _, awaiting := o.awaitingAck[e.Nonce]; awaiting {
			continue
		}
		o.awaitingAck[e.Nonce] = ""
		s := Settle{Epoch: o.epoch, Outcome: Outcome{Key: k, Nonce: e.Nonce, State: StateUnknown}}
		fx.Append = append(fx.Append, replayer.NewEntry(KindOutcome, s))
	}
	if now.Sub(o.lastExpiry) >= o.policy.Window/8 {
		o.lastExpiry = now
		fx.Append = append(fx.Append, replayer.NewEntry(KindExpire, Expire{Epoch: o.epoch, Before: logTime.Add(-o.policy.Window)}))
	}
	return fx
}

// startTimeouts starts the timeouts of claims that an earlier owner left open, once per epoch.
func (o *Owner) startTimeouts(now time.Time) {
	if !o.lastExpiry.IsZero() {
		return
	}
	o.lastExpiry = now
	for k, e := range o.table.keys {
		if e.State == StateClaimed {
			o.startTimeout(now, k)
		}
	}
}
