// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package throttler

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// askInterval is the least time between two asks of a host for tokens of one limit.
	askInterval = 100 * time.Millisecond
	// askTTL is how long an owner hands out tokens for an ask.
	askTTL = 150 * time.Millisecond
	// turnTTL is how long an owner remembers when a host that asked had its turn.
	turnTTL = 30 * time.Second
	// permitTTL is the time from an ask after which tokens received for it expire.
	permitTTL = 300 * time.Millisecond
	// maxAsked bounds the tokens that one host asks for at once.
	maxAsked = 64
	// unlistedTTL is how long a statement about an upstream that is not listed is kept. The statement
	// may arrive before the upstream's entry, or a last one after its removal.
	unlistedTTL = 30 * time.Second
	// withdrawnTTL is how long hosts tell others that a limit was withdrawn.
	withdrawnTTL = time.Minute
	// maxLimits bounds the number of upstreams whose limits are kept.
	maxLimits = 16384
)

// Options configure a Throttler.
type Options struct {
	Host string // Host is this host's name.
	// Waiting returns the number of requests that wait at this host; nil counts as none.
	Waiting func() int
	// Changed is called, if set, after a limit began, changed or ended. It must not block.
	Changed func(c Change)
	// Granted is called, if set, when tokens of other hosts have arrived. It must not block.
	Granted func()
}

// Source says how a host learned of a limit.
type Source string

const (
	SourceAnswer Source = "Answer" // SourceAnswer is an answer of the upstream.
	SourceHost   Source = "Host"   // SourceHost is another host.
	SourceGone   Source = "Gone"   // SourceGone means that the upstream has ended or restarted.
)

// Change is the change of one upstream's limit.
type Change struct {
	Instance string
	Before   float64 // Before and After are in requests a second; 0 means that there is no limit.
	After    float64
	Source   Source
	Lasted   time.Duration // Lasted is how long Before was known.
}

// Throttler holds the limits that one host knows. It is safe for concurrent use.
type Throttler struct {
	opts   Options
	active atomic.Bool // active reports whether any limit is in force, readable without the lock.

	mu      sync.Mutex
	started time.Time // started is the time that Ask.Sent counts from.
	limits  map[string]*state
	live    []string // live are the hosts among which owners are chosen.
	counted int
	version int // version is incremented when live or counted change.
	queued  map[string]bool
	stats   Stats
}

// Stats counts what a Throttler has done.
type Stats struct {
	Granted  uint64 // Granted counts tokens handed to other hosts.
	Received uint64 // Received counts tokens received from other hosts in time.
	Expired  uint64 // Expired counts received tokens that arrived too late.
	Taken    uint64 // Taken counts requests sent with a token.
}

// New returns a Throttler that knows no limit and no host.
func New(opts Options) *Throttler {
	return &Throttler{opts: opts, limits: make(map[string]*state), queued: make(map[string]bool)}
}

// Active reports whether any limit is in force.
func (t *Throttler) Active() bool { return t.active.Load() }

// SetHosts sets the hosts among which owners are chosen, and the number of hosts that may send, which
// includes hosts that were live until recently. A host that does not know any hosts owns no limit.
func (t *Throttler) SetHosts(now time.Time, live []string, counted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counted == counted && slices.Equal(t.live, live) {
		return
	}
	t.live, t.counted = slices.Clone(live), counted
	t.version++
	for _, s := range t.limits {
		t.refresh(now, s)
	}
}

// refresh brings a limit's owners and tokens up to date; t.mu is held.
func (t *Throttler) refresh(now time.Time, s *state) {
	s.fill(now)
	s.divide(now, t.opts.Host, t.live, t.counted, t.version)
	s.expire(now)
}

// Declare applies what an answer of an upstream said of its limit; perSecond is 0 if the answer
// named none. sent is when the request was sent: an answer to a request that was sent before the
// current statement was known may be older than that and can only make the limit stricter. It returns
// whether the limit has changed.
func (t *Throttler) Declare(now, sent time.Time, instance string, perSecond float64) bool {
	if perSecond == 0 && !t.Active() {
		return false
	}
	t.mu.Lock()
	s := t.limits[instance]
	next := Limit{Instance: instance, PerSecond: perSecond}
	var known Limit
	if s != nil {
		known = s.Limit
		next.Sequence = s.Sequence
	}
	later := s == nil || sent.After(s.since)
	if next.PerSecond == known.PerSecond || !later && !next.stricter(known) {
		t.mu.Unlock()
		return false
	}
	next.Sequence++
	c := t.set(now, next, SourceAnswer)
	t.queued[instance] = true
	t.mu.Unlock()
	t.notify(c)
	return true
}

// Merge applies statements of another host and returns those that were new to this one.
func (t *Throttler) Merge(now time.Time, statements []Limit) []Limit {
	var adopted []Limit
	var changes []Change
	t.mu.Lock()
	for _, l := range statements {
		s := t.limits[l.Instance]
		if l.PerSecond < 0 || s == nil && (l.PerSecond == 0 || len(t.limits) >= maxLimits) || s != nil && !l.replaces(s.Limit) {
			continue
		}
		adopted = append(adopted, l)
		changes = append(changes, t.set(now, l, SourceHost))
	}
	t.mu.Unlock()
	for _, c := range changes {
		t.notify(c)
	}
	return adopted
}

// set replaces the statement about an instance; t.mu is held.
func (t *Throttler) set(now time.Time, l Limit, from Source) Change {
	s := t.limits[l.Instance]
	if s == nil {
		s = &state{askers: make(map[string]*asker)}
		s.since = now
		t.limits[l.Instance] = s
	}
	c := Change{Instance: l.Instance, Before: s.PerSecond, After: l.PerSecond, Source: from, Lasted: now.Sub(s.since)}
	s.fill(now)
	s.Limit, s.since = l, now
	s.hostsVersion = -1
	if !s.limited() {
		s.owner, s.tokens, s.permits = false, 0, nil
		clear(s.askers)
	}
	t.refresh(now, s)
	t.updateActive()
	return c
}

func (t *Throttler) updateActive() {
	active := false
	for _, s := range t.limits {
		active = active || s.limited()
	}
	t.active.Store(active)
}

func (t *Throttler) notify(c Change) {
	if c.Before != c.After && t.opts.Changed != nil {
		t.opts.Changed(c)
	}
}

// Retain ends the limits of upstream instances for which listed returns false for longer than
// unlistedTTL.
func (t *Throttler) Retain(now time.Time, listed func(instance string) bool) {
	var unlisted []string
	for _, instance := range t.instances() {
		if !listed(instance) { // without t.mu, since listed may take locks of its own
			unlisted = append(unlisted, instance)
		}
	}
	for _, c := range t.dropUnlisted(now, unlisted) {
		t.notify(c)
	}
}

// instances returns the upstream instances that any statement is about.
func (t *Throttler) instances() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.limits))
}

// dropUnlisted drops the statements about upstreams that have not been listed for unlistedTTL.
func (t *Throttler) dropUnlisted(now time.Time, unlisted []string) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for instance, s := range t.limits {
		switch {
		case !slices.Contains(unlisted, instance):
			s.unlisted = time.Time{}
		case s.unlisted.IsZero():
			s.unlisted = now
		case now.Sub(s.unlisted) > unlistedTTL:
			changes = append(changes, Change{Instance: instance, Before: s.PerSecond, Source: SourceGone, Lasted: now.Sub(s.since)})
			delete(t.limits, instance)
		}
	}
	if len(changes) > 0 {
		t.updateActive()
	}
	return changes
}

// Limits returns all statements for hosts that may not know them, also those of limits that were
// withdrawn lately.
func (t *Throttler) Limits(now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Limit
	for _, s := range t.limits {
		if s.limited() || now.Sub(s.since) <= withdrawnTTL {
			out = append(out, s.Limit)
		}
	}
	slices.SortFunc(out, func(a, b Limit) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// PerSecond returns the limit of an upstream; 0 if there is none.
func (t *Throttler) PerSecond(instance string) float64 {
	if !t.Active() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limits[instance]; s != nil {
		return s.PerSecond
	}
	return 0
}

// Allows reports whether a request may be sent to an upstream now. It is always true if the upstream
// has no limit.
func (t *Throttler) Allows(now time.Time, instance string) bool {
	if !t.Active() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limits[instance]
	if s == nil || !s.limited() {
		return true
	}
	t.refresh(now, s)
	return len(s.permits) > 0 || s.mayTake(now)
}

// mayTake reports whether this host may take one of its own tokens: it yields to hosts that ask,
// except in its turn.
func (s *state) mayTake(now time.Time) bool {
	return s.hasToken() && (s.ownTurn || s.nextAsker(now) == "")
}

// Take takes a token for a request, and reports whether there was one. It is always true if the
// upstream has no limit.
func (t *Throttler) Take(now time.Time, instance string) bool {
	if !t.Active() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limits[instance]
	if s == nil || !s.limited() {
		return true
	}
	t.refresh(now, s)
	switch {
	case len(s.permits) > 0:
		s.permits = s.permits[1:]
	case s.mayTake(now):
		s.tokens--
		s.ownTurn, s.servedAt = false, now
	default:
		return false
	}
	t.stats.Taken++
	return true
}

// Want records that a request waits for a token.
func (t *Throttler) Want(now time.Time, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limits[instance]; s != nil && s.limited() {
		s.wantedAt = now
	}
}

// Stats returns the current counts.
func (t *Throttler) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}
