// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package retrier

import (
	"sync"
	"time"
)

const (
	// usableShare is the part of the allowance that is used. The rest is a margin
	// for hosts that start, each of which has one retry, and for services that count
	// requests in other windows.
	usableShare = 0.9
	// countMemory is for how long the largest number of hosts counts at least. Hosts that
	// seem to have stopped may use their parts on the other side of a partition.
	countMemory = 30 * time.Second
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
	hosts     int       // hosts is the number of hosts that counts.
	recent    [2]int    // recent are the largest numbers in this countMemory and the one before.
	turned    time.Time // turned is when this countMemory began.
	budgets   map[string]*Budget
}

// NewSharedBudgets returns SharedBudgets whose budgets divide a among the hosts.
func NewSharedBudgets(a Allowance) *SharedBudgets {
	return &SharedBudgets{allowance: a, hosts: minHosts, budgets: make(map[string]*Budget)}
}

// SetHosts sets the number of hosts that share the allowance. It is to be called
// repeatedly, since a number counts until it is older than countMemory. Accumulated
// retries above a budget's new capacity are dropped.
func (s *SharedBudgets) SetHosts(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch age := now.Sub(s.turned); {
	case age >= 2*countMemory:
		s.recent, s.turned = [2]int{n, n}, now
	case age >= countMemory:
		s.recent, s.turned = [2]int{n, s.recent[0]}, now
	}
	s.recent[0] = max(n, s.recent[0])
	hosts := max(s.recent[0], s.recent[1], minHosts)
	if hosts == s.hosts {
		return
	}
	s.hosts = hosts
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

// Used returns the share of the accumulated retries that is used, at the service
// where it is largest.
func (s *SharedBudgets) Used() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := 0.0
	for _, b := range s.budgets {
		used = max(used, b.used())
	}
	return used
}

// Withdraw takes one retry from the budget of a service and reports whether one
// was left.
func (s *SharedBudgets) Withdraw(service string) bool { return s.budget(service).Withdraw() }

func (b *Budget) setCapacity(capacity float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// used returns the share of the capacity that has been withdrawn.
func (b *Budget) used() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.capacity <= 0 {
		return 0
	}
	return 1 - b.tokens/b.capacity
}
