// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"amaranthgate.example/amaranthgate/internal/duration"
)

// UpstreamKind is the kind of an upstream.
type UpstreamKind string

// Kinds of upstreams.
const (
	KindEngine  UpstreamKind = "Engine"  // KindEngine generates text from prompts.
	KindService UpstreamKind = "Service" // KindService answers plain HTTP calls.
)

// Document is the configuration of a deployment. It must not be changed once published; the With
// methods return changed copies.
type Document struct {
	Classes    []Class
	Workspaces []Workspace
	Models     []Model
	Services   []Service
	Upstreams  []Upstream
	Routing    RoutingWeights
	Retry      RetryPolicy
	Claims     ClaimPolicy
	Loads      LoadPolicy
}

// Class is a priority class of requests.
type Class struct {
	Name     string
	Rank     int               // Rank orders classes; 0 is the most urgent.
	Weight   float64           // Weight is the weight in fair queueing among classes.
	Reserved float64           // Reserved is the share of upstreams reserved for this and more urgent ranks.
	Deadline duration.Duration // Deadline is the default timeout of requests.
	Routing  *RoutingWeights   `json:",omitempty"` // Routing overrides the document's weights.
}

// Workspace is a tenant.
type Workspace struct {
	Name              string
	TokenDigests      []string // TokenDigests holds SHA-256 digests of bearer tokens, in hexadecimal.
	Classes           []string // Classes lists the permitted classes; the first is the default.
	Weight            float64  // Weight is the weight in fair queueing among workspaces of a class.
	RequestsPerSecond float64  // RequestsPerSecond is the rate limit over all hosts.
	Burst             float64  // Burst is the number of requests that may exceed the rate at once.
	Concurrency       int      // Concurrency is the limit of open requests over all hosts.
}

// Model is a model with its weight versions.
type Model struct {
	Name     string
	Version  string   // Version is the weight version for new requests.
	Next     string   `json:",omitempty"` // Next replaces Version once all upstreams have loaded it.
	Adapters []string `json:",omitempty"`
}

// Service is an HTTP service without prompts.
type Service struct {
	Name       string
	Repeatable bool // Repeatable reports whether calls may be repeated by default.
}

// Upstream is a server to which requests are forwarded.
type Upstream struct {
	Name             string
	Kind             UpstreamKind
	Service          string `json:",omitempty"`
	Address          string // Address is IP:port.
	AvailabilityZone string
	Models           []string `json:",omitempty"`
	WeightStore      string   `json:",omitempty"` // WeightStore names the store that holds the weights.
	Slots            int      // Slots is the maximum number of concurrent requests.
	ChecksFencing    bool     // ChecksFencing reports whether orders with an old fencing number are rejected.
	PrefillRate      float64  `json:",omitempty"` // PrefillRate is in tokens per second.
	LinkRate         float64  `json:",omitempty"` // LinkRate is in bytes per second, to the memory and disk tiers.
	BytesPerToken    float64  `json:",omitempty"` // BytesPerToken is the size of the KV cache per token.
	StoreBlocks      int      `json:",omitempty"` // StoreBlocks is the store's capacity in blocks of 64 tokens.
	Role             string   `json:",omitempty"` // Role is an engine's role, such as Prefill; empty for any.
}

// RoutingWeights holds the weights of the cost terms by which routes are compared, each per
// second.
type RoutingWeights struct {
	Time      float64           // Time is the weight of the estimated time to first token.
	Recompute float64           // Recompute is the weight of the time to recompute known blocks.
	Link      float64           // Link is the weight of the time during which a tier link is in use.
	FarZone   duration.Duration // FarZone is added to the time of upstreams in other availability zones.
}

// RetryPolicy limits retries.
type RetryPolicy struct {
	BudgetShare float64 // BudgetShare is the share of requests that may be retries.
	Attempts    int     // Attempts is the maximum number of attempts per request.
}

// ClaimPolicy limits the records of requests that may run only once.
type ClaimPolicy struct {
	Window    duration.Duration // Window is the time for which a key is retained.
	Timeout   duration.Duration // Timeout is the time after which a claim without outcome becomes unknown.
	KeptBytes int               // KeptBytes is the maximum size of an answer that is stored for repeated keys.
}

// LoadPolicy limits the loading of weights.
type LoadPolicy struct {
	AtOnce int // AtOnce is the maximum number of upstreams that load from one weight store at once.
}

// Encode returns the document as indented JSON.
func (d *Document) Encode() []byte {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic("configurer: document cannot be encoded: " + err.Error())
	}
	return b
}

// Digest returns the SHA-256 digest of the document in hexadecimal. It does not depend on the order
// of the document's lists.
func (d *Document) Digest() string {
	sum := sha256.Sum256(d.keyed())
	return hex.EncodeToString(sum[:])
}

// TokenDigest returns the SHA-256 digest of a bearer token in hexadecimal.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// WithUpstreams returns a copy of d with its upstreams replaced.
func (d *Document) WithUpstreams(ups []Upstream) *Document {
	c := *d
	c.Upstreams = ups
	return &c
}

// WithModelVersion returns a copy of d with a model's weight version replaced.
func (d *Document) WithModelVersion(name, version string) *Document {
	c := *d
	c.Models = append([]Model(nil), d.Models...)
	for i := range c.Models {
		if c.Models[i].Name == name {
			c.Models[i].Version = version
		}
	}
	return &c
}

// Class returns the class with a name and reports whether it exists.
func (d *Document) Class(name string) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Model returns the model with a name and reports whether it exists.
func (d *Document) Model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service with a name and reports whether it exists.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// WithPromoted returns a copy of d in which a model's Next has replaced its Version.
func (d *Document) WithPromoted(name string) *Document {
	c := *d
	c.Models = append([]Model(nil), d.Models...)
	for i := range c.Models {
		if c.Models[i].Name == name && c.Models[i].Next != "" {
			c.Models[i].Version, c.Models[i].Next = c.Models[i].Next, ""
		}
	}
	return &c
}

// ReservedAbove returns the share of upstreams reserved for classes more urgent than a rank.
func ReservedAbove(classes []Class, rank int) float64 {
	var share float64
	for _, c := range classes {
		if c.Rank < rank {
			share += c.Reserved
		}
	}
	return share
}
