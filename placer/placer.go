// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package placer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/renewer"
)

// Options set up a Placer.
type Options struct {
	AvailabilityZone string // AvailabilityZone is this host's.
	// WeightsWithin is the time in which the operators want no request to begin on
	// replaced weights any more; 10 s if it is not set.
	WeightsWithin time.Duration
	Seed          uint64 // Seed begins the draws among many upstreams; hosts must differ in it.
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
	targets   map[string]*target   // targets are all known upstreams by ID.
	pools     map[string][]*target // pools has those of each service that take new work.
	near      map[string][]*target // near has those of pools that belong to this host's cell.
	cell      int                  // cell is this host's among the cells of its zone.
	cells     int
	peers     map[string]peerWork
	stores    map[string]*store // stores of kept context by address.
	clock     clock             // clock is the newest reading of the upstreams' clock.
	current   time.Time         // current is when the operators' feed was known to be current.
	transfers []Transfer        // transfers wait to be told to other hosts.
	placed    []Placement       // placed waits to be told to other hosts.
	named     map[string]follower.Named
	watched   time.Time // watched is when Watch last looked.
}

// peerWork is what another host said last.
type peerWork struct {
	at     time.Time
	work   map[string]Work
	stores map[string]Work
}

// New returns a placer that knows no upstream.
func New(opts Options) *Placer {
	return &Placer{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, 1)),
		targets: make(map[string]*target),
		pools:   make(map[string][]*target),
		peers:   make(map[string]peerWork),
		stores:  make(map[string]*store),
	}
}

// Update takes over the upstreams of a view. What is known of those that stay
// is kept.
func (p *Placer) Update(view *follower.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.targets
	p.targets = make(map[string]*target, len(view.Upstreams))
	p.pools = make(map[string][]*target)
	p.named = view.Named
	for _, u := range view.Upstreams {
		t := before[u.ID]
		if t == nil {
			t = &target{tickets: make(map[*Ticket]struct{}), hash: xxhash.Sum64String(u.ID), hold: firstHold, near: u.AvailabilityZone == p.opts.AvailabilityZone}
		}
		t.upstream = u
		if view.Table != nil {
			if s, ok := view.Table.Service(u.Service); ok {
				t.engine = s.Engine
			}
		}
		p.targets[u.ID] = t
		if u.Standing == follower.StandingReady {
			p.pools[u.Service] = append(p.pools[u.Service], t)
		}
	}
	p.divide()
	p.sumPeers()
	p.updateStores(view)
	p.eased()
}

// SetCell tells which of the cells of its zone this host is in. Engines of the zone
// are divided among the cells, so that those who use one tell each other at once.
func (p *Placer) SetCell(own, cells int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cell, p.cells = own, cells
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

// Busy returns the number of requests under way at an upstream.
func (p *Placer) Busy(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		return t.own.Requests + t.peers.Requests
	}
	return 0
}

// Renewing names the engines that load weights now or will soon.
func (p *Placer) Renewing(phases map[string]renewer.Phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, t := range p.targets {
		t.phase = phases[id]
	}
	p.eased()
}

// Result says how a request ended at an upstream.
type Result string

const (
	ResultServed    Result = "Served"
	ResultFailed    Result = "Failed"    // ResultFailed is an answer or a break that counts against the upstream.
	ResultRefused   Result = "Refused"   // ResultRefused says that the upstream was full or not the one expected.
	ResultUnreached Result = "Unreached" // ResultUnreached says that no connection stood.
	ResultCaller    Result = "Caller"    // ResultCaller says that the caller left; it tells nothing of the upstream.
)

// Ask is what placement must know of a request.
type Ask struct {
	Service string
	Prompt  *Prompt // Prompt is nil for plain services.
	// SaltOf returns the text that sets apart context of a weight version.
	SaltOf  func(weights uint64) string
	Exclude []string
	// Objective is the time to the first byte in which an answer counts as on time; 0
	// if there is none.
	Objective time.Duration

	now    time.Time
	size   int       // size are the tokens that the request takes of an engine's memory.
	chains []chained // chains has the prompt's keys by weight version, as far as they were needed.
}

// chained is a prompt as it is known under one weight version.
type chained struct {
	weights uint64
	salt    string
	keys    []PartKey
	sources sources
	stored  []*store // stored has for each part the store that holds it, up to the first that none holds.
}

// Basis is what a choice was based on.
type Basis struct {
	Estimate time.Duration // Estimate is the time to the first token or to a slot, with penalties.
	Work     Work          // Work was under way at the upstream, of all hosts.
	Missing  int           // Missing are prompt tokens to be read there.
	Alone    int           // Alone are prompt tokens of the last part, which no other request begins with.
	Moved    int           // Moved are prompt tokens to be fetched.
	Behind   time.Duration // Behind is the estimated time to read what waits there before it.
	Reading  time.Duration // Reading is that of reading what is missing.
	Fetching time.Duration // Fetching is that of its transfers.
	Replaced bool          // Replaced tells that a newer weight version than the upstream's was named.
	Stored   int           // Stored is the number of leading parts that stores hold.
	Saved    int           // Saved is the number of parts that are to be saved to stores.
	Shared   PartKey       // Shared names the deepest part that other requests may have; 0 if there is none.
	PeersAge time.Duration // PeersAge is the age of the oldest word of another host that was counted.
}

// Choice is an upstream and what to tell it.
type Choice struct {
	Upstream follower.Upstream
	Weights  uint64   // Weights is the version that the upstream is believed to have.
	Fetch    []string // Fetch has for each part the address that keeps it, or "".
	Until    int64    // Until bounds the fetches from stores, in milliseconds of the upstreams' clock; 0 if there are none.
	Save     []string // Save has for each part the store to save it to, or "".
	Basis    Basis
	Ticket   *Ticket
}

// Verdict says what came of a choice.
type Verdict string

const (
	// Chosen says that the request is to be sent.
	Chosen Verdict = "Chosen"
	// Busy says that no upstream can begin the request now, but one will.
	Busy Verdict = "Busy"
	// None says that the service has no upstream for the request.
	None Verdict = "None"
)

// Choose picks an upstream that can begin the request and counts it as under way there.
func (p *Placer) Choose(now time.Time, ask *Ask) (Choice, Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ask.now, ask.chains = now, nil
	if ask.Prompt != nil {
		ask.size = ask.Prompt.Tokens() + ask.Prompt.Output
	}
	best, estimate, verdict := p.best(now, ask)
	if verdict != Chosen {
		return Choice{}, verdict
	}
	if best.pause > 0 {
		best.probing = true
	}
	c := Choice{Upstream: best.upstream, Basis: Basis{Estimate: estimate, Work: best.work(), PeersAge: p.peersAge(now)}}
	tk := &Ticket{placer: p, target: best, start: now, work: Work{Requests: 1}}
	if ask.Prompt != nil {
		c.Weights = best.upstream.Weights[ask.Prompt.Model]
		p.plan(now, ask, best, &c, tk)
	}
	tk.expected = c.Basis.Behind + c.Basis.Reading + c.Basis.Fetching
	best.own.add(tk.work)
	best.tickets[tk] = struct{}{}
	if tk.work.Pending+tk.moved.Pending >= urgentTokens && p.opts.Urgent != nil {
		p.opts.Urgent()
	}
	c.Ticket = tk
	return c, Chosen
}

// best returns the target with the least cost among those that can begin the request;
// suspects only if nothing else is left. It begins anywhere among the candidates: hosts
// that know nothing yet see all of them alike, and must not all take the first.
func (p *Placer) best(now time.Time, ask *Ask) (*target, time.Duration, Verdict) {
	pool := p.pools[ask.Service]
	if !p.anyBegins(pool, ask) {
		return nil, 0, Busy
	}
	var best, spare, last *target
	var least time.Duration
	busy := false
	all := p.candidates(ask)
	for i, from := 0, p.anywhere(len(all)); i < len(all); i++ {
		t := all[(from+i)%len(all)]
		if slices.Contains(ask.Exclude, t.upstream.ID) {
			continue
		}
		if t.suspect(now) {
			if spare == nil || t.suspectUntil.Before(spare.suspectUntil) {
				spare = t
			}
			continue
		}
		if t.phase == renewer.PhaseLoading || p.expired(now, t, ask) {
			last = t
			continue
		}
		if !t.begins(ask) {
			busy = true
			continue
		}
		cost := p.cost(now, t, ask)
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	switch {
	case best != nil:
		return best, least, Chosen
	case busy:
		return nil, 0, Busy
	case last != nil && last.begins(ask):
		return last, 0, Chosen
	case last != nil:
		return nil, 0, Busy
	case spare != nil:
		return spare, 0, Chosen
	}
	return nil, 0, None
}

func (p *Placer) anywhere(n int) int {
	if n == 0 {
		return 0
	}
	return p.rng.IntN(n)
}

// Ticket is one request under way at an upstream.
type Ticket struct {
	placer *Placer
	target *target
	start  time.Time
	work   Work // work is what still counts.
	keys   []PartKey
	parts  []Part
	store  *store // store is where the request fetches from, or nil.
	moved  Work   // moved is what it fetches there.
	// expected is the time to the first byte that was expected.
	expected time.Duration
	onSilent func()
	queued   int  // queued are the tokens that go out there up to its own.
	missing  int  // missing are the tokens that it had to read.
	quiet    bool // quiet tells that its engine had nothing else to read.
	first    bool
	done     bool
}

// First tells that the upstream has read the prompt.
func (tk *Ticket) First(now time.Time) {
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	if tk.first || tk.done {
		return
	}
	tk.first = true
	tk.target.sign = now
	if tk.work.Pending >= urgentTokens && tk.placer.opts.Urgent != nil {
		tk.placer.opts.Urgent()
	}
	tk.target.own.Pending -= tk.work.Pending
	tk.work.Pending = 0
	tk.placer.timed(now, tk)
	tk.arrived()
	tk.placer.note(now, tk.target, tk.keys, tk.parts)
	tk.placer.eased()
}

// eased tells that an upstream has more room.
func (p *Placer) eased() {
	if p.opts.Eased != nil {
		p.opts.Eased()
	}
}

// arrived takes the request's transfer off its store.
func (tk *Ticket) arrived() {
	if tk.store != nil {
		tk.store.own.sub(tk.moved)
		tk.store = nil
	}
}

// Done tells the end. Later calls do nothing.
func (tk *Ticket) Done(now time.Time, result Result) {
	tk.placer.mu.Lock()
	defer tk.placer.mu.Unlock()
	if tk.done {
		return
	}
	tk.done = true
	tk.arrived()
	t := tk.target
	delete(t.tickets, tk)
	if result == ResultServed || result == ResultRefused {
		t.sign = now
	}
	t.own.sub(tk.work)
	switch result {
	case ResultServed:
		t.succeeded(now.Sub(tk.start))
	case ResultFailed, ResultRefused:
		t.failed() // also a full one is the worse choice for a while
	case ResultUnreached:
		t.unreached(now)
	default:
		t.probing = false
	}
	tk.placer.eased()
}
