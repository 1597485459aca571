// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/renewer"
)

// Options set up a Placer.
type Options struct {
	Host string // Host is this host's name.
	// Waiting returns how many requests wait here for an upstream; nil counts as none.
	Waiting          func() int
	AvailabilityZone string // AvailabilityZone is this host's.
	// Regions has the region of each availability zone, where there are several.
	Regions map[string]string
	// WeightsWithin is the time in which the operators want no request to begin on
	// replaced weights any more; 10 s if it is not set.
	WeightsWithin time.Duration
	Cold          ColdLimit // Cold bounds what all hosts together send to a cold upstream.
	Seed          uint64    // Seed begins the draws among many upstreams; hosts must differ in it.
	// Eased is called, if set, when an upstream has more room than before. It must not
	// block.
	Eased func()
	// Urgent is called, if set, when a long prompt was placed that other hosts
	// should know of at once. It must not block.
	Urgent func()
}

// urgentTokens is the length from which a prompt is told to other hosts at once:
// 25 ms of reading or more, in which a short request had better go elsewhere.
// With reports every 100 ms only, one short request in ten was late behind a
// long prompt that its host had not heard of.
const urgentTokens = 1024

// Placer chooses upstreams. It is safe for concurrent use.
type Placer struct {
	opts Options

	mu        sync.Mutex
	rng       *rand.Rand
	targets   map[string]*target   // targets are all known upstreams, by what Start names them.
	pools     map[string][]*target // pools has those of each service that take new work.
	near      map[string][]*target // near has those of pools that belong to this host's cell.
	cell      int                  // cell is this host's among the cells of its zone.
	cells     int
	direct    bool      // direct tells that other hosts' work is heard of at once at all upstreams.
	drawn     []*target // drawn is the room for the candidates of one choice.
	peers     map[string]*peerWork
	changed   map[*target]struct{}  // changed are those whose own work has changed since the last report.
	stores    map[string]*store     // stores of kept context by address.
	clock     clock                 // clock is the newest reading of the upstreams' clock.
	current   time.Time             // current is when the operators' feed was known to be current.
	reading   map[PartKey]*progress // reading are parts that engines are reading.
	begun     []Beginning           // begun waits to be told to other hosts.
	samples   []PaceSample          // samples wait to be told to other hosts.
	transfers []Transfer            // transfers wait to be told to other hosts.
	placed    []Placement           // placed waits to be told to other hosts.
	named     map[string]follower.Named
	newest    map[string]uint64    // newest is the newest weight version that an engine has of a model.
	returned  map[string]time.Time // returned is when availability zones that were evacuated were taken back.
	sharers   sharers
	host      uint64    // host is a hash of this host's name.
	contend   []uint64  // contend has a hash of each other host at which requests wait.
	heard     time.Time // heard is when another host was heard last.
	watched   time.Time // watched is when Watch last looked.
	stood     time.Time // stood is when Watch last found that this host had stood still.
}

// peerWork is what another host said last.
type peerWork struct {
	at      time.Time
	waiting int
	work    map[string]Work
	stores  map[string]Work
}

// New returns a placer that knows no upstream.
func New(opts Options) *Placer {
	return &Placer{
		opts:    opts,
		host:    xxhash.Sum64String(opts.Host),
		rng:     rand.New(rand.NewPCG(opts.Seed, 1)),
		targets: make(map[string]*target),
		pools:   make(map[string][]*target),
		peers:   make(map[string]*peerWork),
		changed: make(map[*target]struct{}),
		stores:  make(map[string]*store),
		reading: make(map[PartKey]*progress),
	}
}

// Update takes over the upstreams of a view. What is known of those that stay is kept.
// Requests that are under way at one that has started anew since are lost.
func (p *Placer) Update(view *follower.View) {
	for _, tell := range p.update(view) {
		tell()
	}
}

func (p *Placer) update(view *follower.View) (lost []func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.targets
	p.targets = make(map[string]*target, len(view.Upstreams))
	p.pools = make(map[string][]*target)
	p.named = view.Named
	p.newest = make(map[string]uint64)
	p.returned = view.Returned
	for _, u := range view.Upstreams {
		key := u.Start()
		t := before[key]
		if t == nil {
			t = &target{key: key, eased: p.heard, tickets: make(map[*Ticket]struct{}), hash: xxhash.Sum64String(u.ID), hold: firstHold, near: u.AvailabilityZone == p.opts.AvailabilityZone}
		}
		t.upstream = u
		if view.Table != nil {
			if s, ok := view.Table.Service(u.Service); ok {
				t.engine = s.Engine
				if t.bears != s.ColdPerSecond {
					t.bears, t.shareRound = s.ColdPerSecond, 0
				}
				t.coldFor = s.ColdFor
			}
		}
		p.targets[key] = t
		for model, version := range u.Weights {
			p.newest[model] = max(p.newest[model], version)
		}
		if view.Takes(&u) {
			p.pools[u.Service] = append(p.pools[u.Service], t)
		}
	}
	p.divide()
	p.sumPeers(p.heard)
	p.updateStores(view)
	p.eased()
	return p.restarted(before)
}

// restarted returns what is to be called for requests at upstreams of which another start
// is known now.
func (p *Placer) restarted(before map[string]*target) []func() {
	gone := make(map[string]*target)
	for key, t := range before {
		if p.targets[key] == nil {
			gone[t.upstream.ID] = t
		}
	}
	if len(gone) == 0 {
		return nil
	}
	var tell []func()
	for _, now := range p.targets {
		if t := gone[now.upstream.ID]; t != nil {
			tell = append(tell, t.lost()...)
			delete(p.changed, t)
		}
	}
	return tell
}

// usual returns the weight version that most requests run on: the one that was named last,
// or what engines have while none was named.
func (p *Placer) usual(model string) uint64 {
	if v := p.named[model].Version; v > 0 {
		return v
	}
	return p.newest[model]
}

// SetCell tells which of the cells of its zone this host is in. Engines of the zone
// are divided among the cells, so that those who use one tell each other at once. Direct
// tells that this host hears at once of the work of all others at any engine.
func (p *Placer) SetCell(own, cells int, direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cell, p.cells, p.direct = own, cells, direct
	p.divide()
}

// divide works out which upstreams belong to this host's cell; p.mu is held.
func (p *Placer) divide() {
	p.near = make(map[string][]*target)
	for service, pool := range p.pools {
		for _, t := range pool {
			t.ours = t.near && t.hash%uint64(max(p.cells, 1)) == uint64(p.cell)
			if t.ours {
				p.near[service] = append(p.near[service], t)
			}
		}
	}
}

// Busy returns the number of requests under way at a start of an upstream.
func (p *Placer) Busy(start string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[start]; t != nil {
		return t.own.Requests + t.peers.Requests
	}
	return 0
}

// Renewing names the engines that load weights now or will soon.
func (p *Placer) Renewing(phases map[string]renewer.Phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		t.phase = phases[t.upstream.ID]
	}
	p.eased()
}
