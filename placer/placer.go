// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"maps"
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
	members   map[string]*member // members are all known upstreams, by ID.
	targets   map[string]*target // targets are those that were looked at, by what Start names them.
	pools     map[string]*pool   // pools has those of each service that take new work.
	cell      int                // cell is this host's among the cells of its zone.
	cells     int
	direct    bool      // direct tells that other hosts' work is heard of at once at all upstreams.
	drawn     []*target // drawn is the room for the candidates of one choice.
	keepers   keepers   // keepers has the engines that keep each part.
	view      *follower.View
	phases    map[string]renewer.Phase
	working   map[*target]struct{} // working are those at which this host has or lately had requests.
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
		view:    &follower.View{},
		targets: make(map[string]*target),
		members: make(map[string]*member),
		pools:   make(map[string]*pool),
		newest:  make(map[string]uint64),
		working: make(map[*target]struct{}),
		peers:   make(map[string]*peerWork),
		changed: make(map[*target]struct{}),
		stores:  make(map[string]*store),
		reading: make(map[PartKey]*progress),
		keepers: make(keepers),
	}
}

// Update takes over the upstreams of a view. What is known of those that stay is kept.
// Requests that are under way at one that has started anew since are lost.
func (p *Placer) Update(view *follower.View) {
	for _, tell := range p.update(view) {
		tell()
	}
}

// update takes over what has changed since the last view. What a change of one of 9,695 upstreams
// costs must not grow with them: rebuilt whole it took 9 ms and 2.7 MB on each host.
func (p *Placer) update(view *follower.View) (lost []func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.view
	p.view = view
	p.named, p.returned = view.Named, view.Returned
	put, gone := view.Upstreams.Since(before.Upstreams)
	for _, u := range put {
		lost = append(lost, p.put(view, u)...)
	}
	for _, u := range gone {
		p.drop(u.ID)
	}
	if view.Table != before.Table {
		for _, t := range p.targets {
			p.configure(t)
		}
	}
	if !maps.Equal(view.Evacuated, before.Evacuated) {
		for _, s := range p.members {
			p.enlist(s, view.Takes(s.upstream))
		}
	}
	p.updateStores(view)
	p.eased()
	return lost
}

// put takes over an upstream that is new or has changed. Requests under way at an earlier start
// of it are lost.
func (p *Placer) put(view *follower.View, u *follower.Upstream) (lost []func()) {
	key := u.Start()
	s := p.members[u.ID]
	if s != nil && s.key != key {
		if s.target != nil {
			lost = s.target.lost()
		}
		p.drop(u.ID)
		s = nil
	}
	switch {
	case s == nil:
		s = &member{key: key, upstream: u, hash: xxhash.Sum64String(u.ID)}
		p.members[u.ID] = s
	case s.upstream.Service != u.Service:
		p.enlist(s, false)
	}
	s.upstream, s.near = u, u.AvailabilityZone == p.opts.AvailabilityZone
	p.enlist(s, view.Takes(u))
	if s.target != nil {
		p.configure(s.target)
	}
	for model, version := range u.Weights {
		p.newest[model] = max(p.newest[model], version)
	}
	return lost
}

// drop forgets an upstream. What it still runs goes on.
func (p *Placer) drop(id string) {
	s := p.members[id]
	if s == nil {
		return
	}
	p.enlist(s, false)
	delete(p.members, id)
	t := s.target
	if t == nil {
		return
	}
	p.keepers.forget(t)
	delete(p.targets, s.key)
	delete(p.changed, t)
	delete(p.working, t)
}

func (p *Placer) newTarget(s *member) *target {
	t := &target{member: s, eased: p.heard, tickets: make(map[*Ticket]struct{}), hold: firstHold, phase: p.phases[s.upstream.ID]}
	t.kept = keptSet{engine: t, keepers: p.keepers}
	p.configure(t)
	return t
}

// configure takes over what the configuration says of an upstream.
func (p *Placer) configure(t *target) {
	if p.view.Table == nil {
		return
	}
	s, ok := p.view.Table.Service(t.upstream.Service)
	if !ok {
		return
	}
	t.engine = s.Engine
	if t.bears != s.ColdPerSecond {
		t.bears, t.shareRound = s.ColdPerSecond, 0
	}
	t.coldFor = s.ColdFor
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
	p.direct = direct
	if p.cell == own && p.cells == cells {
		return
	}
	p.cell, p.cells = own, cells
	p.divide()
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
	for id := range p.phases {
		p.setPhase(id, "")
	}
	for id, phase := range phases {
		p.setPhase(id, phase)
	}
	p.phases = phases
	p.eased()
}

func (p *Placer) setPhase(id string, phase renewer.Phase) {
	if s := p.members[id]; s != nil && s.target != nil {
		s.target.phase = phase
	}
}
