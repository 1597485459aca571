// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"amaranthgate.example/amaranthgate/internal/duration"
)

// UpstreamKind tells what an upstream does.
type UpstreamKind string

// The kinds of upstream.
const (
	KindEngine  UpstreamKind = "Engine"  // KindEngine generates text from prompts.
	KindService UpstreamKind = "Service" // KindService answers plain HTTP calls.
)

// Document is the whole configuration of one deployment. It is immutable once
// published; the With methods return changed copies.
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
	Weight   float64           // Weight is the share in fair queueing.
	Reserved float64           // Reserved is the share of each upstream's slots that only this rank or a more urgent one may take.
	Deadline duration.Duration // Deadline is the time a caller of this class waits by default.
	Routing  *RoutingWeights   `json:",omitempty"` // Routing replaces the document's weights.
}

// Workspace is one customer.
type Workspace struct {
	Name              string
	TokenDigests      []string // TokenDigests are SHA-256 digests of bearer tokens, in hexadecimal.
	Classes           []string // Classes lists the classes it may use; the first is the default.
	Weight            float64  // Weight is the share in fair queueing among workspaces of a class.
	RequestsPerSecond float64  // RequestsPerSecond is the limit over all hosts.
	Burst             float64  // Burst is the number of requests above the rate that may come at once.
	Concurrency       int      // Concurrency is the limit of open requests over all hosts.
}

// Model is a model and the weight version that new requests use.
type Model struct {
	Name     string
	Version  string   // Version is used by new requests.
	Next     string   `json:",omitempty"` // Next is loaded beside Version; when all upstreams have it, it takes its place.
	Adapters []string `json:",omitempty"`
}

// Service is a plain service behind the system.
type Service struct {
	Name       string
	Repeatable bool // Repeatable tells whether calls may be repeated when the caller does not say.
}

// Upstream is one back end.
type Upstream struct {
	Name             string
	Kind             UpstreamKind
	Service          string `json:",omitempty"`
	Address          string // Address is IP:port.
	AvailabilityZone string
	Models           []string `json:",omitempty"`
	WeightStore      string   `json:",omitempty"` // WeightStore names the store it loads weights from.
	Slots            int      // Slots is the number of requests it runs at once.
	ChecksFencing    bool     // ChecksFencing tells whether it refuses orders with an old fencing number.
	PrefillRate      float64  `json:",omitempty"` // PrefillRate is in tokens per second.
	LinkRate         float64  `json:",omitempty"` // LinkRate is of the link to the memory and disk tiers, in bytes per second.
	BytesPerToken    float64  `json:",omitempty"` // BytesPerToken is the size of kept context.
	StoreBlocks      int      `json:",omitempty"` // StoreBlocks is the size of its store of kept context, in blocks of 64 tokens; 0 keeps nothing.
	Role             string   `json:",omitempty"` // Role is what an engine is ordered to do, such as Prefill; empty for any.
}

// RoutingWeights weigh the parts of the estimate by which routes are compared.
// Each weight multiplies seconds.
type RoutingWeights struct {
	Time      float64 // Time weighs the estimated time to first token.
	Recompute float64 // Recompute weighs time spent computing what was computed before.
	Link      float64 // Link weighs time during which a tier link is in use.
	FarZone   duration.Duration
}

// RetryPolicy bounds retries.
type RetryPolicy struct {
	BudgetShare float64 // BudgetShare is the share of requests that may be retries.
	Attempts    int     // Attempts is the largest number of attempts for one request.
}

// ClaimPolicy bounds the records of requests that may run only once.
type ClaimPolicy struct {
	Window    duration.Duration // Window is the time for which a key is remembered.
	Timeout   duration.Duration // Timeout is the time after which a claim without outcome counts as unknown.
	KeptBytes int               // KeptBytes is the largest answer that is kept for repeated keys.
}

// LoadPolicy bounds the loading of weights.
type LoadPolicy struct {
	AtOnce int // AtOnce is the number of servers that may load from one weight store at once.
}

// Encode returns the document as indented JSON with the field order of the
// types.
func (d *Document) Encode() []byte {
	b, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic("configurer: document cannot be encoded: " + err.Error())
	}
	return b
}

// Digest returns the SHA-256 digest of the document, in hexadecimal. The order
// of its lists does not matter.
func (d *Document) Digest() string {
	sum := sha256.Sum256(d.keyed())
	return hex.EncodeToString(sum[:])
}

// TokenDigest returns the form under which a bearer token is kept.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// WithUpstreams returns a copy of d with other upstreams.
func (d *Document) WithUpstreams(ups []Upstream) *Document {
	c := *d
	c.Upstreams = ups
	return &c
}

// WithModelVersion returns a copy of d in which new requests for a model use
// another weight version.
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

// Class returns the class of a name.
func (d *Document) Class(name string) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Model returns the model of a name.
func (d *Document) Model(name string) (Model, bool) {
	for _, m := range d.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service of a name.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// WithPromoted returns a copy of d in which a model's next version is in force.
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

// ReservedAbove returns the share of upstreams that is reserved for classes
// more urgent than a rank.
func ReservedAbove(classes []Class, rank int) float64 {
	var share float64
	for _, c := range classes {
		if c.Rank < rank {
			share += c.Reserved
		}
	}
	return share
}
