// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testTTL = 10 * time.Second

var start = time.Date(2026, 3, 12, 8, 0, 0, 0, time.UTC)

// TestSharesNeverExceedTheWhole checks that the shares of all hosts never exceed the
// limit, despite lost messages and changes of the granting host.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		const hosts = 8
		now := start
		divider := NewDivider(now, 1, testTTL)
		shares := make([]*Shares, hosts)
		for i := range shares {
			shares[i] = NewShares(testTTL)
		}
		worst := 0.0
		for step := range 400 {
			now = now.Add(time.Duration(rng.IntN(1000)) * time.Millisecond)
			if rng.IntN(60) == 0 { // another host takes over granting
				divider = NewDivider(now, uint64(step+2), testTTL)
			}
			for i, s := range shares {
				usage := []Usage{{Workspace: "w", Requests: float64(rng.IntN(50))}}
				dem := s.Demand(now, usage, time.Second)
				if rng.IntN(4) == 0 {
					continue // the demand is lost
				}
				g := divider.Grant(now, fmt.Sprint(i), dem)
				if rng.IntN(4) == 0 {
					continue // the reply is lost
				}
				s.Apply(g)
			}
			sum := 0.0
			for _, s := range shares {
				sum += s.Share(now, "w", hosts)
			}
			worst = max(worst, sum)
			assert.Assert(t, sum <= 1+1e-9, "seed %d step %d: %g", seed, step, sum)
		}
		assert.Assert(t, worst > 0.9, "seed %d: the shares never come close to the limit: %g", seed, worst)
	}
}

// TestSharesFollowDemand checks that the host with more demand gets the larger share.
func TestSharesFollowDemand(t *testing.T) {
	now := start
	d := NewDivider(now.Add(-2*testTTL), 1, testTTL)
	a, b := NewShares(testTTL), NewShares(testTTL)
	ask := func(s *Shares, host string, rate float64) {
		s.Apply(d.Grant(now, host, s.Demand(now, []Usage{{Workspace: "w", Requests: rate}}, time.Second)))
	}
	for range 12 {
		now = now.Add(time.Second)
		ask(a, "a", 90)
		ask(b, "b", 10)
	}
	assert.Assert(t, a.Share(now, "w", 2) > 0.75, "%g", a.Share(now, "w", 2))
	assert.Assert(t, b.Share(now, "w", 2) > 0.15, "%g", b.Share(now, "w", 2))
	// Without further grants a host falls back to the floor after the TTL.
	now = now.Add(testTTL + time.Second)
	assert.Equal(t, a.Share(now, "w", 2), Floor(2))
}

func TestBucket(t *testing.T) {
	l := New()
	l.Configure(start, "w", Limit{Rate: 2, Burst: 3, Concurrency: 10})
	for range 3 {
		assert.Assert(t, l.Admit(start, "w").Admitted)
	}
	r := l.Admit(start, "w")
	assert.Equal(t, r.Refusal, RefusedRate)
	assert.Equal(t, r.RetryAfter, 500*time.Millisecond)
	assert.Assert(t, l.Admit(start.Add(r.RetryAfter), "w").Admitted)
	assert.Equal(t, l.Admit(start, "nobody").Refusal, RefusedUnknown)
}

func TestConcurrency(t *testing.T) {
	l := New()
	l.Configure(start, "w", Limit{Rate: 100, Burst: 100, Concurrency: 2})
	assert.Assert(t, l.Admit(start, "w").Admitted)
	assert.Assert(t, l.Admit(start, "w").Admitted)
	assert.Equal(t, l.Admit(start, "w").Refusal, RefusedConcurrency)
	l.Done("w")
	assert.Assert(t, l.Admit(start, "w").Admitted)
}

// TestTokensMoveWithShares checks that moving a share between two hosts repeatedly
// admits no more than one burst per host.
func TestTokensMoveWithShares(t *testing.T) {
	a, b := New(), New()
	whole := Limit{Rate: 0, Burst: 20, Concurrency: 1000}
	admitted := 0
	for i := range 10 {
		share := float64(i % 2)
		a.Configure(start, "w", Limit{Burst: whole.Burst * share, Concurrency: 1000})
		b.Configure(start, "w", Limit{Burst: whole.Burst * (1 - share), Concurrency: 1000})
		for range 30 {
			for _, l := range []*Limiter{a, b} {
				if l.Admit(start, "w").Admitted {
					admitted++
				}
			}
		}
	}
	assert.Assert(t, admitted <= 2*20, "%d admitted", admitted)
}
