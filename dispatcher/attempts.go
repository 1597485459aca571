// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package dispatcher

import (
	"context"

	"amaranthgate.example/amaranthgate/forwarder"
)

// Verdict is how an attempt ended.
type Verdict string

// The verdicts.
const (
	Done   Verdict = "Done"   // Done says that the caller has its final answer, or has gone.
	NotRun Verdict = "NotRun" // NotRun says that the attempt did not run.
	Maybe  Verdict = "Maybe"  // Maybe says that the attempt may have run, or ran, without an answer for the caller.
)

// Result is the end of one attempt.
type Result struct {
	Verdict Verdict
	Reached bool               // Reached tells that the upstream may have seen the request.
	Failure *forwarder.Failure // Failure is nil if Verdict is Done, or if an answer is kept back instead.
}

// Failed returns the result of an attempt that ended with a failure.
func Failed(f *forwarder.Failure) Result {
	r := Result{Verdict: Maybe, Reached: f.Cause != forwarder.CauseConnect, Failure: f}
	if f.Ran == forwarder.RanNo {
		r.Verdict = NotRun
	}
	return r
}

// Policy bounds the attempts of one request.
type Policy struct {
	Repeatable bool // Repeatable tells that the request may run more than once.
	Runs       int  // Runs is the largest number of attempts that may have run; at least 1 is taken.
	Attempts   int  // Attempts is the largest number of attempts of all kinds; at least 1 is taken.
}

// Way is what a protocol brings to the attempts. C is the choice of an upstream.
type Way[C any] interface {
	// Choose picks an upstream that was not tried yet; false if there is none. It may
	// wait for one, but not longer than ctx.
	Choose(ctx context.Context) (C, bool)
	// Try makes one attempt there.
	Try(ctx context.Context, choice C) Result
	// Continues tells whether another attempt can follow what the caller already
	// has of an answer.
	Continues() bool
	// Withdraw asks the budget of retries for one more.
	Withdraw() bool
}

// Tries is what became of a request's attempts.
type Tries struct {
	Attempts int
	Arrivals int    // Arrivals counts the upstreams that may have seen the request.
	Runs     int    // Runs counts the attempts that may have run.
	Last     Result // Last is the end of the last attempt.
}

// Done tells that the caller has its final answer.
func (t *Tries) Done() bool { return t.Last.Verdict == Done }

// Run makes attempts until one gives the caller its final answer, or none may
// follow. A request that is not repeatable is tried again only after an attempt
// that did not run.
func Run[C any](ctx context.Context, p Policy, w Way[C]) Tries {
	var t Tries
	for {
		choice, ok := w.Choose(ctx)
		if !ok {
			return t
		}
		t.add(w.Try(ctx, choice))
		if t.Done() || !t.more(ctx, p) || !w.Continues() {
			return t
		}
		// As long as nobody has seen the request, the next attempt is still its
		// first and costs no upstream anything.
		if t.Arrivals > 0 && !w.Withdraw() {
			return t
		}
	}
}

func (t *Tries) add(r Result) {
	t.Attempts++
	t.Last = r
	if r.Reached {
		t.Arrivals++
	}
	if r.Verdict != NotRun {
		t.Runs++
	}
}

// more tells whether the policy allows one more attempt.
func (t *Tries) more(ctx context.Context, p Policy) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case t.Last.Failure != nil && t.Last.Failure.Cause == forwarder.CauseCaller:
		return false
	case t.Runs > 0 && !p.Repeatable:
		return false
	}
	return t.Attempts < max(p.Attempts, 1) && t.Runs < max(p.Runs, 1)
}
