// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package conductor

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthgate.example/amaranthgate/activator"
	"amaranthgate.example/amaranthgate/follower"
	"amaranthgate.example/amaranthgate/forwarder"
	"amaranthgate.example/amaranthgate/loader"
	"amaranthgate.example/amaranthgate/logger"
	"amaranthgate.example/amaranthgate/prober"
	"amaranthgate.example/amaranthgate/quarantiner"
	"amaranthgate.example/amaranthgate/tracker"
)

const (
	// reachInterval is the interval between two steps of the prober.
	reachInterval = 50 * time.Millisecond
	// minNearUpstreams is the least number of upstreams of this host's region that are enough to decide.
	minNearUpstreams = 3
	// returnTime is the time in which hosts return after all were cut off.
	returnTime = time.Second
	// maxDoubt limits the wait for the end of a doubt.
	maxDoubt = 600 * time.Millisecond
)

// Reach knows whether this host reaches upstreams, and which other hosts do. It is safe for concurrent use.
type Reach struct {
	host       *Host
	probes     func(ctx context.Context, address string) error
	reachSince atomic.Int64  // reachSince is since when any host reaches upstreams, in ns after Host.started; -1 if none does.
	cutOff     atomic.Bool   // cutOff reports that this host is cut off and others are not.
	kick       chan struct{} // kick signals that a step is due at once.

	mu      sync.Mutex
	prober  *prober.Prober // prober is nil if the mechanism is disabled.
	decided chan struct{}  // decided is closed when the doubt ends; nil without a doubt.
	stated  bool           // stated is the state last sent to other hosts.
	applied bool           // applied is the value of cutOff last passed on to the request path.
	cuts    uint64
	reached time.Time // reached is the time of the last return.
	cutAt   time.Time // cutAt is the time of the last decision that this host is cut off.
}

func newReach(h *Host, seed uint64) *Reach {
	r := &Reach{host: h, probes: h.opts.Pool.Connect, kick: make(chan struct{}, 1)}
	if h.opts.Settings.Platform.Enabled(loader.MechanismPassOn) {
		r.prober = prober.New(prober.Options{Seed: seed})
		h.opts.Pool.Observe(r.observe)
	}
	return r
}

// CutOff reports whether this host reaches no upstream while other hosts do.
func (r *Reach) CutOff() bool { return r.cutOff.Load() }

// Host returns a host that reaches upstreams and is not excluded, with the address for other hosts; preferably one of
// this availability zone, or else of its region. It returns false if there is none.
func (r *Reach) Host(exclude []string) (name, address, zone string, ok bool) {
	h := r.host
	c := reachable{
		self: h.opts.Settings.Host, zone: h.opts.Settings.AvailabilityZone, regions: h.opts.Settings.Platform.Regions,
		hosts: *h.hosts.Load(), uncontacted: *h.uncontacted.Load(), serving: *h.serving.Load(),
	}
	record, ok := c.pick(exclude, rand.IntN)
	return record.Host, record.Peers, record.AvailabilityZone, ok
}

// reachable selects hosts that reach upstreams.
type reachable struct {
	self        string
	zone        string
	regions     map[string]string
	hosts       []tracker.HostRecord
	uncontacted map[string]bool
	serving     activator.Selection
	spread      bool // spread reports that availability zones of the region make no difference.
}

// admits reports whether requests can be passed on to a host.
func (c *reachable) admits(r *tracker.HostRecord) bool {
	return r.Host != c.self && r.State == tracker.HostLive && r.Ready && !r.CutOff && r.Peers != "" &&
		!c.uncontacted[r.Host] && (c.serving.All || c.serving.Active[r.Host])
}

// mostCutOff reports whether most live hosts of this availability zone are cut off.
func (c *reachable) mostCutOff() bool {
	balance := 0
	for i := range c.hosts {
		switch r := &c.hosts[i]; {
		case r.AvailabilityZone != c.zone || r.State != tracker.HostLive:
		case r.CutOff:
			balance++
		default:
			balance--
		}
	}
	return balance > 0
}

// any reports whether requests can be passed on to any host.
func (c *reachable) any() bool {
	for i := range c.hosts {
		if c.admits(&c.hosts[i]) {
			return true
		}
	}
	return false
}

// pick returns one of the nearest hosts. Where fewer hosts of this availability zone reach upstreams than not, the
// others of the region are as near. draw returns a random number below n.
func (c *reachable) pick(exclude []string, draw func(n int) int) (tracker.HostRecord, bool) {
	c.spread = c.mostCutOff()
	nearest, count := 0, 0
	for i := range c.hosts {
		r := &c.hosts[i]
		if !c.admits(r) || slices.Contains(exclude, r.Host) {
			continue
		}
		d := c.distance(r)
		if count == 0 || d < nearest {
			nearest, count = d, 0
		}
		if d == nearest {
			count++
		}
	}
	if count == 0 {
		return tracker.HostRecord{}, false
	}
	n := draw(count)
	for i := range c.hosts {
		r := &c.hosts[i]
		if !c.admits(r) || slices.Contains(exclude, r.Host) || c.distance(r) != nearest {
			continue
		}
		if n == 0 {
			return *r, true
		}
		n--
	}
	panic("conductor: the hosts have changed")
}

// distance orders hosts by nearness.
func (c *reachable) distance(r *tracker.HostRecord) int {
	switch {
	case r.AvailabilityZone == c.zone && !c.spread:
		return 0
	case c.regions[r.AvailabilityZone] == c.regions[c.zone]:
		return 1
	}
	return 2
}

// observe records the outcome of a connection of a request.
func (r *Reach) observe(c forwarder.Connection) {
	r.record(prober.Outcome{Address: c.Address, Started: c.Started, Cause: connectionCause(c.Err)}, (*prober.Prober).Record)
}

func (r *Reach) record(o prober.Outcome, record func(p *prober.Prober, now time.Time, o prober.Outcome)) {
	r.mu.Lock()
	before := r.prober.State()
	record(r.prober, r.host.opts.Timer.Now(), o)
	r.noteDoubt()
	// Steps follow an outcome at once only where they may decide or probe.
	due := before != prober.Reaching || r.prober.State() != prober.Reaching
	r.mu.Unlock()
	if due {
		r.wake()
	}
}

// wake makes the next step due at once.
func (r *Reach) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// noteDoubt updates decided; r.mu is held.
func (r *Reach) noteDoubt() {
	doubting := r.prober.State() == prober.Doubting
	switch {
	case doubting && r.decided == nil:
		r.decided = make(chan struct{})
	case !doubting && r.decided != nil:
		close(r.decided)
		r.decided = nil
	}
}

// connectionCause returns the cause of a failed connection.
func connectionCause(err error) prober.Cause {
	switch {
	case err == nil:
		return prober.CauseNone
	case errors.Is(err, forwarder.ErrBusy):
		return prober.CauseSkipped
	case errors.Is(err, syscall.ECONNREFUSED):
		return prober.CauseRefused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT):
		return prober.CauseTimeout
	case errors.Is(err, syscall.ECONNRESET):
		return prober.CauseReset
	}
	return prober.CauseOther
}

// run steps the prober until the host ends.
func (r *Reach) run() {
	if r.prober == nil {
		return
	}
	tick := time.NewTicker(reachInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-r.kick:
		case <-r.host.ctx.Done():
			return
		}
		r.step()
	}
}

// step steps the prober, starts its probes and applies its decision.
func (r *Reach) step() {
	h := r.host
	now := h.opts.Timer.Now()
	in := prober.Input{Quiet: h.placer.Quiet(now), Upstreams: r.upstreams, OthersReach: r.othersReach()}
	r.mu.Lock()
	s := r.prober.Step(now, in)
	r.noteDoubt()
	state, cutOff, e := r.prober.State(), r.prober.CutOff(), r.prober.Evidence()
	if s.Changed && state == prober.CutOff {
		r.cuts++
		r.cutAt = now
	} else if s.Changed {
		r.reached = now
	}
	r.mu.Unlock()
	for _, u := range s.Probes {
		h.spawn(func() { r.probe(u) })
	}
	switch anyReaches := state != prober.CutOff || in.OthersReach; {
	case !anyReaches:
		r.reachSince.Store(-1)
	case r.reachSince.Load() < 0:
		r.reachSince.Store(int64(now.Sub(h.started)))
	}
	r.apply(now, state, cutOff, e)
}

// returning reports whether all hosts were cut off a moment ago. The first to return does not serve for all.
func (r *Reach) returning(now time.Time) bool {
	since := r.reachSince.Load()
	return since < 0 || since > 0 && now.Sub(r.host.started.Add(time.Duration(since))) < returnTime
}

func (r *Reach) probe(u prober.Upstream) {
	start := r.host.opts.Timer.Now()
	err := r.probes(r.host.ctx, u.Address)
	o := prober.Outcome{Address: u.Address, Started: start, Cause: connectionCause(err)}
	if r.host.ctx.Err() != nil {
		o.Cause = prober.CauseSkipped
	}
	r.record(o, (*prober.Prober).ProbeEnded)
}

// apply passes a state on to other hosts and to the request path. It is called by run only.
func (r *Reach) apply(now time.Time, state prober.State, cutOff bool, e prober.Evidence) {
	h := r.host
	if cut := state == prober.CutOff; cut != r.stated {
		r.stated = cut
		r.log(now, cut, e)
		h.post(ReachChanged{CutOff: cut})
	}
	if cutOff == r.applied {
		return
	}
	r.applied = cutOff
	r.cutOff.Store(cutOff)
	h.placer.SetCutOff(now, cutOff, e.Since)
	h.requestReport()
	h.signalCapacity()
}

func (r *Reach) log(now time.Time, cut bool, e prober.Evidence) {
	ev, kind := r.host.log.Warn(), logger.UpstreamsCutOff
	if !cut {
		ev, kind = r.host.log.Info(), logger.UpstreamsReached
	}
	ev = ev.Int("Failed", e.Failed).Int("Tried", e.Tried).Dur("Since", now.Sub(e.Since))
	if !cut {
		ev = ev.Int("Reached", e.Reached)
	} else if !e.LastReached.IsZero() {
		ev = ev.Dur("LastReached", now.Sub(e.LastReached))
	}
	for _, c := range slices.Sorted(maps.Keys(e.Causes)) {
		ev = ev.Int(string(c), e.Causes[c])
	}
	ev.Msg(kind)
}

// othersReach reports whether another host says that it reaches upstreams.
func (r *Reach) othersReach() bool {
	h := r.host
	c := reachable{self: h.opts.Settings.Host, hosts: *h.hosts.Load(), uncontacted: *h.uncontacted.Load(), serving: *h.serving.Load()}
	return c.any()
}

// upstreams returns the upstreams that should accept connections: those of this host's region that take work, or of all
// regions if it has none.
func (r *Reach) upstreams() []prober.Upstream {
	s, view := r.host.opts.Settings, r.host.view.Load()
	var near, all []prober.Upstream
	for u := range view.Upstreams.All() {
		if u.Standing != follower.StandingReady || view.Evacuated[u.AvailabilityZone] {
			continue
		}
		p := prober.Upstream{Address: u.Address, Service: u.Service, AvailabilityZone: u.AvailabilityZone}
		all = append(all, p)
		if s.Platform.Regions[u.AvailabilityZone] == s.Platform.Regions[s.AvailabilityZone] {
			near = append(near, p)
		}
	}
	if len(near) >= minNearUpstreams {
		return near
	}
	return all
}

// sound reports whether failed connections of this host say something of their upstreams. It waits for the end of a
// doubt.
func (r *Reach) sound() bool {
	if r.prober == nil {
		return true
	}
	r.mu.Lock()
	decided := r.decided
	r.mu.Unlock()
	if decided != nil && r.othersReach() {
		timeout := time.NewTimer(maxDoubt)
		defer timeout.Stop()
		select {
		case <-decided:
		case <-timeout.C:
		case <-r.host.ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.prober.State() != prober.CutOff || !r.othersReach()
}

// soundQuarantine ignores the ends of upstreams that this host takes for ended because it is cut off from them.
type soundQuarantine struct {
	*quarantiner.Ledger
	reach *Reach
}

// InstanceEnded records that an upstream instance refused a connection. During a doubt it does so after its end.
func (q soundQuarantine) InstanceEnded(now time.Time, instance string) {
	if !q.reach.doubts() {
		if q.reach.sound() {
			q.Ledger.InstanceEnded(now, instance)
		}
		return
	}
	q.reach.host.spawn(func() {
		if q.reach.sound() {
			q.Ledger.InstanceEnded(now, instance)
		}
	})
}

// doubts reports whether there is a doubt.
func (r *Reach) doubts() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decided != nil
}

// ReachDump is what a host knows of its connections to upstreams.
type ReachDump struct {
	State       prober.State
	CutOff      bool          // CutOff reports that requests are passed on to other hosts.
	Cuts        uint64        // Cuts counts the cuts since the start.
	Since       time.Duration // Since is the time since the last change of State to or from CutOff; 0 if there was none.
	Failed      []string      // Failed are the upstreams whose last connection failed, as far as they are evidence.
	Tried       int
	Reached     int
	LastReached time.Duration // LastReached is the time since a connection was last established; negative if none was.
}

// dump returns the state; nil if the mechanism is disabled.
func (r *Reach) dump(now time.Time) *ReachDump {
	if r.prober == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.prober.Evidence()
	d := &ReachDump{State: r.prober.State(), CutOff: r.CutOff(), Cuts: r.cuts, Failed: r.prober.Failed(), Tried: e.Tried, Reached: e.Reached, LastReached: -1}
	if changed := later(r.cutAt, r.reached); !changed.IsZero() {
		d.Since = now.Sub(changed)
	}
	if !e.LastReached.IsZero() {
		d.LastReached = now.Sub(e.LastReached)
	}
	return d
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countCuts returns how often this host was cut off.
func (r *Reach) countCuts() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cuts
}
