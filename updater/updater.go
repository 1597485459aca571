// Copyright 2026 The Amaranthgate Authors. All rights reserved.
// Use of this source code is governed by the MIT license in the LICENSE file.

package updater

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthgate.example/amaranthgate/assessor"
	"amaranthgate.example/amaranthgate/follower"
)

// Options configure an Updater.
type Options struct {
	Host        string
	Term        time.Duration // Term is how long the lease lasts without renewal.
	HandoverGap time.Duration // HandoverGap is the minimum time between orders of two hosts to one engine.
	Margin      time.Duration // Margin covers timer delays and clock drift.
	AtOnce      int           // AtOnce is the minimum number of engines that may load concurrently.
	Share       float64       // Share is the fraction of all engines that may load concurrently, if that is more.
	Restarted   bool          // Restarted reports whether the fleet has run before this process started.
	Seed        uint64        // Seed is the start of the write nonces; it must differ between process starts.
}

const (
	// maxIdleReaders is the number of hosts, by place, that read the lease before there is work. It
	// bounds the load on the store when a large fleet starts: 985 hosts would make as many calls.
	maxIdleReaders    = 4
	placeDelay        = 700 * time.Millisecond  // placeDelay staggers the attempts of hosts to acquire the lease.
	initialPollDelay  = 500 * time.Millisecond  // initialPollDelay is the time from an order to the first poll. Loads take 0.9 s or more.
	pollInterval      = 150 * time.Millisecond  // pollInterval is the time between polls of a loading engine.
	orderRetryDelay   = 2500 * time.Millisecond // orderRetryDelay applies to an unanswered order, which may still be executed.
	refusalRetryDelay = 300 * time.Millisecond  // refusalRetryDelay applies to a refused order.
	holderTimeout     = 600 * time.Millisecond  // holderTimeout is the silence after which a holder is assumed to have failed.
	statusTTL         = time.Second             // statusTTL is how long the engine lists in a holder's status are valid.
)

// Command is an action for the caller to execute.
type Command interface{ command() }

// ReadLease reads the lease from the store.
type ReadLease struct{}

// WriteLease writes the lease if its newest record ends at At. A write in another era is a conflict.
type WriteLease struct {
	At     int64
	Era    uint64 // Era is that of At.
	Record Record
}

// Order is a command to an engine to load a weight version.
type Order struct {
	Upstream follower.Upstream
	Model    string
	Version  uint64
	Token    uint64 // Token is the fencing token; it grows with each change of holder.
	// Expected is the number of orders that the engine has accepted. It does not carry the order out, however late, once it
	// has accepted another one. It is set if ExpectedKnown is.
	Expected      int64
	ExpectedKnown bool
}

// EngineReport is what an engine reports of itself in the answer to QueryVersion.
type EngineReport struct {
	Busy     bool   // Busy reports that the engine is executing an order.
	Version  uint64 // Version is its weight version of the model; 0 if it reports none.
	Sequence int64  // Sequence is the number of orders that it has accepted since its start, if SequenceStated is set.

	SequenceStated bool
	Load           assessor.Load
	// LoadStated reports whether Load is stated. It is as of a few hundred ms before.
	LoadStated bool
}

// QueryVersion queries an engine for its weight versions.
type QueryVersion struct {
	Upstream follower.Upstream
	Model    string
}

// Renewed reports that an engine has loaded a version.
type Renewed struct {
	ID      string `cbor:"1,keyasint"`
	Model   string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Born    int64  `cbor:"4,keyasint,omitempty"` // Born identifies the instance of the engine.
}

// Doubted reports that engines have ended while loading a version that none has loaded yet.
type Doubted struct {
	Model   string
	Version uint64
	Starts  []string
	Pause   time.Duration // Pause is how long no engine is ordered to load it.
}

func (ReadLease) command()    {}
func (WriteLease) command()   {}
func (Order) command()        {}
func (QueryVersion) command() {}
func (Renewed) command()      {}
func (Doubted) command()      {}

// Status is the state that a host sends to the others.
type Status struct {
	Lease   Lease                    `cbor:"1,keyasint"`           // Lease is the newest record known to the host.
	Holding bool                     `cbor:"2,keyasint,omitempty"` // Holding reports whether the host holds the lease.
	Stopped bool                     `cbor:"3,keyasint,omitempty"` // Stopped reports that Lease is the host's own and was released.
	Ordered map[string]time.Duration `cbor:"4,keyasint,omitempty"` // Ordered is the time since the last order to each engine.
	Wait    time.Duration            `cbor:"7,keyasint,omitempty"` // Wait is the remaining delay before the host's own first order.
	Loading []string                 `cbor:"5,keyasint,omitempty"` // Loading are engines that were ordered to load.
	Next    []string                 `cbor:"8,keyasint,omitempty"` // Next are engines that will be ordered soon.
	Renewed []Renewed                `cbor:"6,keyasint,omitempty"`
	Doubts  []Doubt                  `cbor:"9,keyasint,omitempty"` // Doubts are versions whose load has ended engines.
}

// Input is the external state that Step depends on.
type Input struct {
	View      *follower.View
	HostIndex int                    // HostIndex is this host's index among the live hosts.
	Busy      func(start string) int // Busy returns the number of requests at an engine instance.
	// CutOff reports that this host reaches no engine while others do. It gives up the lease then.
	CutOff bool
}

// job is the state of an engine that is to load a version.
type job struct {
	born             int64 // born identifies the instance of the engine.
	model            string
	version          uint64
	orderedAt        time.Time // orderedAt is when the last order was sent.
	retryAt          time.Time // retryAt is the earliest time of the next order.
	loading          bool      // loading is set once an order was accepted, or may have been.
	unconfirmedSince time.Time // unconfirmedSince is when the first order without a known result was sent.
	unconfirmed      bool      // unconfirmed is set while the result of the last order is unknown.
	inFlight         bool      // inFlight is set during a call to the engine.
	polledAt         time.Time // polledAt is when the last call to the engine began.
	reported         bool      // reported is set if the engine has reported its state since the last order.
	report           EngineReport
}

// Updater is one host's part in a rollout. It is not safe for concurrent use.
type Updater struct {
	opts          Options
	lease         lease
	nonce         uint64
	upToDate      *follower.View       // upToDate is the last view in which no engine had outdated weights.
	scanned       *follower.View       // scanned is the last view whose engines were all examined.
	lagging       []follower.Upstream  // lagging are the engines with outdated weights in scanned.
	laggingSince  time.Time            // laggingSince is when engines began to have outdated weights.
	notBefore     time.Time            // notBefore is the earliest time of this host's first order.
	started       time.Time            // started is the time of the first step.
	othersOrders  map[string]time.Time // othersOrders is the time of the last order of another host, by engine.
	ownOrders     map[string]time.Time // ownOrders is the time of the last order of this host, by engine.
	jobs          map[string]*job
	next          []string             // next are engines that will be ordered soon.
	completed     []Renewed            // completed are loads not yet reported in a status.
	wasHeld       bool                 // wasHeld is set until the end of a hold has been reported.
	holderSeen    time.Time            // holderSeen is when another host last reported that it holds the lease.
	othersLoading map[string]time.Time // othersLoading is the expiry of each engine that the holder reported as loading.
	othersNext    map[string]time.Time // othersNext is the same for engines that the holder will order soon.
	events        []Command            // events are returned by the next step.
	doubts        map[string]*doubt    // doubts is by model; it has only versions whose load has ended engines.
}

// New returns an Updater without knowledge of the lease.
func New(opts Options) *Updater {
	return &Updater{
		opts:          opts,
		nonce:         opts.Seed,
		lease:         lease{sentAt: make(map[uint64]time.Time)},
		othersOrders:  make(map[string]time.Time),
		ownOrders:     make(map[string]time.Time),
		jobs:          make(map[string]*job),
		othersLoading: make(map[string]time.Time),
		othersNext:    make(map[string]time.Time),
		doubts:        make(map[string]*doubt),
	}
}

// Step returns the commands to execute now.
func (up *Updater) Step(now time.Time, in Input) []Command {
	if up.started.IsZero() {
		up.started = now
	}
	lagging := up.outdated(now, in.View)
	up.next = nil
	if in.CutOff {
		up.release(now)
		return nil
	}
	if len(lagging) == 0 {
		up.laggingSince = time.Time{}
		clear(up.jobs)
		if in.HostIndex < maxIdleReaders && !up.lease.known && !up.lease.inFlight && now.Sub(up.lease.lastCall) > up.opts.Term {
			// An expired record must have been seen for a whole term; reading it early saves that wait.
			return up.readLease(now)
		}
		return nil
	}
	if up.laggingSince.IsZero() {
		up.laggingSince = now
	}
	if !up.held(now) {
		if now.Sub(up.laggingSince) < time.Duration(in.HostIndex)*placeDelay || now.Sub(up.holderSeen) < holderTimeout {
			return nil
		}
		return up.acquire(now)
	}
	up.wasHeld = true
	out := append(up.renewLease(now), up.work(now, in, lagging)...)
	out, up.events = append(out, up.events...), nil
	return out
}

// outdated returns the ready engines with outdated weights, and removes the jobs of all others.
func (up *Updater) outdated(now time.Time, view *follower.View) []follower.Upstream {
	if view == up.upToDate || up.staysUpToDate(view) {
		up.upToDate = view
		return nil
	}
	if view == up.scanned && len(up.doubts) == 0 {
		return up.lagging
	}
	up.scanned = view
	var lagging []follower.Upstream
	present, behind := make(map[string]bool), make(map[string]bool)
	for u := range view.Upstreams.All() {
		present[u.ID] = true
		for model, has := range u.Weights {
			up.clearDoubt(model, has)
			if u.Standing == follower.StandingReady && has < view.Versions[model].Version && !behind[u.ID] {
				lagging = append(lagging, *u)
				behind[u.ID] = true
				up.updateJob(now, u, model, view.Versions[model].Version)
			}
		}
	}
	for id, j := range up.jobs {
		if !present[id] {
			up.engineEnded(now, id, j) // a restarted engine has another ID
		}
		if !behind[id] {
			delete(up.jobs, id)
		}
	}
	if len(lagging) == 0 {
		up.upToDate = view
	}
	up.lagging = lagging
	return lagging
}

// staysUpToDate reports whether no engine has outdated weights, by examining only the engines that
// changed since the last such view.
func (up *Updater) staysUpToDate(view *follower.View) bool {
	if up.upToDate == nil || !maps.EqualFunc(up.upToDate.Versions, view.Versions, func(a, b follower.VersionHistory) bool {
		return a.Version == b.Version
	}) {
		return false
	}
	put, _ := view.Upstreams.Since(up.upToDate.Upstreams)
	for _, u := range put {
		for model, has := range u.Weights {
			if has < view.Versions[model].Version {
				return false
			}
			up.clearDoubt(model, has)
		}
	}
	return true
}

// updateJob creates the job of an engine, or updates it to a new version.
func (up *Updater) updateJob(now time.Time, u *follower.Upstream, model string, version uint64) {
	j := up.jobs[u.ID]
	if j != nil && j.born != u.Born {
		up.engineEnded(now, u.ID, j)
	}
	if j == nil || j.born != u.Born {
		j = &job{born: u.Born}
		up.jobs[u.ID] = j
	}
	if j.version != version || j.model != model {
		j.model, j.version = model, version
		j.retryAt, j.unconfirmed = time.Time{}, false
	}
}

// work returns the orders and polls that are due.
func (up *Updater) work(now time.Time, in Input, lagging []follower.Upstream) []Command {
	slices.SortStableFunc(lagging, func(a, b follower.Upstream) int {
		return cmp.Or(cmp.Compare(in.Busy(a.InstanceID()), in.Busy(b.InstanceID())), cmp.Compare(a.ID, b.ID))
	})
	atOnce := max(up.opts.AtOnce, int(up.opts.Share*float64(countEngines(in.View))))
	var out []Command
	loading, loadingOf := 0, make(map[string]int) // loadingOf counts engines that may be loading, by model
	for _, u := range lagging {
		j := up.jobs[u.ID]
		if j.mayBeLoading(now) {
			loadingOf[j.model]++
		}
		if !j.loading {
			continue
		}
		loading++
		if !j.inFlight && now.Sub(j.orderedAt) > initialPollDelay && now.Sub(j.polledAt) > pollInterval {
			j.inFlight, j.polledAt = true, now
			out = append(out, QueryVersion{Upstream: u, Model: j.model})
		}
		if now.After(j.retryAt) {
			j.loading = false
		}
	}
	for _, u := range lagging {
		j := up.jobs[u.ID]
		if j.loading {
			continue
		}
		if loading >= atOnce {
			if len(up.next) < atOnce {
				up.next = append(up.next, u.ID)
				out = append(out, j.query(now, u)...)
			}
			continue
		}
		if j.inFlight {
			loading++
			continue
		}
		others := loadingOf[j.model]
		if j.mayBeLoading(now) {
			others-- // the engine itself is ordered again
		}
		if !up.orderAllowed(now, u.ID, j) || !up.loadAllowed(now, j.model, j.version, others) {
			continue
		}
		loading++
		if !j.reported {
			out = append(out, j.query(now, u)...)
			continue
		}
		if !j.unconfirmed {
			j.unconfirmed, j.unconfirmedSince = true, now
			loadingOf[j.model]++
		}
		j.loading, j.inFlight, j.reported, j.orderedAt, j.polledAt = true, true, false, now, now
		j.retryAt = now.Add(orderRetryDelay)
		up.ownOrders[u.ID] = now
		out = append(out, Order{Upstream: u, Model: j.model, Version: j.version, Token: up.lease.token,
			Expected: j.report.Sequence, ExpectedKnown: j.report.SequenceStated})
	}
	return out
}

// query returns a query of the engine's state, which its next order needs, unless that is known or the last call was lately.
func (j *job) query(now time.Time, u follower.Upstream) []Command {
	if j.inFlight || j.reported || now.Before(j.retryAt) || now.Sub(j.polledAt) <= pollInterval {
		return nil
	}
	j.inFlight, j.polledAt = true, now
	return []Command{QueryVersion{Upstream: u, Model: j.model}}
}

// countEngines returns the number of upstreams with weights.
func countEngines(view *follower.View) int {
	n := 0
	for u := range view.Upstreams.All() {
		if len(u.Weights) > 0 {
			n++
		}
	}
	return n
}

// orderAllowed reports whether the engine may be ordered now.
func (up *Updater) orderAllowed(now time.Time, id string, j *job) bool {
	if now.Before(up.notBefore) || now.Before(j.retryAt) {
		return false
	}
	last, ok := up.othersOrders[id]
	return !ok || now.Sub(last) > up.opts.HandoverGap+up.opts.Margin
}

// OrderResult is the outcome of an order.
type OrderResult string

const (
	OrderAccepted OrderResult = "Accepted" // OrderAccepted means that the order is being executed.
	OrderConflict OrderResult = "Conflict" // OrderConflict means that another order is being executed, or has been since the report.
	OrderHolds    OrderResult = "Holds"    // OrderHolds means that the engine already has the version.
	OrderRefused  OrderResult = "Refused"
	OrderUnknown  OrderResult = "Unknown" // OrderUnknown means that no answer was received.
)

// OrderAnswered processes the answer to an order.
func (up *Updater) OrderAnswered(now time.Time, o Order, result OrderResult) []Command {
	j := up.jobs[o.Upstream.ID]
	if j == nil || j.born != o.Upstream.Born {
		return nil // the engine has restarted since the order
	}
	j.inFlight = false
	switch result {
	case OrderHolds:
		if j.version == o.Version {
			return up.renewed(&o.Upstream, o.Model, o.Version)
		}
		j.loading, j.unconfirmed, j.retryAt = false, false, now
	case OrderConflict:
		j.loading = false // the next report tells which order the engine executes
		j.retryAt = now.Add(refusalRetryDelay)
	case OrderRefused:
		j.loading, j.unconfirmed = false, false
		j.retryAt = now.Add(refusalRetryDelay)
	}
	return nil
}

// VersionReported processes an engine's answer to QueryVersion.
func (up *Updater) VersionReported(now time.Time, q QueryVersion, r EngineReport, err error) []Command {
	j := up.jobs[q.Upstream.ID]
	if j == nil || j.born != q.Upstream.Born {
		return nil
	}
	j.inFlight = false
	if err != nil {
		if !j.loading {
			j.retryAt = now.Add(orderRetryDelay)
		}
		return nil
	}
	j.reported, j.report = true, r
	switch {
	case r.Busy:
		j.loading, j.retryAt = true, now.Add(orderRetryDelay)
	case r.Version > 0 && r.Version < j.version && now.Sub(j.orderedAt) > time.Second:
		j.loading, j.unconfirmed = false, false // an older order was executed, or this one was lost
	}
	if r.Version == 0 {
		return nil
	}
	return up.renewed(&q.Upstream, q.Model, r.Version)
}

func (up *Updater) renewed(u *follower.Upstream, model string, version uint64) []Command {
	up.clearDoubt(model, version)
	done := Renewed{ID: u.ID, Born: u.Born, Model: model, Version: version}
	up.completed = append(up.completed, done)
	return []Command{done}
}
