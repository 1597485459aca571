// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package experimenter

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"amaranthgate.example/amaranthgate/retrier"
)

// RetryScenario is what happens while hosts share a retry budget.
type RetryScenario string

// The scenarios. 10 in 100 requests want a retry, and 45 in 100 while an upstream fails.
const (
	RetrySteady   RetryScenario = "Steady"   // an upstream fails for all hosts
	RetryThird    RetryScenario = "Third"    // it fails for a third of the hosts
	RetryJoin     RetryScenario = "Join"     // half of the hosts start while it fails, and know nobody at first
	RetryStop     RetryScenario = "Stop"     // half of the hosts stop while it fails
	RetrySplit    RetryScenario = "Split"    // three sides do not see each other, and the load is low
	RetryRestarts RetryScenario = "Restarts" // hosts restart one after another
)

// RetryScenarios are all scenarios.
var RetryScenarios = []RetryScenario{RetrySteady, RetryThird, RetryJoin, RetryStop, RetrySplit, RetryRestarts}

// RetryOptions configure the simulation of a retry budget.
type RetryOptions struct {
	Scenario RetryScenario
	Hosts    int
	// Lending lets a host without retries take half of what another has, at once and without loss, which
	// favours it over a real exchange of messages.
	Lending bool
	Seed    uint64
}

// RetryResult is the outcome of a simulation.
type RetryResult struct {
	RetryOptions
	Made  float64 // Made is the share of the wanted retries that were made while the upstream fails.
	Most  float64 // Most is the largest share of the allowance that any window of 10 s had.
	Loans int
}

const (
	retryTime   = 60 * time.Second
	retryStep   = 10 * time.Millisecond
	retryWindow = 10 * time.Second
	retryShare  = 0.2
	retrySlack  = 156
	retryLoad   = 8  // requests in a step: 800 a second
	retryRare   = 10 // steps between two counts of the hosts
)

// retryBudget is the retry budget of one host.
type retryBudget interface {
	Request(service string)
	Withdraw(service string) bool
	SetHosts(now time.Time, n int)
}

// lendingBudget is a budget whose retries can be lent.
type lendingBudget struct {
	tokens, capacity float64
	hosts            int
}

// SetHosts sets the number of hosts, of which the largest counts.
func (b *lendingBudget) SetHosts(_ time.Time, n int) {
	b.hosts = max(b.hosts, n, 8)
	b.capacity = 0.9 * retrySlack / float64(b.hosts)
}

// Request counts a request.
func (b *lendingBudget) Request(string) {
	b.tokens = max(b.tokens, min(b.capacity, b.tokens+0.9*retryShare))
}

// Withdraw takes one retry and reports whether one was left.
func (b *lendingBudget) Withdraw(string) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type retryModel struct {
	RetryOptions
	rng     *rand.Rand
	budgets []retryBudget // budgets are nil for hosts that are stopped.
}

// Retries simulates one scenario.
func Retries(o RetryOptions) RetryResult {
	m := &retryModel{RetryOptions: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), budgets: make([]retryBudget, o.Hosts)}
	r := RetryResult{RetryOptions: o}
	load, from := retryLoad, 20*time.Second
	if o.Scenario == RetrySplit {
		load, from = 1, 45*time.Second
	}
	steps, wanted, made := int(retryTime/retryStep), 0, 0
	requests, retries := make([]int, steps+1), make([]int, steps+1)
	for step := range steps {
		at := time.Duration(step) * retryStep
		m.setHosts(at, step%retryRare == 0)
		requests[step+1], retries[step+1] = requests[step], retries[step]
		for range load {
			i := m.rng.IntN(o.Hosts)
			b := m.budgets[i]
			if b == nil {
				continue
			}
			b.Request("s")
			requests[step+1]++
			rate := 0.1
			if at >= from && (o.Scenario != RetryThird || i%3 == 0) {
				rate = 0.45
			}
			if m.rng.Float64() >= rate {
				continue
			}
			r.Loans += m.borrow(i)
			ok := b.Withdraw("s")
			if ok {
				retries[step+1]++
			}
			if at >= from {
				wanted++
				if ok {
					made++
				}
			}
		}
	}
	length := int(retryWindow / retryStep)
	for end := length; end <= steps; end++ {
		allowed := retryShare*float64(requests[end]-requests[end-length]) + retrySlack
		r.Most = max(r.Most, float64(retries[end]-retries[end-length])/allowed)
	}
	r.Made = float64(made) / float64(wanted)
	return r
}

// setHosts starts and stops hosts and tells them, if asked, how many they know of.
func (m *retryModel) setHosts(at time.Duration, count bool) {
	for i := range m.budgets {
		n := m.known(i, at)
		switch {
		case n == 0:
			m.budgets[i] = nil
		case m.budgets[i] != nil && !count:
		case m.budgets[i] == nil && m.Lending:
			m.budgets[i] = &lendingBudget{tokens: 1}
		case m.budgets[i] == nil:
			m.budgets[i] = retrier.NewSharedBudgets(retrier.Allowance{Share: retryShare, Slack: retrySlack})
		}
		if n > 0 && count {
			m.budgets[i].SetHosts(fetchBegan.Add(at), n)
		}
	}
}

// known returns how many hosts a host knows of; 0 if it is stopped.
func (m *retryModel) known(i int, at time.Duration) int {
	half := m.Hosts / 2
	switch m.Scenario {
	case RetryJoin:
		switch {
		case i < half && at < 25*time.Second+time.Duration(i)*200*time.Millisecond:
			return half
		case i >= half && at < 25*time.Second:
			return 0
		case i >= half && at < 27*time.Second:
			return 1
		}
	case RetryStop:
		switch {
		case i >= half && at > 25*time.Second:
			return 0
		case at > 25*time.Second:
			return half
		}
	case RetrySplit:
		if at > 5*time.Second {
			return m.Hosts / 3
		}
	case RetryRestarts:
		began := 20*time.Second + time.Duration(i)*time.Second
		if at >= began && at < began+time.Second {
			return 0
		}
	}
	return m.Hosts
}

// borrow takes half of what a random host has for one that has no retry left, and returns the number of loans.
func (m *retryModel) borrow(to int) int {
	b, lends := m.budgets[to].(*lendingBudget)
	if !lends || b.tokens >= 1 {
		return 0
	}
	other, _ := m.budgets[m.rng.IntN(len(m.budgets))].(*lendingBudget)
	if other == nil || other == b || other.tokens < 2 {
		return 0
	}
	loan := other.tokens / 2
	other.tokens -= loan
	b.tokens += loan
	return 1
}

// PrintRetries writes results as a table.
func PrintRetries(w io.Writer, results []RetryResult) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "scenario\thosts\tseed\tlending\tretries made\tmost of the allowance\tloans")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%t\t%.3f\t%.3f\t%d\n", r.Scenario, r.Hosts, r.Seed, r.Lending, r.Made, r.Most, r.Loans)
	}
	_ = t.Flush() // errors of the underlying writer are the caller's concern
}
