// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package matcher

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is the repeatability of a route's requests.
type Kind string

const (
	KindIdempotent Kind = "Idempotent" // KindIdempotent requests may run more than once.
	KindOnce       Kind = "Once"       // KindOnce requests may run at most once.
	KindStream     Kind = "Stream"     // KindStream requests are answered by a stream of events.
)

// Route configures the requests of one host name and path prefix.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // PathPrefix begins and ends with a slash.
	Kind        Kind
	Resumable   bool // Resumable reports whether another upstream can continue a stream after its last event.
	Prompted    bool // Prompted reports whether requests carry prompts for engines.
	Public      bool // Public reports whether requests need no key.
	Timeout     time.Duration
	Objective   time.Duration // Objective is the latency objective of an answer.
	Rank        int           // Rank is the priority; 0 is the highest.
	MaxAttempts int           // MaxAttempts bounds the number of upstreams that may run one request.
	Regions     []string      // Regions may serve the requests and keep their context; empty means all regions.
	Services    []Share
}

// Repeatable reports whether a request may run again after it may have run already.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Share is a service with its weight in a route.
type Share struct {
	Service string
	Weight  float64
}

// Pick returns the service for a number drawn uniformly from [0, 1).
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

// Serves reports whether the route leads to a service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Services, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name           string
	ColdFor        time.Duration // ColdFor is the warm-up time of a started upstream.
	ColdPerSecond  float64       // ColdPerSecond is an upstream's request rate during warm-up; 0 means unlimited.
	MaxConnections int           // MaxConnections bounds the connections of all hosts to one upstream.
	Engine         *Engine       // Engine is nil for services without prompts.
	Store          *Store        // Store is nil unless the service stores kept context for engines.
}

// Engine describes the upstreams of a service that runs prompts.
type Engine struct {
	Slots          int
	CapacityTokens int // CapacityTokens is the memory shared by running requests and kept context.
	BytesPerToken  int
	LinkMbps       float64
	Models         []string
}

// Store describes a store of kept context, the KV cache of finished requests.
type Store struct {
	Address          string // Address is IP:port.
	AvailabilityZone string
	CapacityTokens   int
	LinkMbps         float64
	FirstDelay       time.Duration // FirstDelay is the latency before the first byte of a transfer.
}

// Workspace is a customer with its API keys.
type Workspace struct {
	Name     string
	Keys     []string
	Rank     *int     // Rank overrides the route's rank if set.
	Regions  []string // Regions restrict those of the route further; empty means no restriction.
	Isolated bool     // Isolated reports whether kept context is not shared with other workspaces.
}

// Limits bound the requests of callers.
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
	parts     Parts
	byHost    map[string][]*Route // byHost has the longest prefix first.
	services  map[string]*Service
	byKey     map[string]*Workspace
	isolation string
}

// New returns a table of parts and takes ownership of them.
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
	t.isolation = isolationOf(parts.Workspaces)
	return t
}

// isolationOf returns Table.Isolation for some workspaces.
func isolationOf(workspaces []Workspace) string {
	var names []string
	for i := range workspaces {
		if w := &workspaces[i]; w.Isolated {
			names = append(names, strconv.Quote(w.Name))
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	sum := sha256.Sum256([]byte(strings.Join(names, ",")))
	return hex.EncodeToString(sum[:isolationBytes])
}

// isolationBytes is the length of the hash in Table.Isolation.
const isolationBytes = 8

// Isolation identifies the set of workspaces that are isolated, in hexadecimal; it is empty if none is.
func (t *Table) Isolation() string { return t.isolation }

// Version returns the configuration version. Versions only increase.
func (t *Table) Version() uint64 { return t.parts.Version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.parts.Limits }

// Services returns all services. The caller must not modify them.
func (t *Table) Services() []Service { return t.parts.Services }

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RequiresKeys reports whether requests to routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return len(t.parts.Workspaces) > 0 }

// Workspace returns the workspace that holds a key.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.byKey[key]
	return w, ok
}

// Route returns the route of host with the longest matching prefix of path. host may include a port.
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
