// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package arbiter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silenceTimeout is the silence after which a host counts as having nothing waiting. Hosts at which
	// requests wait repeat their message every repeatInterval.
	silenceTimeout = 1500 * time.Millisecond
	// stallGap is the time between two steps from which this process counts as having been paused, and
	// stallWindow is how long messages after it may have accumulated meanwhile.
	stallGap    = 600 * time.Millisecond
	stallWindow = 300 * time.Millisecond
	// maxPeers bounds the hosts that are remembered.
	maxPeers = 4096
	// maxClasses bounds the classes whose counts are kept.
	maxClasses = 8192
)

// Options configure an Arbiter.
type Options struct {
	Host        string // Host is this host's name.
	Incarnation uint64 // Incarnation identifies this start of the host; later starts have a larger one.
}

// Stats counts what an Arbiter has done.
type Stats struct {
	Sent     uint64 // Sent counts messages by receiver.
	Received uint64 // Received counts messages that were applied.
	Ignored  uint64 // Ignored counts messages that were old, or may have been delayed by a pause.
	Rejected uint64 // Rejected counts messages with invalid figures.
}

// Arbiter holds what waits at this host and at the others. It is safe for concurrent use.
type Arbiter struct {
	opts Options
	hash uint64
	// contended reports whether requests wait at another host, readable without the lock. It may remain
	// set after the last such host has fallen silent.
	contended atomic.Bool

	mu       sync.Mutex
	epoch    time.Time // epoch is the time that window periods count from.
	lastStep time.Time
	stale    time.Time // stale is until when messages may have accumulated during a pause.
	local    local
	peers    map[string]*peer
	sums     map[ClassKey]*counts      // sums are counted over all other hosts.
	classes  map[ClassKey]*classWindow // classes has what all hosts have started lately.
	works    map[workspaceKey]*window  // works has the work that this host has started lately.
	started  map[ClassKey]float64      // started has the work that this host has started since its start.
	orders   map[string]*order         // orders are by service.
	version  uint64                    // version is incremented when what waits changes.
	memo     memo
	outbox   outbox
	stats    Stats
}

// counts are cumulative counts of requests.
type counts struct{ entered, started uint64 }

// workspaceKey identifies a workspace's work at a service.
type workspaceKey struct{ service, workspace string }

// New returns an Arbiter that knows no other host.
func New(opts Options) *Arbiter {
	return &Arbiter{
		opts:    opts,
		hash:    xxhash.Sum64String(opts.Host),
		peers:   make(map[string]*peer),
		sums:    make(map[ClassKey]*counts),
		classes: make(map[ClassKey]*classWindow),
		works:   make(map[workspaceKey]*window),
		started: make(map[ClassKey]float64),
		orders:  make(map[string]*order),
	}
}

// Began records that this host has started work for a workspace of a service.
func (a *Arbiter) Began(now time.Time, service, workspace string, work float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := workspaceKey{service, workspace}
	w := a.works[key]
	if w == nil {
		w = &window{}
		a.works[key] = w
	}
	w.add(a.period(now), work)
}

// BeganClass records that this host has started work of a class.
func (a *Arbiter) BeganClass(now time.Time, key ClassKey, work float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started[key] += work
	a.classWindow(key).work.add(a.period(now), work)
}

// Sums returns the backlog of a class over all other hosts.
func (a *Arbiter) Sums(now time.Time, key ClassKey) Sums {
	a.mu.Lock()
	defer a.mu.Unlock()
	var s Sums
	if c := a.sums[key]; c != nil {
		s.Entered, s.Started = c.entered, c.started
	}
	for _, p := range a.peers {
		if !p.heard(now) {
			continue
		}
		for i := range p.backlogs {
			if b := &p.backlogs[i]; b.Key == key && b.waiting() > 0 {
				s.OnTime += b.OnTime
				s.Late += b.Late
				s.Hosts++
			}
		}
	}
	return s
}

// Contenders returns the number of other hosts at which requests for a service wait.
func (a *Arbiter) Contenders(now time.Time, service string) int {
	if !a.contended.Load() {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.order(now, service).heads)
}

// Knows reports whether the queue of another host is known from a recent message.
func (a *Arbiter) Knows(now time.Time, host string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[host]
	return p != nil && p.heard(now)
}

// Retain forgets all hosts but the given ones.
func (a *Arbiter) Retain(live []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	keep := make(map[string]bool, len(live))
	for _, h := range live {
		keep[h] = true
	}
	for host := range a.peers {
		if !keep[host] {
			delete(a.peers, host)
			a.version++
		}
	}
}

// Stats returns the current counts.
func (a *Arbiter) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stats
}
