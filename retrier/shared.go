// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package retrier

import "sync"

const (
	// usableShare is the part of the allowance that is used. The rest is a margin
	// for services that count requests in other windows.
	usableShare = 0.75
	// minHosts is the smallest number of hosts assumed, so that a partitioned host
	// does not use the whole allowance.
	minHosts = 8
)

// Allowance bounds the retries of all hosts together to one service.
type Allowance struct {
	Share float64 // Share is the share of requests that may be retries.
	Slack float64 // Slack is the number of retries allowed beyond Share in one window.
}

// SharedBudgets holds this host's part of the retry budget of each service. It is safe
// for concurrent use.
type SharedBudgets struct {
	mu        sync.Mutex
	allowance Allowance
	hosts     int
	budgets   map[string]*Budget
}

// NewSharedBudgets returns SharedBudgets whose budgets divide a among the hosts.
func NewSharedBudgets(a Allowance) *SharedBudgets {
	return &SharedBudgets{allowance: a, hosts: minHosts, budgets: make(map[string]*Budget)}
}

// SetHosts sets the number of hosts that share the allowance. Accumulated retries
// above a budget's new capacity are dropped.
func (s *SharedBudgets) SetHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = max(n, minHosts)
	for _, b := range s.budgets {
		b.setCapacity(s.capacity())
	}
}

// SetAllowance sets the allowance of all hosts together.
func (s *SharedBudgets) SetAllowance(a Allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowance = a
	for _, b := range s.budgets {
		b.SetShare(usableShare * a.Share)
		b.setCapacity(s.capacity())
	}
}

func (s *SharedBudgets) capacity() float64 { return usableShare * s.allowance.Slack / float64(s.hosts) }

func (s *SharedBudgets) budget(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		// Start nearly empty, so that repeated restarts do not exceed the allowance.
		b = &Budget{share: usableShare * s.allowance.Share, capacity: s.capacity(), tokens: min(1, s.capacity())}
		s.budgets[service] = b
	}
	return b
}

// Request counts a first attempt at a service.
func (s *SharedBudgets) Request(service string) { s.budget(service).Request() }

// Withdraw takes one retry from the budget of a service and reports whether one
// was left.
func (s *SharedBudgets) Withdraw(service string) bool { return s.budget(service).Withdraw() }

func (b *Budget) setCapacity(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}
