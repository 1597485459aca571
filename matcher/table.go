// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package matcher

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind string

const (
	KindIdempotent Kind = "Idempotent" // KindIdempotent may run more than once.
	KindOnce       Kind = "Once"       // KindOnce may run at most once.
	KindStream     Kind = "Stream"     // KindStream is answered by events, and may run once unless it is resumable.
)

// Route says how requests of one host name and path prefix are served.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // PathPrefix begins and ends with a slash.
	Kind        Kind
	Resumable   bool // Resumable tells that a stream may go on at another upstream after its last event.
	Prompted    bool // Prompted tells that requests carry prompts and go to engines.
	Public      bool // Public tells that no key is asked for.
	Timeout     time.Duration
	Objective   time.Duration // Objective is the latency up to which an answer is on time.
	Rank        int           // Rank is the urgency; 0 is the most urgent.
	MaxAttempts int           // MaxAttempts bounds the upstreams on which one request may run.
	Regions     []string      // Regions are those that may serve its requests and keep their context; all if there are none.
	Services    []Share
}

// Repeatable tells that a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Share is a service and its part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Pick returns the service for a number drawn evenly from [0, 1).
func (r *Route) Pick(draw float64) string {
	var sum float64
	for _, s := range r.Services {
		sum += s.Weight
	}
	draw *= sum
	for _, s := range r.Services {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is a group of upstreams that do the same.
type Service struct {
	Name           string
	ColdFor        time.Duration // ColdFor is how long an upstream is slow after its start.
	ColdPerSecond  float64       // ColdPerSecond is how many requests a second an upstream bears meanwhile; 0 if any.
	MaxConnections int           // MaxConnections bounds the connections to one upstream, of all hosts together.
	Engine         *Engine       // Engine is nil for plain services.
	Store          *Store        // Store is nil unless the service keeps context for engines.
}

// Engine describes the upstreams of a service that computes prompts.
type Engine struct {
	Slots          int
	CapacityTokens int // CapacityTokens is the memory that running requests and kept context share.
	BytesPerToken  int
	LinkMbps       float64
	Models         []string
}

// Store describes a store of kept context.
type Store struct {
	Address          string // Address is IP:port.
	AvailabilityZone string
	CapacityTokens   int
	LinkMbps         float64
	FirstDelay       time.Duration // FirstDelay is what each transfer waits first.
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name     string
	Keys     []string
	Rank     *int     // Rank goes before the route's rank if it is set.
	Regions  []string // Regions are as those of a route; where both have some, both bind.
	Isolated bool     // Isolated tells that no kept context is shared with others.
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Parts are the contents of a Table.
type Parts struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	parts    Parts
	byHost   map[string][]*Route // byHost has the longest prefix first.
	services map[string]*Service
	byKey    map[string]*Workspace
}

// New returns the table of parts, which it takes over.
func New(parts Parts) *Table {
	t := &Table{
		parts:    parts,
		byHost:   make(map[string][]*Route),
		services: make(map[string]*Service, len(parts.Services)),
		byKey:    make(map[string]*Workspace),
	}
	for i := range parts.Routes {
		r := &parts.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range parts.Services {
		t.services[parts.Services[i].Name] = &parts.Services[i]
	}
	for i := range parts.Workspaces {
		for _, key := range parts.Workspaces[i].Keys {
			t.byKey[key] = &parts.Workspaces[i]
		}
	}
	return t
}

// Version returns the version, which only grows.
func (t *Table) Version() uint64 { return t.parts.Version }

// Limits returns what callers are held to.
func (t *Table) Limits() Limits { return t.parts.Limits }

// Services returns all services. The caller must not change them.
func (t *Table) Services() []Service { return t.parts.Services }

// Service returns a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Keyed tells that requests need a key unless their route is public.
func (t *Table) Keyed() bool { return len(t.parts.Workspaces) > 0 }

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Route returns the route with the longest prefix of path among those of host,
// which may carry a port.
func (t *Table) Route(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil, false
		}
		routes = t.byHost[name]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}
