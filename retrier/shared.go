// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package retrier

import "sync"

// Figures of a shared budget.
const (
	// cautionShare is the part of the allowance that is used. The rest covers
	// requests that are counted in another window by whoever checks.
	cautionShare = 0.75
	// fewestHosts is assumed while fewer hosts are known, so that a host that is
	// cut off from the others does not take all of the allowance.
	fewestHosts = 8
)

// Allowance bounds the retries of all hosts together towards one service.
type Allowance struct {
	Share float64 // Share of the requests that may be retries.
	Slack float64 // Slack is the number of retries beyond the share in one window.
}

// Shared keeps one budget for each service, each a host's part of what all
// hosts may spend. It is safe for concurrent use.
type Shared struct {
	mu        sync.Mutex
	allowance Allowance
	hosts     int
	budgets   map[string]*Budget
}

// NewShared returns budgets under an allowance.
func NewShared(a Allowance) *Shared {
	return &Shared{allowance: a, hosts: fewestHosts, budgets: make(map[string]*Budget)}
}

// SetHosts tells how many hosts share the allowance. A budget never grows by it:
// what was saved stays within the smaller part.
func (s *Shared) SetHosts(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = max(n, fewestHosts)
	for _, b := range s.budgets {
		b.setMost(s.most())
	}
}

// SetAllowance changes what all hosts may spend.
func (s *Shared) SetAllowance(a Allowance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowance = a
	for _, b := range s.budgets {
		b.SetShare(cautionShare * a.Share)
		b.setMost(s.most())
	}
}

func (s *Shared) most() float64 { return cautionShare * s.allowance.Slack / float64(s.hosts) }

func (s *Shared) budget(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		// A host begins with little: one that is restarted again and again must
		// not begin each time with a full purse.
		b = &Budget{share: cautionShare * s.allowance.Share, most: s.most(), savings: min(1, s.most())}
		s.budgets[service] = b
	}
	return b
}

// Request counts a first attempt at a service.
func (s *Shared) Request(service string) { s.budget(service).Request() }

// Withdraw reports whether a retry at a service is allowed, and counts it.
func (s *Shared) Withdraw(service string) bool { return s.budget(service).Withdraw() }

func (b *Budget) setMost(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.savings = min(b.savings, most)
}
