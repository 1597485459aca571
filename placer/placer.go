// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/arbiter"
	"amaranthgate.example/amaranthgate/assessor"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/updater"
)

// Options configure a Placer.
type Options struct {
	Host  string // Host is this host's name.
	Epoch uint64 // Epoch identifies this start of the host.
	// Waiting returns how many requests wait here for an upstream; nil counts as none.
	Waiting          func() int
	AvailabilityZone string // AvailabilityZone is this host's zone.
	// Regions maps availability zones to regions; it may be empty where there is one region.
	Regions map[string]string
	// WeightsWithin is the time after which no request may begin on replaced weights; 10 s if it
	// is not set.
	WeightsWithin time.Duration
	Cold          ColdLimit // Cold limits what all hosts together send to a cold upstream.
	// RateLimits are the rate limits that upstreams declare; nil if there are none.
	RateLimits RateLimits
	// HoldFull keeps requests back from upstreams that have refused some as full.
	HoldFull bool
	// FetchPricing lets pricer decide for each part whether an engine fetches or prefills it.
	FetchPricing bool
	Seed         uint64 // Seed is the seed of random sampling; it must differ between hosts.
	// Order is the order of waiting requests over all hosts; nil if hosts take turns by rendezvous hash.
	Order Order
	// Began is called, if set, when a request is sent to an upstream, with its work: tokens, or 1 for
	// plain services. It must not block or call the Placer.
	Began func(now time.Time, turn arbiter.Request, work float64)
	// OnRoom is called, if set, when an upstream may have more room than before. It must not block.
	OnRoom func()
	// OnLending is called, if set, when StepLending is due. It must not block or call the Placer.
	OnLending func()
	// OnInvalidLinks is called, if set, with the number of impossible figures of links that a report of
	// another host had. It must not block.
	OnInvalidLinks func(host string, figures int)
	// OnUrgent is called, if set, when other hosts should get a report of a long prompt or of an upstream's
	// slowdown at once. It must not block.
	OnUrgent func()
	// StatedLoad makes choices use the load that upstreams state of themselves.
	StatedLoad bool
	// OnFirst is called, if set, with the time to the first token from the sending of a request to an
	// engine, and its estimate, which has no penalties. It must not block.
	OnFirst func(took, estimate time.Duration)
}

// RateLimits bounds the requests that this host sends to upstreams, by instance. It must be safe for
// concurrent use.
type RateLimits interface {
	// Active reports whether any limit is in force.
	Active() bool
	// PerSecond returns the limit over all hosts; 0 if there is none.
	PerSecond(instance string) float64
	// Allows reports whether a request may be sent now. Take takes the allowance for one and reports
	// whether there was one.
	Allows(now time.Time, instance string) bool
	Take(now time.Time, instance string) bool
	// Want records that a request waits for an allowance.
	Want(now time.Time, instance string)
}

// urgentTokens is the prefill from which a request is reported to other hosts at once, so that they
// send short requests elsewhere.
const urgentTokens = 1024

// Placer chooses upstreams. It is safe for concurrent use.
type Placer struct {
	opts     Options
	limits   RateLimits
	assessor *assessor.Assessor // assessor is nil if stated loads are not used.

	mu            sync.Mutex
	rng           *rand.Rand
	members       map[string]*member // members are all known upstreams, by ID.
	targets       map[string]*target // targets are the members with load state, by instance.
	pools         map[string]*pool   // pools has the upstreams of each service that take new work.
	cell          int                // cell is the index of this host's cell among the cells of its zone.
	cells         int
	directReports bool       // directReports reports that all other hosts report to this one directly.
	candidateBuf  []*target  // candidateBuf is reused for the candidates of each choice.
	memberBuf     []*member  // memberBuf is reused for the candidates of requests that need a software version.
	cacheIndex    cacheIndex // cacheIndex has the engines that cache each part.
	view          *follower.View
	phases        map[string]updater.Phase
	unlisted      map[*target]struct{} // unlisted are upstreams that are no longer listed and have requests of this host.
	activeTargets map[*target]struct{} // activeTargets are those with requests of this host, now or lately.
	peers         map[string]*peerWork
	marks         map[string]*mark     // marks are by instance.
	changed       map[*target]struct{} // changed are those whose own work has changed since the last report.
	usedLinks     []*target            // usedLinks are those with transfers of this host, now or lately.
	transferring  []*Ticket            // transferring are tickets whose transfers are in flight.
	stores        map[string]*store    // stores are KV cache stores, by address.
	clock         clock                // clock estimates the upstreams' clock.
	// feedCurrentAt is when the operators' feed was last known to be current.
	feedCurrentAt    time.Time
	saltsChangedAt   time.Time            // saltsChangedAt is the time of the last SaltsChanged.
	prefills         map[PartKey]*prefill // prefills are running prefills of long parts.
	prefillStarts    []PrefillStart       // prefillStarts are queued for the next report.
	samples          []PaceSample         // samples are queued for the next report.
	transfers        []Transfer           // transfers are queued for the next report.
	fullChanges      []FullChange         // fullChanges are not logged yet.
	suspicionChanges []SuspicionChange    // suspicionChanges are not logged yet.
	suspicions       uint64               // suspicions counts how often an upstream became suspect.
	placements       []Placement          // placements are queued for the next report.
	named            map[string]follower.VersionHistory
	newest           map[string]uint64    // newest is the newest weight version that any engine has of a model.
	zoneReturns      map[string]time.Time // zoneReturns is when evacuated availability zones took traffic again.
	coldHosts        coldHosts
	hostHash         uint64         // hostHash is the hash of this host's name.
	contenders       []contender    // contenders are the other hosts at which requests wait, as they report.
	turns            contenderTurns // turns is the state of Options.Order for the current choice.
	interval         uint64         // interval counts the intervals in which effects of statements are computed.
	intervalAt       time.Time      // intervalAt is when the interval began.
	reportedAt       time.Time      // reportedAt is since when all other hosts had reported in the interval, if reportedKnown is set.
	reportedKnown    bool
	lastReportAt     time.Time // lastReportAt is when another host last reported.
	watchedAt        time.Time // watchedAt is when Watch last ran.
	stalledAt        time.Time // stalledAt is when Watch last found that this process had stalled.
	activeAt         time.Time // activeAt is when any upstream last showed activity.
	cut              cut
	software         map[software]softwareUse
	knownSince       time.Time // knownSince is since when all upstreams are known; zero if they are not.
	brittle          brittleState
}

// peerWork is the last state that another host reported.
type peerWork struct {
	at      time.Time
	waiting int
	work    map[string]Work
	stores  map[string]Work
	links   map[string]Work
}

// New returns a Placer that knows no upstream.
func New(opts Options) *Placer {
	limits := opts.RateLimits
	if limits == nil {
		limits = noRateLimits{}
	}
	p := &Placer{
		opts:          opts,
		limits:        limits,
		hostHash:      xxhash.Sum64String(opts.Host),
		rng:           rand.New(rand.NewPCG(opts.Seed, 1)),
		view:          &follower.View{},
		targets:       make(map[string]*target),
		members:       make(map[string]*member),
		pools:         make(map[string]*pool),
		newest:        make(map[string]uint64),
		activeTargets: make(map[*target]struct{}),
		unlisted:      make(map[*target]struct{}),
		marks:         make(map[string]*mark),
		peers:         make(map[string]*peerWork),
		changed:       make(map[*target]struct{}),
		stores:        make(map[string]*store),
		prefills:      make(map[PartKey]*prefill),
		cacheIndex:    make(cacheIndex),
		software:      make(map[software]softwareUse),
	}
	p.brittle.lender = p.newLender()
	if opts.StatedLoad {
		p.assessor = assessor.New(assessor.Options{Lists: func(instance string) bool { return p.memberOf(instance) != nil }})
	}
	return p
}

// Update applies a view. State of upstreams that remain is kept. Requests in flight at an instance
// that has been replaced since are abandoned.
func (p *Placer) Update(view *follower.View) {
	for _, callback := range p.update(view) {
		callback()
	}
}

// update applies the changes since the last view, so that the cost of a change does not grow with
// the number of upstreams. It returns the callbacks of abandoned requests.
func (p *Placer) update(view *follower.View) (callbacks []func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.view
	p.view = view
	p.named, p.zoneReturns = view.Versions, view.EvacuationsEnded
	put, gone := view.Upstreams.Since(before.Upstreams)
	for _, u := range put {
		callbacks = append(callbacks, p.put(u)...)
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
		for _, m := range p.members {
			p.setListed(m, p.takesWork(m))
		}
	}
	p.updateStores(view)
	p.notifyRoom()
	return callbacks
}

// put applies an upstream that is new or has changed, and returns the callbacks of requests in
// flight at an earlier instance.
func (p *Placer) put(u *follower.Upstream) (callbacks []func()) {
	instance := u.InstanceID()
	m := p.members[u.ID]
	if m != nil && m.instance != instance {
		if m.target != nil {
			m.target.replaced = true
			callbacks = m.target.takeCallbacks()
		}
		p.drop(u.ID)
		m = nil
	}
	switch {
	case m == nil:
		m = &member{instance: instance, upstream: u, hash: xxhash.Sum64String(u.ID), mark: p.marks[instance]}
		p.members[u.ID] = m
	default:
		if m.upstream.Service != u.Service {
			p.setListed(m, false)
		}
		p.removeSoftware(m)
	}
	m.upstream, m.sameZone = u, u.AvailabilityZone == p.opts.AvailabilityZone
	p.addSoftware(m)
	p.setListed(m, p.takesWork(m))
	if m.target != nil {
		p.configure(m.target)
	}
	for model, version := range u.Weights {
		p.newest[model] = max(p.newest[model], version)
	}
	return callbacks
}

// drop removes an upstream. Requests in flight there continue.
func (p *Placer) drop(id string) {
	m := p.members[id]
	if m == nil {
		return
	}
	p.setListed(m, false)
	p.removeSoftware(m)
	delete(p.members, id)
	t := m.target
	if t == nil {
		return
	}
	p.cacheIndex.removeAll(t)
	delete(p.targets, m.instance)
	delete(p.changed, t)
	delete(p.activeTargets, t)
	if len(t.tickets) > 0 {
		p.unlisted[t] = struct{}{}
	}
	p.usedLinks = slices.DeleteFunc(p.usedLinks, func(used *target) bool { return used == t })
}

func (p *Placer) newTarget(m *member) *target {
	t := &target{member: m, freedAt: p.lastReportAt, tickets: make(map[*Ticket]struct{}), serviceTime: initialServiceTime, statedPace: 1, phase: p.phases[m.upstream.ID]}
	t.cache = cacheEstimate{engine: t, index: p.cacheIndex}
	p.configure(t)
	return t
}

// configure applies the configuration of an upstream's service.
func (p *Placer) configure(t *target) {
	if p.view.Table == nil {
		return
	}
	s, ok := p.view.Table.Service(t.upstream.Service)
	if !ok {
		return
	}
	t.engine = s.Engine
	if t.coldLimit != s.ColdPerSecond {
		t.coldLimit, t.shareVersion = s.ColdPerSecond, 0
	}
	t.coldDuration = s.ColdFor
}

// usualWeights returns the weight version that most requests run on: the one named last, or the
// newest that any engine has while none was named.
func (p *Placer) usualWeights(model string) uint64 {
	if v := p.named[model].Version; v > 0 {
		return v
	}
	return p.newest[model]
}

// SetCell sets this host's cell and the number of cells in its zone. Engines of the zone are
// divided among the cells; the hosts of a cell report to each other at once. If direct is set, all
// other hosts report to this one at once.
func (p *Placer) SetCell(own, cells int, direct bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directReports = direct
	if p.cell == own && p.cells == cells {
		return
	}
	p.cell, p.cells = own, cells
	p.assignCells()
}

// InFlight returns the number of requests in flight at an upstream instance, of all hosts.
func (p *Placer) InFlight(instance string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[instance]; t != nil {
		return t.own.Requests + t.peers.Requests
	}
	return 0
}

// Lists reports whether the current view has an upstream instance.
func (p *Placer) Lists(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.memberOf(instance) != nil
}

// SetPhases sets the engines that load weights now or will soon.
func (p *Placer) SetPhases(phases map[string]updater.Phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.phases {
		p.setPhase(id, "")
	}
	for id, phase := range phases {
		p.setPhase(id, phase)
	}
	p.phases = phases
	p.notifyRoom()
}

func (p *Placer) setPhase(id string, phase updater.Phase) {
	if m := p.members[id]; m != nil && m.target != nil {
		m.target.phase = phase
	}
}
