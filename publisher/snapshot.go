// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

// Package publisher hands what the control goroutine knows to the goroutines
// that carry traffic: one immutable snapshot behind an atomic pointer.
//
// # Usage
//
//	snap := p.Load()
//	workspace, ok := snap.WorkspaceOf(token)
//	pool := snap.Engines("model-a")
package publisher

import (
	"sync/atomic"

	"amaranthgate.example/amaranthgate/configurer"
	"amaranthgate.example/amaranthgate/router"
)

// Address is where callers can reach one host, and how good a choice it is.
type Address struct {
	Host             string
	Address          string
	AvailabilityZone string
	Weight           float64 // Weight is the spare room, relative to other hosts.
}

// Upstream joins an upstream's configuration with its place in a pool.
type Upstream struct {
	*configurer.Upstream
	Instruments *Instruments
	Versions    []string // Versions are the weight versions of the pool's model that are loaded.
}

// Pool is the upstreams among which a request may choose.
type Pool struct {
	Targets   []router.Target
	Upstreams []Upstream // Upstreams has the same order as Targets.

	reserved map[int][]bool // reserved marks, by rank, the targets kept for more urgent classes.
}

// Reserve works out which targets each class must leave to more urgent ones. It
// is called once, before the pool is published.
func (p *Pool) Reserve(classes []configurer.Class) {
	p.reserved = make(map[int][]bool, len(classes))
	for _, c := range classes {
		if share := configurer.ReservedAbove(classes, c.Rank); share > 0 {
			p.reserved[c.Rank] = router.Reserved(p.Targets, share)
		}
	}
}

// ReservedFrom marks the targets that a rank must leave to more urgent classes;
// nil if there are none.
func (p *Pool) ReservedFrom(rank int) []bool { return p.reserved[rank] }

// Snapshot is all that traffic needs to know. It is immutable.
type Snapshot struct {
	Ready     bool // Ready tells that a configuration is in force here.
	Leaving   bool // Leaving tells that this host drains.
	Revision  uint64
	Document  *configurer.Document
	Addresses []Address
	Engines   map[string]*Pool // Engines has a pool for each model.
	Services  map[string]*Pool // Services has a pool for each plain service.

	workspaces map[string]*configurer.Workspace // workspaces is keyed by token digest.
}

// NewSnapshot returns a snapshot of a document without pools.
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

// WithoutPools returns a copy of s for the same document, with empty pools.
func (s *Snapshot) WithoutPools() *Snapshot {
	c := *s
	c.Engines = make(map[string]*Pool, len(s.Engines))
	c.Services = make(map[string]*Pool, len(s.Services))
	return &c
}

// Add puts an upstream into a pool that is not published yet.
func (p *Pool) Add(t router.Target, u Upstream) {
	p.Targets = append(p.Targets, t)
	p.Upstreams = append(p.Upstreams, u)
}

// WorkspaceOf returns the workspace that a bearer token proves.
func (s *Snapshot) WorkspaceOf(token string) (*configurer.Workspace, bool) {
	w, ok := s.workspaces[configurer.TokenDigest(token)]
	return w, ok
}

// Publisher holds the newest snapshot. The zero value holds an empty one.
type Publisher struct {
	current atomic.Pointer[Snapshot]
}

var empty = NewSnapshot(&configurer.Document{}, 0)

// Load returns the newest snapshot, never nil.
func (p *Publisher) Load() *Snapshot {
	if s := p.current.Load(); s != nil {
		return s
	}
	return empty
}

// Store replaces the snapshot.
func (p *Publisher) Store(s *Snapshot) { p.current.Store(s) }
