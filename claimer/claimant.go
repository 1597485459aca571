// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package claimer

import "time"

// Verdict is how a claim ended for the request that asked for it.
type Verdict string

// The verdicts.
const (
	VerdictWon         Verdict = "Won"         // VerdictWon allows one dispatch.
	VerdictDone        Verdict = "Done"        // VerdictDone gives the kept answer, if any.
	VerdictUnknown     Verdict = "Unknown"     // VerdictUnknown says that the key may have run.
	VerdictMismatch    Verdict = "Mismatch"    // VerdictMismatch says that the key belongs to another request.
	VerdictUnavailable Verdict = "Unavailable" // VerdictUnavailable says that no agreement was reached; this attempt was not run.
)

// Settled is a verdict for one claim.
type Settled struct {
	Nonce   string
	Verdict Verdict
	Answer  *Answer
	Before  time.Time // Before is when a claim that was won goes stale: the request must be sent earlier.
}

// Message is what a claimant sends to the owner of a range: a request or an
// outcome.
type Message struct {
	Range   int
	Request *Request `cbor:",omitempty"`
	Outcome *Outcome `cbor:",omitempty"`
}

// Steps are what a claimant wants done.
type Steps struct {
	Send    []Message // Send goes to the owner of each message's range.
	Settled []Settled
}

// Claimant stands for this host's requests towards the owners. It is a state
// machine without clock or I/O.
type Claimant struct {
	policy   Policy
	again    time.Duration
	claims   map[string]*openClaim
	outcomes map[string]*openOutcome
}

type openClaim struct {
	request  Request
	giveUp   time.Time
	sent     time.Time
	won      bool
	behind   bool      // behind tells that another request with the key is under way.
	dispatch time.Time // dispatch is the last moment at which the request may be sent.
}

type openOutcome struct {
	outcome Outcome
	sent    time.Time
	forget  time.Time
}

// NewClaimant returns a claimant that repeats unanswered messages after again.
func NewClaimant(policy Policy, again time.Duration) *Claimant {
	return &Claimant{policy: policy, again: again, claims: make(map[string]*openClaim), outcomes: make(map[string]*openOutcome)}
}

// SetPolicy replaces the bounds for claims to come.
func (c *Claimant) SetPolicy(p Policy) { c.policy = p }

// Open returns the number of claims and of outcomes under way.
func (c *Claimant) Open() (claims, outcomes int) { return len(c.claims), len(c.outcomes) }

// Start asks for a claim that must be won before deadline.
func (c *Claimant) Start(now time.Time, r Request, deadline time.Time) Steps {
	last := now.Add(c.policy.Timeout / 2)
	if deadline.After(last) {
		deadline = last
	}
	c.claims[r.Nonce] = &openClaim{request: r, giveUp: deadline, sent: now, dispatch: last}
	return Steps{Send: []Message{{Range: r.Key.Range(), Request: &r}}}
}

// Answer handles an owner's reply.
func (c *Claimant) Answer(now time.Time, r Reply) Steps {
	if r.Ack {
		delete(c.outcomes, r.Nonce)
		return Steps{}
	}
	o := c.claims[r.Nonce]
	if o == nil || o.won {
		return Steps{}
	}
	switch r.Result {
	case ResultWon:
		if now.After(o.giveUp) {
			return c.abandon(now, o)
		}
		o.won = true
		return Steps{Settled: []Settled{{Nonce: r.Nonce, Verdict: VerdictWon, Before: o.dispatch}}}
	case ResultBehind:
		o.behind = true
		return Steps{}
	case ResultDone:
		return c.settle(r, VerdictDone)
	case ResultUnknown:
		return c.settle(r, VerdictUnknown)
	case ResultMismatch:
		return c.settle(r, VerdictMismatch)
	case ResultExpired:
		return c.settle(r, VerdictUnavailable)
	}
	return Steps{} // not the owner: Tick asks the next one
}

func (c *Claimant) settle(r Reply, v Verdict) Steps {
	delete(c.claims, r.Nonce)
	return Steps{Settled: []Settled{{Nonce: r.Nonce, Verdict: v, Answer: r.Answer}}}
}

// abandon gives a claim up before anything was dispatched and tells the owner
// so, because the claim may yet come into force.
func (c *Claimant) abandon(now time.Time, o *openClaim) Steps {
	nonce := o.request.Nonce
	steps := c.Finish(now, Outcome{Key: o.request.Key, Nonce: nonce, State: StateNotRun})
	verdict := VerdictUnavailable
	if o.behind {
		verdict = VerdictUnknown
	}
	steps.Settled = []Settled{{Nonce: nonce, Verdict: verdict}}
	return steps
}

// Abandon gives a claim up whose caller does not wait any longer. A claim that
// was won already is left to Finish.
func (c *Claimant) Abandon(now time.Time, nonce string) Steps {
	o := c.claims[nonce]
	if o == nil || o.won {
		return Steps{}
	}
	return c.abandon(now, o)
}

// Finish records what became of a claim and tells the owner until it is
// acknowledged.
func (c *Claimant) Finish(now time.Time, out Outcome) Steps {
	delete(c.claims, out.Nonce)
	c.outcomes[out.Nonce] = &openOutcome{outcome: out, sent: now, forget: now.Add(c.policy.Window)}
	return Steps{Send: []Message{{Range: out.Key.Range(), Outcome: &out}}}
}

// Tick repeats what was not answered and gives up what is late.
func (c *Claimant) Tick(now time.Time) Steps {
	var steps Steps
	for _, o := range c.claims {
		switch {
		case o.won:
		case now.After(o.giveUp):
			s := c.abandon(now, o)
			steps.Send = append(steps.Send, s.Send...)
			steps.Settled = append(steps.Settled, s.Settled...)
		case now.Sub(o.sent) >= c.again:
			o.sent = now
			steps.Send = append(steps.Send, Message{Range: o.request.Key.Range(), Request: &o.request})
		}
	}
	for nonce, o := range c.outcomes {
		switch {
		case now.After(o.forget):
			delete(c.outcomes, nonce)
		case now.Sub(o.sent) >= c.again:
			o.sent = now
			steps.Send = append(steps.Send, Message{Range: o.outcome.Key.Range(), Outcome: &o.outcome})
		}
	}
	return steps
}
