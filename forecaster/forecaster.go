// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package forecaster

import (
	"math"
	"math/rand/v2"
	"time"

	"amaranthgate.example/amaranthgate/arbiter"
)

// Options configure a Forecaster.
type Options struct {
	Seed uint64 // Seed seeds the jitter of RetryAfter.
}

// Forecaster forecasts waits by class. It is not safe for concurrent use.
type Forecaster struct {
	classes map[arbiter.ClassKey]*class
	list    []*class // list has the classes in the order of their first request.
	rng     *rand.Rand
	lastKey arbiter.ClassKey // lastKey and last are of the last call, as all requests of a class are judged in turn.
	last    *class
}

// New returns a Forecaster that has measured nothing.
func New(opts Options) *Forecaster {
	return &Forecaster{
		classes: make(map[arbiter.ClassKey]*class),
		rng:     rand.New(rand.NewPCG(opts.Seed, 0x5eed)),
	}
}

// class is what is known of the requests of one class.
type class struct {
	key              arbiter.ClassKey
	entered, started uint64 // entered and started count this host's requests since the start.
	waiting          int    // waiting is the number of requests that wait at this host.
	peers            arbiter.Sums
	peersAt          time.Time // peersAt is when peers was set.
	peersKnown       bool      // peersKnown reports whether peers is a base for differences.
	window           window
	rates            rates     // rates were measured at ratesAt.
	ratesAt          time.Time // ratesAt is zero if the window has changed since.
	lastEvent        time.Time
	lead             lead
	nextSlot         time.Time // nextSlot is the retry time after the last one given.
	overload         overload
}

// class returns the state of a class. The number of classes is that of the ranks and routes configured.
func (f *Forecaster) class(key arbiter.ClassKey) *class {
	if f.last != nil && f.lastKey == key {
		return f.last
	}
	c := f.classes[key]
	if c == nil {
		c = &class{key: key}
		f.classes[key] = c
		f.list = append(f.list, c)
	}
	f.lastKey, f.last = key, c
	return c
}

// Entered counts a request that arrived at this host and could meet its objective if it started at once.
func (f *Forecaster) Entered(now time.Time, key arbiter.ClassKey) {
	c := f.class(key)
	c.entered++
	c.count(now, 1, 0)
}

// Started counts a request that was sent to an upstream.
func (f *Forecaster) Started(now time.Time, key arbiter.ClassKey) {
	c := f.class(key)
	c.started++
	c.count(now, 0, 1)
}

// Observe sets the number of requests of a class that wait at this host. It is to be called when the
// number changes and at each admission tick while any wait.
func (f *Forecaster) Observe(now time.Time, key arbiter.ClassKey, waiting int) {
	c := f.class(key)
	c.count(now, 0, 0)
	c.waiting = waiting
}

// SetPeers sets the sums over the other hosts. Their counts are added to the window by difference. The
// first sums of a class, and lower ones than before, only set the base.
func (f *Forecaster) SetPeers(now time.Time, key arbiter.ClassKey, s arbiter.Sums) {
	c := f.class(key)
	var entered, started uint64
	if c.peersKnown && s.Entered >= c.peers.Entered && s.Started >= c.peers.Started {
		entered, started = s.Entered-c.peers.Entered, s.Started-c.peers.Started
	}
	if entered > maxStep || started > maxStep {
		entered, started = 0, 0
	}
	c.count(now, int(entered), int(started))
	c.peers, c.peersKnown, c.peersAt = s, true, now
}

// maxStep is the largest plausible number of requests of a class between two messages. Larger differences
// are wrong figures and only set the base.
const maxStep = 100_000

// Peers returns the sums that were last set.
func (f *Forecaster) Peers(key arbiter.ClassKey) arbiter.Sums {
	if c := f.classes[key]; c != nil {
		return c.peers
	}
	return arbiter.Sums{}
}

// Counts returns how many requests of a class have entered and started at this host since its start.
func (f *Forecaster) Counts(key arbiter.ClassKey) (entered, started uint64) {
	if c := f.classes[key]; c != nil {
		return c.entered, c.started
	}
	return 0, 0
}

// activeFor is how long after a request its class is among Active. It exceeds the window.
const activeFor = 2 * time.Second

// Active returns the classes of which requests have entered, waited or started lately, in the order of their first request.
func (f *Forecaster) Active(now time.Time) []arbiter.ClassKey {
	var keys []arbiter.ClassKey
	for _, c := range f.list {
		if c.waiting > 0 || now.Sub(c.lastEvent) < activeFor {
			keys = append(keys, c.key)
		}
	}
	return keys
}

// maxPeersAge is the age up to which the sums of the other hosts tell that the class waits there. They are
// set at each admission tick of 20 ms while it does.
const maxPeersAge = 200 * time.Millisecond

// count advances the window to now and adds to its counts if any requests of the class have waited.
func (c *class) count(now time.Time, entered, started int) {
	if entered > 0 || started > 0 {
		c.lastEvent = now
	}
	waits := c.waiting > 0 || c.peers.OnTime+c.peers.Late > 0 && now.Sub(c.peersAt) <= maxPeersAge
	switch running := c.window.advance(now, waits); {
	case !running:
		c.peersKnown = false // what the others have counted during the pause is not of the new window
	case waits:
		c.window.add(entered, started)
	}
	c.ratesAt = time.Time{}
}

// Question is what Judge is asked about one request.
type Question struct {
	// OnTimeAhead and LateAhead are the requests of its class ahead of it at all hosts. Judge takes those
	// on time to be all that wait there if the request turns out to be late.
	OnTimeAhead int
	LateAhead   int
	// OnTime is the number of requests of the class on time at all hosts; Judge uses the larger of it and
	// OnTimeAhead.
	OnTime int
	Due    time.Time // Due is the latest start that meets the objective; zero if there is none.
	Latest time.Time // Latest is the latest start that meets the deadline.
	// Queued is set for a request that waits already. It leaves the lane on time only if it would be late
	// even at the bound of the rate that favours it, so that it isn't moved by noise.
	Queued bool
}

// Judgment is the forecast for a request.
type Judgment struct {
	Lane     arbiter.Lane
	Hopeless bool          // Hopeless means that the request cannot start in time, even if the rates are at their bounds.
	Wait     time.Duration // Wait is the expected time until the start; 0 if it is not known.
}

// halfTurn is the part of the interval between two starts that a request waits on average for the next one.
const halfTurn = 0.5

// Judge forecasts the start of a request. Entering the lane on time uses the measured rates, and refusing
// the rates at the bounds that favour the request, as refusing a request that would have been served is the
// worse error.
func (f *Forecaster) Judge(now time.Time, key arbiter.ClassKey, q Question) Judgment {
	c := f.class(key)
	r := c.measured(now)
	due := q.Due.IsZero() || !now.After(q.Due)
	if !r.known {
		return Judgment{Lane: laneOf(due)}
	}
	wait := after(float64(q.OnTimeAhead)+halfTurn, r.started)
	if q.Due.IsZero() {
		soonest := after(float64(q.OnTimeAhead), r.startedHigh)
		return Judgment{Lane: arbiter.LaneOnTime, Wait: wait, Hopeless: now.Add(soonest).After(q.Latest)}
	}
	latestWait := wait
	if q.Queued {
		latestWait = after(float64(q.OnTimeAhead), r.startedHigh)
	}
	if due && !now.Add(latestWait).After(q.Due) {
		return Judgment{Lane: arbiter.LaneOnTime, Wait: wait}
	}
	onTime := max(q.OnTime, q.OnTimeAhead)
	ahead, left, leftHigh := float64(onTime+q.LateAhead), r.started-r.entered, r.startedHigh-r.enteredLow
	if onTime == 0 { // late requests start now, whatever enters later
		left, leftHigh = r.started, r.startedHigh
	}
	return Judgment{
		Lane:     arbiter.LaneLate,
		Wait:     after(ahead+halfTurn, left),
		Hopeless: now.Add(after(ahead, leftHigh)).After(q.Latest),
	}
}

func laneOf(onTime bool) arbiter.Lane {
	if onTime {
		return arbiter.LaneOnTime
	}
	return arbiter.LaneLate
}

// never is a wait beyond any deadline.
const never = time.Hour

// after returns the time that n starts take at a rate a second, at most never.
func after(n, perSecond float64) time.Duration {
	if n <= 0 {
		return 0
	}
	if perSecond <= 0 || n/perSecond > never.Seconds() {
		return never
	}
	return time.Duration(math.Round(n / perSecond * float64(time.Second)))
}
