// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package claimer

import "time"

// Verdict is the result of a claim for the request that made it.
type Verdict string

// Verdicts.
const (
	VerdictWon         Verdict = "Won"         // VerdictWon allows the request to be dispatched once.
	VerdictDone        Verdict = "Done"        // VerdictDone comes with the stored answer, if any.
	VerdictUnknown     Verdict = "Unknown"     // VerdictUnknown means that the key may have run.
	VerdictMismatch    Verdict = "Mismatch"    // VerdictMismatch means that another request used the key.
	VerdictUnavailable Verdict = "Unavailable" // VerdictUnavailable means that the request was not run.
)

// Settlement is the verdict for one claim.
type Settlement struct {
	Nonce          string
	Verdict        Verdict
	Answer         *Answer
	DispatchBefore time.Time // DispatchBefore is the time before which the request of a won claim must be sent.
}

// Message is a claimant's message to the owner of a range: a request or an outcome.
type Message struct {
	Range   int
	Request *Request `cbor:",omitempty"`
	Outcome *Outcome `cbor:",omitempty"`
}

// ClaimantEffects are the actions that a claimant requires of its caller.
type ClaimantEffects struct {
	Send    []Message // Send holds messages, each for the owner of its range.
	Settled []Settlement
}

// Claimant claims keys for the requests of one host. It is a state machine that does no I/O and
// reads no clock. It is not safe for concurrent use.
type Claimant struct {
	policy        Policy
	retryInterval time.Duration
	claims        map[string]*openClaim
	outcomes      map[string]*openOutcome
}

type openClaim struct {
	request        Request
	deadline       time.Time
	lastSent       time.Time
	won            bool
	queued         bool      // queued is set if the claim awaits another request with the key.
	dispatchBefore time.Time // dispatchBefore is the time before which the request must be sent.
}

type openOutcome struct {
	outcome  Outcome
	lastSent time.Time
	expires  time.Time
}

// NewClaimant returns a claimant that repeats unanswered messages after retryInterval.
func NewClaimant(policy Policy, retryInterval time.Duration) *Claimant {
	return &Claimant{
		policy:        policy,
		retryInterval: retryInterval,
		claims:        make(map[string]*openClaim),
		outcomes:      make(map[string]*openOutcome),
	}
}

// SetPolicy replaces the policy for new claims.
func (c *Claimant) SetPolicy(p Policy) { c.policy = p }

// Open returns the number of open claims and of unacknowledged outcomes.
func (c *Claimant) Open() (claims, outcomes int) { return len(c.claims), len(c.outcomes) }

// Start starts a claim that must be won before the deadline, and within half the timeout so that
// the request can be sent before the owner declares the claim Unknown.
func (c *Claimant) Start(now time.Time, r Request, deadline time.Time) ClaimantEffects {
	dispatchBefore := now.Add(c.policy.Timeout / 2)
	if deadline.After(dispatchBefore) {
		deadline = dispatchBefore
	}
	c.claims[r.Nonce] = &openClaim{request: r, deadline: deadline, lastSent: now, dispatchBefore: dispatchBefore}
	return ClaimantEffects{Send: []Message{{Range: r.Key.Range(), Request: &r}}}
}

// HandleReply processes an owner's reply.
func (c *Claimant) HandleReply(now time.Time, r Reply) ClaimantEffects {
	if r.Ack {
		delete(c.outcomes, r.Nonce)
		return ClaimantEffects{}
	}
	o := c.claims[r.Nonce]
	if o == nil || o.won {
		return ClaimantEffects{}
	}
	switch r.Result {
	case ResultWon:
		if now.After(o.deadline) {
			return c.abandon(now, o)
		}
		o.won = true
		return ClaimantEffects{Settled: []Settlement{{Nonce: r.Nonce, Verdict: VerdictWon, DispatchBefore: o.dispatchBefore}}}
	case ResultQueued:
		o.queued = true
		return ClaimantEffects{}
	case ResultDone:
		return c.settle(r, VerdictDone)
	case ResultUnknown:
		return c.settle(r, VerdictUnknown)
	case ResultMismatch:
		return c.settle(r, VerdictMismatch)
	case ResultExpired:
		return c.settle(r, VerdictUnavailable)
	}
	return ClaimantEffects{} // NotOwner: Tick sends the request to the next owner.
}

func (c *Claimant) settle(r Reply, v Verdict) ClaimantEffects {
	delete(c.claims, r.Nonce)
	return ClaimantEffects{Settled: []Settlement{{Nonce: r.Nonce, Verdict: v, Answer: r.Answer}}}
}

// abandon ends a claim whose request was not dispatched. It sends NotRun to the owner, because the
// claim may still be appended.
func (c *Claimant) abandon(now time.Time, o *openClaim) ClaimantEffects {
	nonce := o.request.Nonce
	steps := c.Finish(now, Outcome{Key: o.request.Key, Nonce: nonce, State: StateNotRun})
	verdict := VerdictUnavailable
	if o.queued {
		verdict = VerdictUnknown
	}
	steps.Settled = []Settlement{{Nonce: nonce, Verdict: verdict}}
	return steps
}

// Abandon ends a claim whose caller has left. It ignores a claim that was won, which ends with
// Finish.
func (c *Claimant) Abandon(now time.Time, nonce string) ClaimantEffects {
	o := c.claims[nonce]
	if o == nil || o.won {
		return ClaimantEffects{}
	}
	return c.abandon(now, o)
}

// Finish ends a claim with an outcome, which is sent to the owner until it is acknowledged.
func (c *Claimant) Finish(now time.Time, out Outcome) ClaimantEffects {
	delete(c.claims, out.Nonce)
	c.outcomes[out.Nonce] = &openOutcome{outcome: out, lastSent: now, expires: now.Add(c.policy.Window)}
	return ClaimantEffects{Send: []Message{{Range: out.Key.Range(), Outcome: &out}}}
}

// Tick repeats unanswered messages, abandons claims past their deadline and drops outcomes that
// were not acknowledged within Policy.Window.
func (c *Claimant) Tick(now time.Time) ClaimantEffects {
	var steps ClaimantEffects
	for _, o := range c.claims {
		switch {
		case o.won:
		case now.After(o.deadline):
			s := c.abandon(now, o)
			steps.Send = append(steps.Send, s.Send...)
			steps.Settled = append(steps.Settled, s.Settled...)
		case now.Sub(o.lastSent) >= c.retryInterval:
			o.lastSent = now
			steps.Send = append(steps.Send, Message{Range: o.request.Key.Range(), Request: &o.request})
		}
	}
	for nonce, o := range c.outcomes {
		switch {
		case now.After(o.expires):
			delete(c.outcomes, nonce)
		case now.Sub(o.lastSent) >= c.retryInterval:
			o.lastSent = now
			steps.Send = append(steps.Send, Message{Range: o.outcome.Key.Range(), Outcome: &o.outcome})
		}
	}
	return steps
}
