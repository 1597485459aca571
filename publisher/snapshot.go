// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package publisher passes the state of the control goroutine to the goroutines that serve
// requests, as an immutable snapshot behind an atomic pointer.
//
// # Usage
//
//	snap := p.Load()
//	workspace, ok := snap.WorkspaceOf(token)
//	pool := snap.Engines["model-a"]
package publisher

import (
	"sync/atomic"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/router"
)

// Address is the address of a host for callers.
type Address struct {
	Host             string
	Address          string
	AvailabilityZone string
	Weight           float64 // Weight is the spare capacity, relative to other hosts.
}

// Upstream is an upstream of a pool.
type Upstream struct {
	*configurer.Upstream
	Instruments *Instruments
	Versions    []string // Versions holds the loaded weight versions of the pool's model.
}

// Pool is a set of upstreams that can serve a request.
type Pool struct {
	Targets   []router.Target
	Upstreams []Upstream // Upstreams has the same order as Targets.

	reserved map[int][]bool // reserved marks, by rank, the targets reserved for more urgent classes.
}

// Reserve computes the targets that are reserved for more urgent classes, for each rank. It must be
// called once, before the pool is published.
func (p *Pool) Reserve(classes []configurer.Class) {
	p.reserved = make(map[int][]bool, len(classes))
	for _, c := range classes {
		if share := configurer.ReservedAbove(classes, c.Rank); share > 0 {
			p.reserved[c.Rank] = router.Reserved(p.Targets, share)
		}
	}
}

// ReservedAbove marks the targets that a rank must leave to more urgent classes. The result is nil
// if there are none.
func (p *Pool) ReservedAbove(rank int) []bool { return p.reserved[rank] }

// Snapshot is the state that is needed to serve requests. It must not be changed once published.
type Snapshot struct {
	Ready     bool // Ready reports whether a configuration is in force on this host.
	Leaving   bool // Leaving reports whether this host is draining.
	Revision  uint64
	Document  *configurer.Document
	Addresses []Address
	Engines   map[string]*Pool // Engines holds the pool of each model.
	Services  map[string]*Pool // Services holds the pool of each service.

	workspaces map[string]*configurer.Workspace // workspaces is keyed by token digest.
}

// NewSnapshot returns a snapshot for a document, without pools.
func NewSnapshot(doc *configurer.Document, revision uint64) *Snapshot {
	s := &Snapshot{
		Document:   doc,
		Revision:   revision,
		Engines:    make(map[string]*Pool),
		Services:   make(map[string]*Pool),
		workspaces: make(map[string]*configurer.Workspace),
	}
	for i := range doc.Workspaces {
		for _, d := range doc.Workspaces[i].TokenDigests {
			s.workspaces[d] = &doc.Workspaces[i]
		}
	}
	return s
}

// WithoutPools returns a copy of s without its pools.
func (s *Snapshot) WithoutPools() *Snapshot {
	c := *s
	c.Engines = make(map[string]*Pool, len(s.Engines))
	c.Services = make(map[string]*Pool, len(s.Services))
	return &c
}

// Add adds an upstream. It must not be called once the pool is published.
func (p *Pool) Add(t router.Target, u Upstream) {
	p.Targets = append(p.Targets, t)
	p.Upstreams = append(p.Upstreams, u)
}

// WorkspaceOf returns the workspace that a bearer token authenticates.
func (s *Snapshot) WorkspaceOf(token string) (*configurer.Workspace, bool) {
	w, ok := s.workspaces[configurer.TokenDigest(token)]
	return w, ok
}

// Publisher holds the current snapshot. It is safe for concurrent use. The zero value holds an
// empty snapshot.
type Publisher struct {
	current atomic.Pointer[Snapshot]
}

var emptySnapshot = NewSnapshot(&configurer.Document{}, 0)

// Load returns the current snapshot. It is never nil.
func (p *Publisher) Load() *Snapshot {
	if s := p.current.Load(); s != nil {
		return s
	}
	return emptySnapshot
}

// Store replaces the snapshot.
func (p *Publisher) Store(s *Snapshot) { p.current.Store(s) }
