// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package dispatcher

import (
	"context"

	"amaranthgate.example/amaranthgate/forwarder"
)

// Verdict is how an attempt ended.
type Verdict string

// Values of Verdict.
const (
	Done   Verdict = "Done"   // Done means that the caller has its final answer, or has left.
	NotRun Verdict = "NotRun" // NotRun means that the attempt did not run.
	// MayHaveRun means that the attempt ran or may have run, without an answer for the caller.
	MayHaveRun Verdict = "Maybe"
)

// Result is the result of one attempt.
type Result struct {
	Verdict Verdict
	Held    bool               // Held reports that the request is to wait and be sent again; it counts against Policy.Held.
	Reached bool               // Reached reports whether the upstream may have received the request.
	Failure *forwarder.Failure // Failure is nil if Verdict is Done or the upstream's answer is an error.
	Beside  []Result           // Beside are the results of attempts made beside this one, which were not chosen by Run.
}

// Failed returns the result of an attempt that failed.
func Failed(f *forwarder.Failure) Result {
	r := Result{Verdict: MayHaveRun, Reached: f.Cause != forwarder.CauseConnect, Failure: f}
	if f.Ran == forwarder.RanNo {
		r.Verdict = NotRun
	}
	return r
}

// Policy limits the attempts of one request.
type Policy struct {
	Repeatable bool // Repeatable reports whether the request may run more than once.
	Runs       int  // Runs limits the attempts that may have run; values below 1 mean 1.
	Attempts   int  // Attempts limits all attempts that were not held; values below 1 mean 1.
	Held       int  // Held limits the attempts after which the request is to wait and be sent again.
}

// Attempter is the protocol-specific part of making attempts. C is the choice of an upstream.
type Attempter[C any] interface {
	// Choose selects an upstream that has not been tried; false if there is none. It
	// may wait for one until ctx is done.
	Choose(ctx context.Context) (C, bool)
	// Try makes one attempt at the chosen upstream.
	Try(ctx context.Context, choice C) Result
	// Continues reports whether another attempt is possible after the part of an
	// answer that the caller has received.
	Continues() bool
	// Withdraw takes one retry from the retry budget and reports whether one was left.
	Withdraw() bool
}

// Summary is the result of all attempts of a request.
type Summary struct {
	Attempts int
	Arrivals int    // Arrivals counts the attempts that may have reached their upstream.
	Held     int    // Held counts the attempts after which the request was to wait.
	Runs     int    // Runs counts the attempts that may have run.
	Last     Result // Last is the result of the last attempt.
}

// Done reports whether the caller has its final answer.
func (s *Summary) Done() bool { return s.Last.Verdict == Done }

// Run makes attempts until the caller has its final answer or no other attempt is
// allowed. A request that is not repeatable is retried only after attempts that
// did not run.
func Run[C any](ctx context.Context, p Policy, a Attempter[C]) Summary {
	var s Summary
	for {
		choice, ok := a.Choose(ctx)
		if !ok {
			return s
		}
		s.add(a.Try(ctx, choice))
		if s.Done() || !s.more(ctx, p) || !a.Continues() {
			return s
		}
		// While no upstream has received the request, another attempt adds no load
		// and is not charged to the retry budget.
		if s.Arrivals > 0 && !a.Withdraw() {
			return s
		}
	}
}

func (s *Summary) add(r Result) {
	for _, b := range r.Beside {
		s.count(b)
	}
	s.count(r)
	s.Last = r
}

func (s *Summary) count(r Result) {
	s.Attempts++
	if r.Held {
		s.Held++
	}
	if r.Reached {
		s.Arrivals++
	}
	if r.Verdict != NotRun {
		s.Runs++
	}
}

// more reports whether the policy allows another attempt.
func (s *Summary) more(ctx context.Context, p Policy) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case s.Last.Failure != nil && s.Last.Failure.Cause == forwarder.CauseCallerGone:
		return false
	case s.Runs > 0 && !p.Repeatable:
		return false
	}
	if s.Last.Held {
		return s.Held < p.Held
	}
	return s.Attempts-s.Held < max(p.Attempts, 1) && s.Runs < max(p.Runs, 1)
}
