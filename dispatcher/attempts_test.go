// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package dispatcher

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/internal/seeder"
)

func init() { seeder.Fix() }

// scripted ends attempts with the failures of a script; one without a Cause is the
// final answer.
type scripted struct {
	script    []forwarder.Failure
	sent      int
	budget    int
	withdrawn int
}

func (s *scripted) Choose(context.Context) (int, bool) { return s.sent, s.sent < len(s.script) }
func (s *scripted) Continues() bool                    { return true }
func (s *scripted) Withdraw() bool {
	if s.withdrawn == s.budget {
		return false
	}
	s.withdrawn++
	return true
}

func (s *scripted) Try(_ context.Context, i int) Result {
	s.sent++
	if s.script[i].Cause == "" {
		return Result{Verdict: Done, Reached: true}
	}
	return Failed(&s.script[i])
}

// failures has each way in which an attempt can end; the first is an answer.
var failures = []forwarder.Failure{
	{},
	{Cause: forwarder.CauseConnect, Ran: forwarder.RanNo},
	{Cause: forwarder.CauseRefused, Ran: forwarder.RanNo},
	{Cause: forwarder.CauseLost, Ran: forwarder.RanUnknown},
	{Cause: forwarder.CauseCut, Ran: forwarder.RanYes},
	{Cause: forwarder.CauseCallerGone, Ran: forwarder.RanUnknown},
}

// TestRandomAttempts checks the policy's limits and the reported endings for random
// sequences of failures.
func TestRandomAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scripted{
			script: rapid.SliceOfN(rapid.SampledFrom(failures), 0, 6).Draw(t, "script"),
			budget: rapid.IntRange(0, 3).Draw(t, "budget"),
		}
		p := Policy{
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Runs:       rapid.IntRange(0, 3).Draw(t, "runs"),
			Attempts:   rapid.IntRange(0, 5).Draw(t, "attempts"),
		}
		tries := Run(context.Background(), p, s)
		runs, arrivals := 0, 0
		for _, f := range s.script[:s.sent] {
			if f.Ran != forwarder.RanNo {
				runs++
			}
			if f.Cause != forwarder.CauseConnect {
				arrivals++
			}
		}
		assert.Equal(t, tries.Attempts, s.sent)
		assert.Assert(t, s.sent <= max(p.Attempts, 1), "more attempts than allowed")
		assert.Assert(t, runs <= max(p.Runs, 1), "more runs than allowed")
		assert.Assert(t, p.Repeatable || runs <= 1, "a request that must run at most once may have run twice")
		assert.Assert(t, arrivals <= s.withdrawn+1, "a retry reached an upstream without a withdrawal from the budget")
		if tries.Done() {
			return
		}
		assert.Equal(t, tries.Ran() == forwarder.RanNo, runs == 0, "Ran contradicts the attempts")
		switch tries.Ending(context.Background()) {
		case NoUpstream, Unreached, Refused:
			assert.Equal(t, runs, 0)
		case Unknown:
			assert.Assert(t, runs > 0)
		case CallerGone:
			assert.Equal(t, s.script[s.sent-1].Cause, forwarder.CauseCallerGone)
		default:
			t.Fatalf("unknown ending")
		}
	})
}

// TestEndingsByContext checks that the context's end takes precedence over the
// failures of attempts.
func TestEndingsByContext(t *testing.T) {
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	late, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	for _, c := range []struct {
		ctx  context.Context
		want Ending
	}{{gone, CallerGone}, {late, Deadline}} {
		tries := Run(c.ctx, Policy{Repeatable: true, Runs: 3, Attempts: 3}, &scripted{script: failures[3:4]})
		assert.Equal(t, tries.Ending(c.ctx), c.want)
		assert.Equal(t, tries.Ran(), forwarder.RanUnknown)
	}
}

func TestChain(t *testing.T) {
	mark := func(name string) Filter[string, string] {
		return func(next Handler[string, string]) Handler[string, string] {
			return func(ctx context.Context, x string) string { return next(ctx, x+name) }
		}
	}
	handle := Chain(func(_ context.Context, x string) string { return x }, mark("a"), mark("b"))
	assert.Equal(t, handle(context.Background(), ">"), ">ab")
}
